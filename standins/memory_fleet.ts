/**
 * A whole fleet in one process on the virtual clock: the real services of
 * entries and sides, over an in-memory network, object API, host list, engines
 * and plain services, each with its faults. The same seed gives the same run.
 */
import type {TimingSettings} from '../src/config/settings.js';
import type {RoutingPolicy} from '../src/policy/routing.js';
import {createRoutingPolicies} from '../src/policy/routing_policies.js';
import {classQueue} from '../src/policy/side_queue.js';
import type {QueuePolicy} from '../src/side/queue_policy.js';
import type {FailureDomain} from '../src/types/ids.js';
import type {HostInfo} from '../src/types/platform.js';
import type {Random} from '../src/types/runtime.js';
import type {ConfigPatch, RequestEvent} from '../src/types/services.js';
import {hashText} from '../src/utils/digest.js';
import type {EngineFigures} from './engine_figures.js';
import {createTracked, listenerOf, specOf} from './fleet_callers.js';
import type {Ask, Tracked} from './fleet_callers.js';
import {createFleetDeclarations} from './fleet_declarations.js';
import {createFleetEntry} from './fleet_entry.js';
import type {FleetEntry, PatchOutcome} from './fleet_entry.js';
import type {FleetEvent, FleetWorld} from './fleet_process.js';
import {createFleetEngine, createFleetService} from './fleet_upstreams.js';
import type {FleetEngine, FleetService, FleetSide} from './fleet_upstreams.js';
import {createHostListCore} from './host_list_core.js';
import type {HostListCore} from './host_list_core.js';
import {createMemoryNetwork} from './memory_network.js';
import type {MemoryNetwork} from './memory_network.js';
import {createObjectStoreCore} from './object_store_core.js';
import type {ObjectStoreCore} from './object_store_core.js';
import {createSeededRandom} from './seeded_random.js';
import {createVirtualClock} from './virtual_clock.js';
import type {VirtualClock} from './virtual_clock.js';
import {createWeightStoreCore} from './weight_store_core.js';
import type {WeightStoreCore} from './weight_store_core.js';

export interface MemoryFleetOptions {
  /** A 32-bit integer. */
  readonly seed: number;
  /** Number of entries. */
  readonly entries: number;
  /** Number of model engines, each with a side. */
  readonly engines: number;
  /** Number of plain services, each with a side. */
  readonly services: number;
  /** Hosts are spread over them in turn. */
  readonly failureDomains: readonly FailureDomain[];
  readonly engineFigures?: Partial<EngineFigures>;
  /** Memory of one engine. @default that of the figures */
  readonly engineMemoryTokens?: number;
  /** Whether engines refuse an old fencing number. @default false */
  readonly honoursFence?: boolean;
  /** Replicas that an entry follows. @default 24 */
  readonly followReplicas?: number;
  readonly timing?: Partial<TimingSettings>;
  /** @default createRoutingPolicies() */
  readonly routingPolicy?: (name: string) => RoutingPolicy;
  /** @default classQueue */
  readonly queuePolicy?: QueuePolicy;
  /** First patch, as a merge patch. @default createFleetDeclarations */
  readonly declarations?: object;
  /** Told of each log event, also when they are not kept. */
  readonly onEvent?: (event: FleetEvent) => void;
  /** Log events kept, the oldest dropped first. @default all */
  readonly keepEvents?: number;
}

export interface MemoryFleet {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly network: MemoryNetwork;
  readonly store: ObjectStoreCore;
  readonly hostList: HostListCore;
  readonly weightStore: WeightStoreCore;
  readonly entries: readonly FleetEntry[];
  readonly engines: readonly FleetEngine[];
  readonly services: readonly FleetService[];
  /** Engines' and services' sides. */
  readonly sides: readonly FleetSide[];
  /** Log events of all processes, oldest first. */
  readonly events: readonly FleetEvent[];
  /** Broken invariants, oldest first. */
  readonly violations: readonly string[];
  /** All submissions, resumes as well, oldest first. */
  readonly tracked: readonly Tracked[];
  /** Until the first patch is in force everywhere and all replicas live. */
  start(): Promise<void>;
  submit(entry: number, ask: Ask): Tracked;
  /** Takes up a submission at an entry, from chunk `fromSeq` on. */
  resume(entry: number, tracked: Tracked, fromSeq: number): Tracked;
  /** The caller goes away. */
  cancel(entry: number, tracked: Tracked): void;
  applyPatch(entry: number, patch: Partial<ConfigPatch>): Promise<PatchOutcome>;
  /** The host list's line of a process. */
  listHost(process: FleetEntry | FleetSide): void;
  stop(): void;
}

