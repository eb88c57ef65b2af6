/**
 * A fleet for the policy bench: the real services of entries and sides on one
 * virtual clock and an in-memory network, stand-in engines behind the sides.
 * Configuration is fixed; limits and claims are granted at once, since the
 * bench measures routing and queueing alone.
 */
import {Left, Right} from 'purify-ts';
import {createEntryPeersService} from '../src/entry/entry_peers.js';
import {createRequestsService} from '../src/entry/requests.js';
import {createKernel} from '../src/kernel/kernel.js';
import type {Kernel} from '../src/kernel/kernel.js';
import {createMembershipService} from '../src/membership/membership.js';
import type {RoutingPolicy} from '../src/policy/routing.js';
import {createSidePeersService} from '../src/side/peers_service.js';
import type {QueuePolicy} from '../src/side/queue_policy.js';
import {createRunsService} from '../src/side/runs_service.js';
import type {RatePriors} from '../src/side/learned_rates.js';
import type {Declarations, NumberedDeclarations} from '../src/types/config.js';
import {OnyxError} from '../src/types/errors.js';
import type {HostInfo} from '../src/types/platform.js';
import type {Clock, Runtime} from '../src/types/runtime.js';
import type {Transport} from '../src/types/transport.js';
import {createEngineModel} from '../standins/engine_model.js';
import type {EngineModel} from '../standins/engine_model.js';
import {createMemoryEngine} from '../standins/memory_engine.js';
import {createMemoryNetwork} from '../standins/memory_network.js';
import {createRecordedMetrics} from '../standins/recording_runtime.js';
import {createSeededRandom} from '../standins/seeded_random.js';
import {createVirtualClock} from '../standins/virtual_clock.js';
import type {VirtualClock} from '../standins/virtual_clock.js';
import type {Deployment} from './policy_mix.js';

export const MODEL = 'onyx-large';
const POOL = 'onyx-pool';
const ENTRIES = 3;
/** Until all have heard of each other. */
const START_MS = 5_000;
/** A lost host leaves the host list after this. */
const HOST_LIST_LAG_MS = 5_000;
/** Period of heartbeats for reports 5 s old on average. */
const OLD_REPORTS_HEARTBEAT_MS = 10_000;

export type ReportFault = 'none' | 'old' | 'silent';

export interface FleetOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly declarations: Declarations;
  readonly routing: () => RoutingPolicy;
  readonly queue: QueuePolicy;
  readonly priors?: Partial<RatePriors>;
  readonly reports: ReportFault;
}

export interface Fleet {
  readonly clock: VirtualClock;
  readonly config: NumberedDeclarations;
  readonly entries: readonly Kernel[];
  /** Time that engines spent in steps, over all engines, in milliseconds. */
  busyMs(): number;
  /** From here on, reports are as `reports` says. */
  beginReportFault(): void;
  /** Each second engine is lost with its host. */
  loseHalf(): void;
  violations(): readonly string[];
  stop(): Promise<void>;
}

interface Host {
  readonly info: HostInfo;
  readonly engine: EngineModel;
  lostAt: number | undefined;
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const clock = createVirtualClock();
  const random = createSeededRandom(options.seed);
  const network = createMemoryNetwork(clock, random);
  const config = {number: 1, declarations: options.declarations};
  const violations: string[] = [];
  const kernels: Kernel[] = [];
  let faulty = false;
  let busyMs = 0;

  const runtimeOf = (): Runtime => ({
    clock,
    random: createSeededRandom(Math.floor(random.next() * 2 ** 31)),
    log: () => undefined,
    metrics: createSilentMetrics(),
    invariant: (holds, name, fields) => {
      if (holds) return;
      violations.push(`${name} ${JSON.stringify(fields)}`);
      throw new Error(`invariant "${name}" broken`);
    },
  });

  // Steps are the only timers of an engine that has nothing to load.
  const engineClock: Clock = {
    ...clock,
    after: (delayMs, fn) =>
      clock.after(delayMs, () => {
        busyMs += delayMs;
        fn();
      }),
  };

  const domainOf = (at: number) => {
    const {failureDomains} = options.deployment;
    return failureDomains[at % failureDomains.length];
  };

