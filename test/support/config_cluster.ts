/**
 * A cluster of processes with the service `config`, in virtual time. They share
 * one store, and send each other heartbeats with the number in force.
 */
import type {Either} from 'purify-ts';
import {createConfigService} from '../../src/config/config_service.js';
import type {ConfigServiceOptions} from '../../src/config/config_service.js';
import {createKernel} from '../../src/kernel/kernel.js';
import type {Kernel} from '../../src/kernel/kernel.js';
import type {NumberedDeclarations} from '../../src/types/config.js';
import type {OnyxError} from '../../src/types/errors.js';
import type {ServiceSpec} from '../../src/types/kernel.js';
import type {
  FetchConfigReq,
  FetchConfigRes,
} from '../../src/types/peer_messages.js';
import type {
  ConfigAccepted,
  ConfigHistoryLine,
  ConfigPatch,
  ConfigRejection,
  MembershipView,
} from '../../src/types/services.js';
import {createMemoryObjectStore} from '../../standins/memory_object_store.js';
import type {MemoryObjectStore} from '../../standins/memory_object_store.js';
import {createObjectStoreCore} from '../../standins/object_store_core.js';
import type {ObjectStoreCore} from '../../standins/object_store_core.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';
import {createMemoryNetwork} from '../../standins/memory_network.js';
import type {MemoryNetwork} from '../../standins/memory_network.js';
import type {PeerHandlers, Transport} from '../../src/types/transport.js';

const HEARTBEAT_MS = 1_000;
/** Number of processes to which each process sends heartbeats. */
const PEERS_PER_NODE = 4;

export interface ConfigNode {
  readonly name: string;
  readonly address: string;
  readonly kernel: Kernel;
  readonly recording: RecordingRuntime;
  readonly store: MemoryObjectStore;
  readonly transport: Transport;
  /** Replaces the given handlers of calls from peers. */
  setHandlers(handlers: PeerHandlers): void;
  /** Numbers that came into force in this process, in order. */
  readonly numbersInForce: number[];
  inForce(): NumberedDeclarations | undefined;
}

export interface ConfigCluster {
  readonly clock: VirtualClock;
  readonly core: ObjectStoreCore;
  readonly net: MemoryNetwork;
  readonly nodes: readonly ConfigNode[];
  addNode(options?: Partial<ConfigServiceOptions>): Promise<ConfigNode>;
  /** Sends a patch and runs the clock until the reply. */
  apply(
    node: ConfigNode,
    patch: Partial<ConfigPatch>,
  ): Promise<Either<ConfigRejection, ConfigAccepted>>;
  history(
    node: ConfigNode,
  ): Promise<Either<OnyxError, readonly ConfigHistoryLine[]>>;
  show(
    node: ConfigNode,
    number: number,
  ): Promise<Either<OnyxError, NumberedDeclarations>>;
  /** Runs the clock until the promise settles. */
  runUntilSettled<T>(answer: Promise<T>): Promise<T>;
  stop(): Promise<void>;
}

