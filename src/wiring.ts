/**
 * Creates and starts the services of a process from its settings. This is the
 * only module that chooses the implementation of each interface.
 */
import {Right} from 'purify-ts';
import type {Maybe} from 'purify-ts';
import type {
  EntrySettings,
  LimitSettings,
  Settings,
  SideSettings,
  TimingSettings,
} from './config/settings.js';
import {createConfigService} from './config/config_service.js';
import {countLiveHosts} from './config/validate.js';
import type {LiveHostCounts} from './config/validate.js';
import {createClaimsService} from './entry/claims/claims_per_key.js';
import {createEntryPeersService} from './entry/entry_peers.js';
import {createCallersService} from './entry/front/http_callers.js';
import {createOperatorsService} from './entry/front/http_operators.js';
import type {OperatorsOptions} from './entry/front/http_operators.js';
import {createEntryHandlers} from './entry/front/operator_handlers.js';
import {PREFIX_BLOCK_BYTES} from './entry/admission/prefix_hashes.js';
import {createRequestsService} from './entry/requests.js';
import {createKernel} from './kernel/kernel.js';
import type {Kernel} from './kernel/kernel.js';
import {createLimitsService} from './limits/limits.js';
import {createMembershipService} from './membership/membership.js';
import {createPlacementService} from './placement/placement.js';
import {readLeaseFence} from './placement/placement_lease.js';
import {createHttpHostList} from './stores/http_host_list.js';
import {createHttpObjectStore} from './stores/http_object_store.js';
import {createHttpWeightStore} from './stores/http_weight_store.js';
import type {RoutingPolicy} from './policy/routing.js';
import {createRoutingPolicies} from './policy/routing_policies.js';
import {classQueue} from './policy/side_queue.js';
import type {SideUpstream} from './side/side_core.js';
import type {QueuePolicy} from './side/queue_policy.js';
import type {SideStatus} from './side/messages.js';
import {createSidePeersService} from './side/peers_service.js';
import {createRunsService} from './side/runs_service.js';
import {createSideOperatorHandlers} from './side/operator_handlers.js';
import type {
  Address,
  FailureDomain,
  HostId,
  Incarnation,
  NodeId,
  PoolId,
} from './types/ids.js';
import type {FetchConfigRes} from './types/peer_messages.js';
import type {HostList, ObjectStore, WeightStore} from './types/platform.js';
import type {Runtime} from './types/runtime.js';
import type {Transport} from './types/transport.js';
import {createHttpEngine} from './upstream/http_engine.js';
import {createHttpService} from './upstream/http_service.js';
import {createLoopDelayProbe, yieldToLoop} from './utils/event_loop.js';
import {verifyKeyAsync} from './utils/keys.js';
import {createGrpcTransport} from './wire/grpc_transport.js';

/** Estimated bytes of text per token, as in `entry/admission`. */
const BYTES_PER_TOKEN = 4;
/** Random bytes in the id of a process incarnation. */
const INCARNATION_BYTES = 6;
/**
 * Heartbeat periods within which a side's first frame must arrive, unless the
 * channel's silence limit is shorter. A side sends a frame once per period; the
 * extra half allows for network delay.
 */
const FIRST_FRAME_HEARTBEATS = 1.5;

/** Options of the services that both roles run. */
export interface ServicesOptions {
  readonly node: NodeId;
  readonly failureDomain: FailureDomain;
  readonly incarnation: Incarnation;
  /** Address on which to listen for peers. */
  readonly listen: Address;
  readonly timing: TimingSettings;
  readonly transport: Transport;
  readonly store: ObjectStore;
}

/** Options of an entry's services. */
export interface EntryServicesOptions extends ServicesOptions {
  readonly host: HostId;
  /** Address at which peers reach this entry. */
  readonly address: Address;
  readonly limits: Pick<LimitSettings, 'followReplicas'>;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
  /** Finds a routing policy by its name. */
  readonly routingPolicy: (name: string) => RoutingPolicy;
}