  const startSide = async (at: number): Promise<Host> => {
    const address = `10.0.1.${at + 1}:7300`;
    const name = `engine-${at + 1}`;
    const engine = createEngineModel({
      clock: engineClock,
      name,
      models: [{model: MODEL, version: '1'}],
      figures: options.reports === 'old' ? {reportLagMs: 5_000} : {},
    });
    const kernel = createKernel(runtimeOf());
    kernels.push(kernel);
    await startFixedConfig(kernel, config);
    await kernel.start(
      createRunsService({
        upstream: {
          kind: 'engine',
          client: createMemoryEngine({model: engine, clock, name}),
        },
        node: `side-${at + 1}`,
        incarnation: `i${at + 1}`,
        pool: POOL,
        failureDomain: domainOf(at),
        queuePolicy: options.queue,
        readFence: () => Promise.resolve(Right(1)),
        priors: options.priors,
      }),
    );
    const transport = network.transport(address);
    await kernel.start(createSidePeersService({transport, address}));
    const info: HostInfo = {
      host: `host-${at + 1}`,
      address,
      failureDomain: domainOf(at),
      pool: POOL,
      state: 'live',
    };
    return {info, engine, lostAt: undefined};
  };

  const hosts: Host[] = [];
  for (let at = 0; at < options.deployment.replicas; at++) {
    hosts.push(await startSide(at));
  }

  const hostList = () =>
    Promise.resolve(
      Right(
        hosts
          .filter(
            host => clock.now() < (host.lostAt ?? Infinity) + HOST_LIST_LAG_MS,
          )
          .map(host => host.info),
      ),
    );

  const entryTransport = (inner: Transport): Transport => ({
    ...inner,
    call: (peer, method, req, timeoutMs) => {
      const silent = faulty && options.reports === 'silent';
      if (!silent || method !== 'sideHeartbeat') {
        return inner.call(peer, method, req, timeoutMs);
      }
      return new Promise(resolve => {
        clock.after(timeoutMs, () => resolve(Left(noAnswer(peer))));
      });
    },
  });

  const startEntry = async (at: number): Promise<Kernel> => {
    const address = `10.0.0.${at + 1}:7300`;
    const transport = entryTransport(network.transport(address));
    const kernel = createKernel(runtimeOf());
    kernels.push(kernel);
    const node = `entry-${at + 1}`;
    const failureDomain = domainOf(at);
    await startFixedConfig(kernel, config);
    await startGrants(kernel);
    await kernel.start(
      createMembershipService({
        transport,
        hostList,
        node,
        host: node,
        address,
        failureDomain,
        incarnation: node,
        timing:
          options.reports === 'old'
            ? {heartbeatMs: OLD_REPORTS_HEARTBEAT_MS, suspectAfterMs: 30_000}
            : {},
      }),
    );
    const routing = options.routing();
    await kernel.start(
      createRequestsService({
        transport,
        node,
        failureDomain,
        routingPolicy: () => routing,
      }),
    );
    await kernel.start(createEntryPeersService({transport, address}));
    return kernel;
  };

  const entries: Kernel[] = [];
  for (let at = 0; at < ENTRIES; at++) entries.push(await startEntry(at));
  await clock.runFor(
    options.reports === 'old' ? 2 * OLD_REPORTS_HEARTBEAT_MS : START_MS,
  );

  return {
    clock,
    config,
    entries,
    busyMs: () => busyMs,
    beginReportFault: () => {
      faulty = true;
    },
    loseHalf: () => {
      for (const host of hosts.filter((_, at) => at % 2 === 1)) {
        host.lostAt = clock.now();
        host.engine.die();
        network.faults.down(host.info.address);
      }
    },
    violations: () => violations,
    stop: async () => {
      await Promise.all(kernels.map(kernel => kernel.stop()));
    },
  };
}

function noAnswer(peer: string): OnyxError {
  return new OnyxError({
    code: 'timeout',
    step: 'heartbeat',
    peer,
    message: 'no answer in time',
  });
}

function createSilentMetrics() {
  return {
    ...createRecordedMetrics(),
    observe: () => undefined,
    count: () => undefined,
    gauge: () => undefined,
  };
}

async function startFixedConfig(
  kernel: Kernel,
  config: NumberedDeclarations,
): Promise<void> {
  await kernel.start({
    name: 'config',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'subscribe') message.listener(config);
      });
    },
  });
}

async function startGrants(kernel: Kernel): Promise<void> {
  await kernel.start({
    name: 'limits',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'acquire') message.reply(Right(undefined));
      });
    },
  });
  await kernel.start({
    name: 'claims',
    start: ctx => {
      void ctx.mailbox.observe(message => message.reply(Right({kind: 'ours'})));
    },
  });
}