/** Creates a cluster without processes. */
export function createConfigCluster(seed = 1): ConfigCluster {
  const clock = createVirtualClock();
  const random = createSeededRandom(seed);
  const core = createObjectStoreCore({clock, random});
  const net = createMemoryNetwork(clock, random);
  const nodes: ConfigNode[] = [];
  const membershipListeners = new Set<(view: MembershipView) => void>();

  const createMembership = (
    self: () => ConfigNode,
  ): ServiceSpec<'membership'> => ({
    name: 'membership',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind !== 'subscribe') return;
        membershipListeners.add(message.listener);
        message.listener(membershipViewOf(nodes));
      });
      const sendHeartbeats = () => {
        for (const peer of peersOf(nodes, self())) {
          const req = heartbeatOf(self());
          void self()
            .transport.call(peer.address, 'entryHeartbeat', req, HEARTBEAT_MS)
            .then(answer =>
              answer.ifRight(res =>
                ctx.send('config', {
                  kind: 'peer-number',
                  peer: peer.address,
                  number: res.configNumber,
                }),
              ),
            );
        }
      };
      ctx.own(
        ctx.clock.after(random.next() * HEARTBEAT_MS, () => {
          sendHeartbeats();
          ctx.own(ctx.clock.every(HEARTBEAT_MS, sendHeartbeats));
        }),
      );
    },
  });

  const addNode = async (options: Partial<ConfigServiceOptions> = {}) => {
    const name = `node-${nodes.length}`;
    const address = `127.0.0.1:${7000 + nodes.length}`;
    const recording = createRecordingRuntime({clock, random});
    const kernel = createKernel(recording.runtime);
    const store = createMemoryObjectStore({core, clock});
    const numbersInForce: number[] = [];
    let latest: NumberedDeclarations | undefined;
    const transport = net.transport(address);
    let handlers: PeerHandlers = {
      fetchConfig: req => fetchAsPeer(kernel, req),
      entryHeartbeat: req => {
        const {address: peer, configNumber: number} = req;
        kernel.send('config', {kind: 'peer-number', peer, number});
        return Promise.resolve(heartbeatOf(node));
      },
    };
    const node: ConfigNode = {
      name,
      address,
      kernel,
      recording,
      store,
      transport,
      setHandlers: other => {
        handlers = {...handlers, ...other};
      },
      numbersInForce,
      inForce: () => latest,
    };
    nodes.push(node);
    for (const viewer of membershipListeners) viewer(membershipViewOf(nodes));
    await transport.listen(address, {
      fetchConfig: req => callHandler(handlers.fetchConfig, req),
      entryHeartbeat: req => callHandler(handlers.entryHeartbeat, req),
    });
    await kernel.start(createMembership(() => node));
    await kernel.start(
      createConfigService({
        node: name,
        role: 'entry',
        store,
        transport,
        ...options,
      }),
    );
    kernel.send('config', {
      kind: 'subscribe',
      listener: config => {
        latest = config;
        numbersInForce.push(config.number);
      },
    });
    return node;
  };

  const runUntilSettled = async <T>(answer: Promise<T>): Promise<T> => {
    let settled = false;
    const markSettled = () => {
      settled = true;
    };
    answer.then(markSettled, markSettled);
    await clock.settle();
    while (!settled) await clock.step();
    return answer;
  };

  return {
    clock,
    core,
    net,
    nodes,
    addNode,
    runUntilSettled,
    apply: (node, patch) =>
      runUntilSettled(
        node.kernel.ask('config', reply => ({
          kind: 'apply',
          patch: {...PATCH, ...patch},
          reply,
        })),
      ),
    history: node =>
      runUntilSettled(
        node.kernel.ask('config', reply => ({
          kind: 'history',
          limit: 9,
          reply,
        })),
      ),
    show: (node, number) =>
      runUntilSettled(
        node.kernel.ask('config', reply => ({kind: 'show', number, reply})),
      ),
    stop: async () => {
      for (const node of nodes) await node.kernel.stop();
    },
  };
}

/** A merge patch on number 0 that declares one organisation. */
export const PATCH: ConfigPatch = {
  patchId: 'patch-1',
  base: 0,
  form: 'merge-patch',
  patch: '{"organisations":{"prairie-sky":{}}}',
  dryRun: false,
  operator: 'ada',
};

/** Sends a fetch request to a process, as a peer does. */
export function fetchAsPeer(
  kernel: Kernel,
  req: FetchConfigReq,
): Promise<FetchConfigRes> {
  return kernel.ask('config', reply => ({kind: 'fetch', req, reply}));
}

function callHandler<Req, Res>(
  handler: ((req: Req) => Promise<Res>) | undefined,
  req: Req,
): Promise<Res> {
  if (handler === undefined) throw new Error('no handler');
  return handler(req);
}

/** Returns neighbours on a ring. A new number needs several hops to reach all. */
function peersOf(
  nodes: readonly ConfigNode[],
  self: ConfigNode,
): readonly ConfigNode[] {
  const at = nodes.indexOf(self);
  const others = Math.min(PEERS_PER_NODE, nodes.length - 1);
  return Array.from(
    {length: others},
    (_, hop) => nodes[(at + 2 ** hop) % nodes.length] as ConfigNode,
  ).filter(peer => peer !== self);
}

function heartbeatOf(node: ConfigNode) {
  return {
    node: node.name,
    incarnation: node.name,
    address: node.address,
    failureDomain: 'hall-north',
    leaving: false,
    configNumber: node.inForce()?.number ?? 0,
    fence: 0,
  };
}

function membershipViewOf(nodes: readonly ConfigNode[]): MembershipView {
  return {
    replicas: [],
    allSides: [],
    entries: nodes.map(node => ({
      ...heartbeatOf(node),
      state: 'live' as const,
    })),
  };
}