/** Options of a side's services. */
export interface SideServicesOptions extends ServicesOptions {
  readonly pool: PoolId;
  readonly upstream: SideUpstream;
  readonly queuePolicy: QueuePolicy;
}

/**
 * Starts an entry's services except its HTTP front ends. Randomised runs and
 * benchmarks start the same services on a virtual clock and an in-memory
 * network.
 */
export async function startEntryServices(
  kernel: Kernel,
  options: EntryServicesOptions,
): Promise<void> {
  const {node, failureDomain, timing, transport, store} = options;
  await kernel.start(
    createMembershipService({
      ...options,
      timing: {
        heartbeatMs: timing.heartbeatMs,
        suspectAfterMs: timing.suspectAfterMs,
        hostListPollMs: timing.hostListPollMs,
      },
      followReplicas: options.limits.followReplicas,
    }),
  );
  await kernel.start(
    createConfigService({
      node,
      role: 'entry',
      store,
      transport,
      liveHostCounts: () => readLiveHostCounts(options.hostList),
    }),
  );
  await kernel.start(createClaimsService({store}));
  await kernel.start(
    createLimitsService({node, address: options.address, transport}),
  );
  await kernel.start(
    createPlacementService({
      node,
      store,
      transport,
      weightStore: options.weightStore,
      pollerIdentity: options,
    }),
  );
  await kernel.start(
    createRequestsService({
      transport,
      node,
      failureDomain,
      routingPolicy: options.routingPolicy,
      prefixBlockTokens: PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN,
      timing: {
        heartbeatMs: timing.heartbeatMs,
        silenceTimeoutMs: timing.channelSilenceMs,
        firstFrameTimeoutMs: Math.min(
          timing.channelSilenceMs,
          FIRST_FRAME_HEARTBEATS * timing.heartbeatMs,
        ),
      },
    }),
  );
  await kernel.start(
    createEntryPeersService({transport, address: options.listen}),
  );
}

/**
 * Live hosts by pool. `Nothing` while the host list is unavailable or empty, so
 * that placement declarations are not validated against missing data.
 */
async function readLiveHostCounts(
  hostList: HostList,
): Promise<Maybe<LiveHostCounts>> {
  return (await hostList())
    .toMaybe()
    .filter(hosts => hosts.length > 0)
    .map(countLiveHosts);
}