/** All in milliseconds; as the settings' defaults. */
export const FLEET_TIMING: TimingSettings = {
  heartbeatMs: 1_000,
  suspectAfterMs: 3_000,
  holdMs: 10_000,
  offerLapseMs: 1_000,
  tombstoneMs: 120_000,
  channelSilenceMs: 3_000,
  peerTimeoutMs: 2_000,
  hostListPollMs: 2_000,
  drainMs: 600_000,
};

const START_LIMIT_MS = 30_000;
const START_STEP_MS = 250;
const REQUEST_ID_BYTES = 16;
const FIRST_ENTRY_PORT = 7_100;
const FIRST_ENGINE_PORT = 7_400;
const FIRST_SERVICE_PORT = 7_800;
const FOLLOW_REPLICAS = 24;

/** Makes a fleet; nothing runs before `start`. */
export function createMemoryFleet(options: MemoryFleetOptions): MemoryFleet {
  const {seed} = options;
  const clock = createVirtualClock();
  const seedOf = (name: string): number =>
    Number.parseInt(hashText(`${seed} ${name}`).slice(0, 8), 16) | 0;
  const randomOf = (name: string): Random => createSeededRandom(seedOf(name));
  const random = randomOf('callers');
  const network = createMemoryNetwork(clock, randomOf('network'));
  const store = createObjectStoreCore({clock, random: randomOf('store')});
  const hostList = createHostListCore(clock);
  const weightStore = createWeightStoreCore({clock});
  const events: FleetEvent[] = [];
  const violations: string[] = [];
  const tracked: Tracked[] = [];
  const followReplicas = options.followReplicas ?? FOLLOW_REPLICAS;
  const timing = {...FLEET_TIMING, ...options.timing};
  const keepEvents = options.keepEvents ?? Number.POSITIVE_INFINITY;
  let patches = 0;

  const world: FleetWorld = {
    clock,
    network,
    store,
    randomOf,
    onEvent: event => {
      options.onEvent?.(event);
      events.push(event);
      // Cut in large pieces: to shift each time would cost the whole array.
      if (events.length > 2 * keepEvents) events.splice(0, keepEvents);
    },
    onViolation: message => void violations.push(message),
  };

  const common = (kind: string, port: number, at: number) => ({
    name: `${kind}-${at}`,
    address: `127.0.0.1:${port + at}`,
    failureDomain: options.failureDomains[
      at % options.failureDomains.length
    ] as FailureDomain,
    timing,
    queuePolicy: options.queuePolicy ?? classQueue,
    world,
  });

  const cutCallers = (name: string): void => {
    for (const one of tracked) {
      if (one.entry === name && one.finals === 0) one.cut = true;
    }
  };

  const figures = {
    ...options.engineFigures,
    ...(options.engineMemoryTokens === undefined
      ? {}
      : {memoryTokens: options.engineMemoryTokens}),
  };

  const entries = times(options.entries, at => {
    const place = common('entry', FIRST_ENTRY_PORT, at);
    return createFleetEntry({
      ...place,
      hostList,
      weightStore,
      routingPolicy: options.routingPolicy ?? createRoutingPolicies(),
      followReplicas,
      onCrash: () => cutCallers(place.name),
    });
  });
  const engines = times(options.engines, at =>
    createFleetEngine({
      ...common('engine', FIRST_ENGINE_PORT, at),
      figures,
      honoursFence: options.honoursFence ?? false,
      loadWeights: (model, version, done) => {
        const transfer = weightStore.start({model, version, bytes: 2e9});
        if (transfer === undefined) done(false);
        else void weightStore.whenOver(transfer.id).then(() => done(true));
      },
    }),
  );
  const services = times(options.services, at =>
    createFleetService(common('service', FIRST_SERVICE_PORT, at)),
  );
  const sides = [...engines, ...services];

  const listHost = (process: FleetEntry | FleetSide): void => {
    hostList.put(hostOf(process));
  };

  const applyPatch = (entry: number, patch: Partial<ConfigPatch>) =>
    entryAt(entry).apply({
      patchId: `patch-${++patches}`,
      base: 0,
      form: 'merge-patch',
      patch: '{}',
      dryRun: false,
      operator: 'operator',
      ...patch,
    });

  const entryAt = (at: number): FleetEntry => entries[at] as FleetEntry;

  const isReady = (): boolean =>
    [...entries, ...sides].every(each => (each.config()?.number ?? 0) >= 1) &&
    entries.every(each =>
      isViewWhole(each.view(), sides.length, followReplicas),
    );

  const start = async (): Promise<void> => {
    for (const process of [...entries, ...sides]) listHost(process);
    // The services' starts may wait for timers, so time runs meanwhile.
    const starting = Promise.all(
      [...sides, ...entries].map(one => one.start()),
    );
    await clock.runFor(START_STEP_MS);
    await starting;
    await clock.runFor(2 * timing.heartbeatMs);
    const declarations =
      options.declarations ?? createFleetDeclarations(options.engines);
    void applyPatch(0, {patch: JSON.stringify(declarations)});
    for (let waited = 0; !isReady(); waited += START_STEP_MS) {
      if (waited > START_LIMIT_MS) throw new Error('the fleet does not start');
      await clock.runFor(START_STEP_MS);
    }
  };

  const track = (
    entry: FleetEntry,
    start: Omit<Tracked, 'entry' | 'entryIncarnation' | 'submittedAt'>,
  ): Tracked => {
    const one = createTracked({
      ...start,
      entry: entry.name,
      entryIncarnation: entry.incarnation(),
      submittedAt: clock.now(),
    });
    one.cut = !entry.isAlive();
    tracked.push(one);
    return one;
  };

  const listen = (entry: FleetEntry, one: Tracked) => {
    const listener = listenerOf(one, clock.now, () => undefined);
    return (event: RequestEvent) => {
      const isConnected =
        entry.isAlive() && entry.incarnation() === one.entryIncarnation;
      if (isConnected) listener(event);
    };
  };

  const submit = (at: number, ask: Ask): Tracked => {
    const entry = entryAt(at);
    const id = random.hex(REQUEST_ID_BYTES);
    const config = entry.config();
    const now = clock.now();
    const made =
      config === undefined ? undefined : specOf(id, ask, config, now);
    const one = track(entry, {
      ...createTracked({
        id,
        ask,
        entry: entry.name,
        entryIncarnation: '',
        submittedAt: now,
        deadlineAt: now + ask.timeLimitMs,
        fromSeq: 0,
        resumed: false,
        expected: made?.expected ?? '',
      }),
    });
    // Without a configuration the front refuses before any service is asked.
    if (made === undefined) one.cut = true;
    else {
      const {spec} = made;
      const listener = listen(entry, one);
      entry.deliver(() =>
        entry.kernel().send('requests', {kind: 'submit', spec, listener}),
      );
    }
    return one;
  };

  const resume = (at: number, from: Tracked, fromSeq: number): Tracked => {
    const entry = entryAt(at);
    const one = track(entry, {
      ...createTracked({...from, fromSeq, resumed: true}),
    });
    const listener = listen(entry, one);
    entry.deliver(() =>
      entry.kernel().send('requests', {
        kind: 'resume',
        id: from.id,
        organisation: from.ask.organisation,
        fromSeq,
        sideHint: from.side,
        listener,
      }),
    );
    return one;
  };

  const cancel = (at: number, one: Tracked): void => {
    const entry = entryAt(at);
    entry.deliver(() =>
      entry.kernel().send('requests', {
        kind: 'cancel',
        id: one.id,
        organisation: one.ask.organisation,
      }),
    );
  };

  return {
    clock,
    random,
    network,
    store,
    hostList,
    weightStore,
    entries,
    engines,
    services,
    sides,
    events,
    violations,
    tracked,
    start,
    submit,
    resume,
    cancel,
    applyPatch,
    listHost,
    stop: () => {
      for (const process of [...entries, ...sides]) process.crash();
    },
  };
}

function times<T>(count: number, make: (at: number) => T): readonly T[] {
  return Array.from({length: count}, (_, at) => make(at));
}

function hostOf(process: FleetEntry | FleetSide): HostInfo {
  const {host, address, failureDomain} = process;
  const pool = 'pool' in process ? process.pool : 'entry';
  return {host, address, failureDomain, pool, state: 'live'};
}

function isViewWhole(
  view:
    | {
        readonly replicas: ReadonlyArray<{readonly state: string}>;
      }
    | undefined,
  sides: number,
  followReplicas: number,
): boolean {
  const live = view?.replicas.filter(each => each.state === 'live') ?? [];
  return live.length >= Math.min(sides, followReplicas);
}
