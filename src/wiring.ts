/**
 * Wires the services of a process out of its settings. This is the one module
 * that knows which implementation stands behind each interface.
 */
import {Right} from 'purify-ts';
import type {EntrySettings, Settings, SideSettings} from './config/settings.js';
import {createConfigService} from './config/config_service.js';
import {createClaimsService} from './entry/claims.js';
import {createEntryPeersService} from './entry/entry_peers.js';
import {createCallersService} from './entry/http_callers.js';
import {createOperatorsService} from './entry/http_operators.js';
import {createEntryHandlers} from './entry/operator_handlers.js';
import {PREFIX_BLOCK_BYTES} from './entry/prefix_hashes.js';
import {createRequestsService} from './entry/requests.js';
import {createKernel} from './kernel/kernel.js';
import type {Kernel} from './kernel/kernel.js';
import {createLimitsService} from './limits/limits.js';
import {createMembershipService} from './membership/membership.js';
import {createPlacementService} from './placement/placement.js';
import {readLeaseFence} from './placement/placement_lease.js';
import {createHttpHostList} from './platform/http_host_list.js';
import {createHttpObjectStore} from './platform/http_object_store.js';
import {createHttpWeightStore} from './platform/http_weight_store.js';
import {createRoutingPolicies} from './policy/routing_policies.js';
import {classQueue} from './policy/side_queue.js';
import type {SideUpstream} from './side/core.js';
import type {SideStatus} from './side/messages.js';
import {createSidePeersService} from './side/peers_service.js';
import {createRunsService} from './side/runs_service.js';
import {createSideOperatorHandlers} from './side/operator_handlers.js';
import type {FetchConfigRes} from './types/peer_messages.js';
import type {Runtime} from './types/runtime.js';
import type {Transport} from './types/transport.js';
import {createHttpEngine} from './upstream/http_engine.js';
import {createHttpService} from './upstream/http_service.js';
import {createLoopDelayProbe, yieldToLoop} from './utils/event_loop.js';
import {verifyKeyAsync} from './utils/keys.js';
import {createGrpcTransport} from './wire/grpc_transport.js';

/** Bytes of text taken for one token; see `entry/admission.ts`. */
const BYTES_PER_TOKEN = 4;
const INCARNATION_BYTES = 6;

/** A process with its services running. */
export interface WiredProcess {
  readonly kernel: Kernel;
  /** Takes no new work and resolves when what is in progress has ended. */
  drain(): Promise<void>;
  /** Requests or runs in progress. */
  open(): Promise<number>;
  /** Ends all services at once. */
  stop(): Promise<void>;
}

/** Reads a PEM file of the TLS settings. */
export type ReadFile = (path: string) => Buffer;

/** Starts the services of the role that the settings give. */
export function wire(
  settings: Settings,
  runtime: Runtime,
  readFile: ReadFile,
  requestDrain: () => void,
): Promise<WiredProcess> {
  const transport = createTransport(settings, runtime, readFile);
  return settings.role === 'entry'
    ? wireEntry(settings, runtime, transport, requestDrain)
    : wireSide(settings, runtime, transport, requestDrain);
}

function createTransport(
  settings: Settings,
  runtime: Runtime,
  readFile: ReadFile,
): Transport {
  const {tls} = settings;
  return createGrpcTransport({
    clock: runtime.clock,
    metrics: runtime.metrics,
    tls: tls && {
      cert: readFile(tls.certFile),
      key: readFile(tls.keyFile),
      ca: readFile(tls.caFile),
    },
  });
}

function platformOf(settings: Settings, runtime: Runtime) {
  const {objectApi, hostList, weightStore} = settings.platform;
  return {
    store: createHttpObjectStore(objectApi, {runtime}),
    hostList: createHttpHostList(hostList, runtime),
    weightStore: createHttpWeightStore(weightStore, runtime),
  };
}