/** Starts a side's services except its HTTP front end. */
export async function startSideServices(
  kernel: Kernel,
  options: SideServicesOptions,
): Promise<void> {
  const {node, transport, store, upstream} = options;
  await kernel.start(
    createConfigService({node, role: 'side', store, transport}),
  );
  await kernel.start(
    createRunsService({
      ...options,
      readFence:
        upstream.kind === 'engine'
          ? () => readLeaseFence(store)
          : () => Promise.resolve(Right(0)),
    }),
  );
  await kernel.start(
    createSidePeersService({
      transport,
      address: options.listen,
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
}

/** A process with its services running. */
export interface RunningProcess {
  readonly kernel: Kernel;
  /** Stops accepting work and resolves when the work in progress has ended. */
  drain(): Promise<void>;
  /** Number of requests (entry) or runs (side) in progress. */
  countOpen(): Promise<number>;
  /** Stops all services without waiting for the work in progress. */
  stop(): Promise<void>;
}

/** Reads a PEM file that the TLS settings name. */
export type ReadFile = (path: string) => Buffer;

/** Starts the services of the role given in the settings. */
export function startProcess(
  settings: Settings,
  runtime: Runtime,
  readFile: ReadFile,
  requestDrain: () => void,
): Promise<RunningProcess> {
  const transport = createTransport(settings, runtime, readFile);
  return settings.role === 'entry'
    ? startEntry(settings, runtime, transport, requestDrain)
    : startSide(settings, runtime, transport, requestDrain);
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

function createPlatformClients(settings: Settings, runtime: Runtime) {
  const {objectApi, hostList, weightStore} = settings.platform;
  return {
    store: createHttpObjectStore(objectApi, {runtime}),
    hostList: createHttpHostList(hostList, runtime),
    weightStore: createHttpWeightStore(weightStore, runtime),
  };
}

/** Drains a service; resolves when its work in progress has ended. */
function drainService(
  kernel: Kernel,
  service: 'callers' | 'requests' | 'runs',
): Promise<void> {
  return kernel.ask(service, (reply: (done: void) => void) => ({
    kind: 'drain',
    reply: () => reply(),
  }));
}

async function stopAll(kernel: Kernel, transport: Transport): Promise<void> {
  await kernel.stop();
  await transport.close();
}

/** Starts the operators' HTTP front end with the handlers of the role. */
function startOperatorsService(
  kernel: Kernel,
  settings: Settings,
  handlers: OperatorsOptions['handlers'],
): Promise<void> {
  return kernel.start(
    createOperatorsService({
      listen: settings.listen.operators,
      operatorTokenHash: settings.operatorTokenHash,
      verifyKey: verifyKeyAsync,
      yieldLoop: yieldToLoop,
      handlers,
    }),
  );
}

async function startEntry(
  settings: EntrySettings,
  runtime: Runtime,
  transport: Transport,
  requestDrain: () => void,
): Promise<RunningProcess> {
  const {node, limits, listen} = settings;
  const incarnation = runtime.random.hex(INCARNATION_BYTES);
  const kernel = createKernel(runtime);
  const {store, hostList, weightStore} = createPlatformClients(
    settings,
    runtime,
  );
  await startEntryServices(kernel, {
    ...settings,
    incarnation,
    listen: listen.peers,
    address: settings.advertise.peers,
    transport,
    store,
    hostList: hostList.list,
    weightStore: weightStore.status,
    routingPolicy: createRoutingPolicies(),
  });
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
  await startOperatorsService(kernel, settings, ctx =>
    createEntryHandlers(ctx, {
      node,
      incarnation,
      limits,
      drain: requestDrain,
    }),
  );
  return {
    kernel,
    drain: async () => {
      kernel.send('membership', {kind: 'leave'});
      await Promise.all([
        drainService(kernel, 'callers'),
        drainService(kernel, 'requests'),
      ]);
    },
    countOpen: () =>
      kernel.ask('requests', (reply: (open: number) => void) => ({
        kind: 'count',
        reply,
      })),
    stop: () => stopAll(kernel, transport),
  };
}

function createUpstreamClient(
  settings: SideSettings,
  runtime: Runtime,
): SideUpstream {
  const {kind, url} = settings.upstream;
  const {clock} = runtime;
  return kind === 'engine'
    ? {kind, client: createHttpEngine({url, clock})}
    : {kind, client: createHttpService({url, clock})};
}

async function startSide(
  settings: SideSettings,
  runtime: Runtime,
  transport: Transport,
  requestDrain: () => void,
): Promise<RunningProcess> {
  const {node, listen, upstream} = settings;
  const incarnation = runtime.random.hex(INCARNATION_BYTES);
  const kernel = createKernel(runtime);
  const {store} = createPlatformClients(settings, runtime);
  await startSideServices(kernel, {
    ...settings,
    incarnation,
    listen: listen.peers,
    pool: upstream.pool,
    upstream: createUpstreamClient(settings, runtime),
    transport,
    store,
    queuePolicy: classQueue,
  });
  await startOperatorsService(kernel, settings, ctx =>
    createSideOperatorHandlers(ctx, {node, drain: requestDrain}),
  );
  const status = () =>
    kernel.ask('runs', (reply: (status: SideStatus) => void) => ({
      kind: 'status',
      reply,
    }));
  return {
    kernel,
    drain: () => drainService(kernel, 'runs'),
    countOpen: async () => (await status()).runs.length,
    stop: () => stopAll(kernel, transport),
  };
}