async function wireEntry(
  settings: EntrySettings,
  runtime: Runtime,
  transport: Transport,
  requestDrain: () => void,
): Promise<WiredProcess> {
  const {node, host, failureDomain, timing, limits, listen} = settings;
  const incarnation = runtime.random.hex(INCARNATION_BYTES);
  const kernel = createKernel(runtime);
  const {store, hostList, weightStore} = platformOf(settings, runtime);
  const address = settings.advertise.peers;
  await kernel.start(
    createMembershipService({
      transport,
      hostList: hostList.list,
      node,
      host,
      address,
      failureDomain,
      incarnation,
      timing: {
        heartbeatMs: timing.heartbeatMs,
        suspectAfterMs: timing.suspectAfterMs,
        hostListMs: timing.hostListPollMs,
      },
      followReplicas: limits.followReplicas,
    }),
  );
  await kernel.start(
    createConfigService({node, role: 'entry', store, transport}),
  );
  await kernel.start(createClaimsService({store}));
  await kernel.start(createLimitsService({node, transport}));
  await kernel.start(
    createPlacementService({
      node,
      store,
      transport,
      weightStore: weightStore.status,
    }),
  );
  await kernel.start(
    createRequestsService({
      transport,
      node,
      failureDomain,
      routingPolicy: createRoutingPolicies(),
      prefixBlockTokens: PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN,
      timing: {
        beatMs: timing.heartbeatMs,
        silenceMs: timing.channelSilenceMs,
      },
    }),
  );
  await kernel.start(
    createEntryPeersService({transport, address: listen.peers}),
  );
  await kernel.start(
    createCallersService({
      listen: listen.callers,
      limits,
      timing: {bodyTimeoutMs: limits.bodyTimeoutMs},
      verifyKey: verifyKeyAsync,
      wallTimeMs: () => Date.now(),
      yieldLoop: yieldToLoop,
      loopDelayMs: createLoopDelayProbe(),
    }),
  );
  await kernel.start(
    createOperatorsService({
      listen: listen.operators,
      operatorTokenHash: settings.operatorTokenHash,
      verifyKey: verifyKeyAsync,
      yieldLoop: yieldToLoop,
      handlers: ctx =>
        createEntryHandlers(ctx, {
          node,
          incarnation,
          limits,
          drain: requestDrain,
        }),
    }),
  );
  return {
    kernel,
    drain: async () => {
      kernel.send('membership', {kind: 'leave'});
      await Promise.all([
        kernel.ask('callers', (reply: (done: void) => void) => ({
          kind: 'drain',
          reply: () => reply(),
        })),
        kernel.ask('requests', (reply: (done: void) => void) => ({
          kind: 'drain',
          reply: () => reply(),
        })),
      ]);
    },
    open: () =>
      kernel.ask('requests', (reply: (open: number) => void) => ({
        kind: 'count',
        reply,
      })),
    stop: async () => {
      await kernel.stop();
      await transport.close();
    },
  };
}

function upstreamOf(settings: SideSettings, runtime: Runtime): SideUpstream {
  const {kind, url} = settings.upstream;
  const {clock} = runtime;
  return kind === 'engine'
    ? {kind, client: createHttpEngine({url, clock})}
    : {kind, client: createHttpService({url, clock})};
}

async function wireSide(
  settings: SideSettings,
  runtime: Runtime,
  transport: Transport,
  requestDrain: () => void,
): Promise<WiredProcess> {
  const {node, failureDomain, timing, listen, upstream} = settings;
  const incarnation = runtime.random.hex(INCARNATION_BYTES);
  const kernel = createKernel(runtime);
  const {store} = platformOf(settings, runtime);
  await kernel.start(
    createConfigService({node, role: 'side', store, transport}),
  );
  await kernel.start(
    createRunsService({
      upstream: upstreamOf(settings, runtime),
      node,
      incarnation,
      pool: upstream.pool,
      failureDomain,
      queuePolicy: classQueue,
      readFence:
        upstream.kind === 'engine'
          ? () => readLeaseFence(store)
          : () => Promise.resolve(Right(0)),
      timing: {
        heartbeatMs: timing.heartbeatMs,
        channelSilenceMs: timing.channelSilenceMs,
        holdMs: timing.holdMs,
        offerLapseMs: timing.offerLapseMs,
        tombstoneMs: timing.tombstoneMs,
      },
    }),
  );
  await kernel.start(
    createSidePeersService({
      transport,
      address: listen.peers,
      extraHandlers: {
        fetchConfig: req =>
          kernel.ask('config', (reply: (res: FetchConfigRes) => void) => ({
            kind: 'fetch',
            req,
            reply,
          })),
      },
    }),
  );
  await kernel.start(
    createOperatorsService({
      listen: listen.operators,
      operatorTokenHash: settings.operatorTokenHash,
      verifyKey: verifyKeyAsync,
      yieldLoop: yieldToLoop,
      handlers: ctx =>
        createSideOperatorHandlers(ctx, {node, drain: requestDrain}),
    }),
  );
  const status = () =>
    kernel.ask('runs', (reply: (status: SideStatus) => void) => ({
      kind: 'status',
      reply,
    }));
  return {
    kernel,
    drain: () =>
      kernel.ask('runs', (reply: (done: void) => void) => ({
        kind: 'drain',
        reply: () => reply(),
      })),
    open: async () => (await status()).runs.length,
    stop: async () => {
      await kernel.stop();
      await transport.close();
    },
  };
}
