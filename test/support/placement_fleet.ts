/**
 * Sides with scripted engines, and placers on hosts that can be paused, in
 * virtual time. Every effect on an engine is recorded with the order that
 * caused it.
 */
import {Left, Right} from 'purify-ts';
import {createInitialDeclarations} from '../../src/config/declarations_schema.js';
import {createKernel} from '../../src/kernel/kernel.js';
import type {Kernel} from '../../src/kernel/kernel.js';
import {createPlacementService} from '../../src/placement/placement.js';
import type {PlacementServiceOptions} from '../../src/placement/placement.js';
import type {
  Declarations,
  NumberedDeclarations,
} from '../../src/types/config.js';
import {OnyxError} from '../../src/types/errors.js';
import type {
  ModelState,
  OrderReq,
  OrderRes,
  SideLoad,
} from '../../src/types/peer_messages.js';
import type {WeightStore} from '../../src/types/platform.js';
import type {ServiceSpec} from '../../src/types/kernel.js';
import type {
  MembershipView,
  PlacementStatus,
  Replica,
} from '../../src/types/services.js';
import {createMemoryNetwork} from '../../standins/memory_network.js';
import type {MemoryNetwork} from '../../standins/memory_network.js';
import {createMemoryObjectStore} from '../../standins/memory_object_store.js';
import {createObjectStoreCore} from '../../standins/object_store_core.js';
import type {ObjectStoreCore} from '../../standins/object_store_core.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';
import {createWeightStoreCore} from '../../standins/weight_store_core.js';
import type {WeightStoreCore} from '../../standins/weight_store_core.js';
import {createHostClock, storeOnHost} from './host_clock.js';
import type {HostClock} from './host_clock.js';

/** Period of heartbeats and membership views. */
const HEARTBEAT_MS = 1_000;
/** Size of the model's weights. */
export const WEIGHT_BYTES = 20e9;

/** Declarations that place one model in one pool. */
export function declareModel(
  version: string,
  wish: {readonly minReplicas: number; readonly minPerFailureDomain?: number},
): Declarations {
  return {
    ...createInitialDeclarations(),
    models: [
      {
        id: 'skylark',
        version,
        adapters: [],
        isDefault: true,
        weightBytes: WEIGHT_BYTES,
        maxPromptTokens: 1_000_000,
      },
    ],
    placement: [
      {
        pool: 'onyx-pool',
        model: 'skylark',
        minPerFailureDomain: 0,
        ...wish,
      },
    ],
  };
}

/** Load of an engine without requests. */
export const IDLE_LOAD: SideLoad = {
  capacityTokens: 400_000,
  freeTokens: 400_000,
  running: 0,
  queued: 0,
  prefillBacklogTokens: 0,
  shortBacklogTokens: 0,
  prefillTokensPerSec: 5_000,
  stepMs: 20,
  reportAgeMs: 100,
};

/** What refuses an old fencing number: the engine, its side, or nothing. */
export type FencedBy = 'engine' | 'side' | 'nobody';

/** An order that took effect on an engine. */
export interface Effect {
  readonly at: number;
  readonly address: string;
  readonly order: OrderReq;
}

/** A side with an engine that carries out orders. */
export interface FakeSide {
  readonly address: string;
  models: readonly ModelState[];
  load: SideLoad;
  readonly failureDomain: string;
  /** Highest fencing number that the side has seen. */
  fence: number;
  /** While true, heartbeats do not reach the side, but orders do. */
  missesHeartbeats: boolean;
}

/** An entry with the placement service. */
export interface FakePlacer {
  readonly name: string;
  readonly address: string;
  readonly host: HostClock;
  readonly kernel: Kernel;
  readonly recording: RecordingRuntime;
  /**
   * While true, the placer sends no heartbeats and gets no new membership view.
   */
  isMembershipFrozen: boolean;
  /** Delivers a configuration to this placer. */
  declare(config: NumberedDeclarations): void;
  status(): Promise<PlacementStatus>;
}

/** Sides, placers and what they share. */
export interface PlacementFleet {
  readonly clock: VirtualClock;
  readonly net: MemoryNetwork;
  /** The store that holds the lease. */
  readonly core: ObjectStoreCore;
  /** The weight store. */
  readonly weights: WeightStoreCore;
  readonly sides: readonly FakeSide[];
  readonly placers: readonly FakePlacer[];
  readonly effects: readonly Effect[];
  /** Most engines that were loading at once. */
  maxConcurrentLoads(): number;
  /** Starts a further placer. */
  addPlacer(options?: Partial<PlacementServiceOptions>): Promise<FakePlacer>;
  /** Delivers a configuration to all placers. */
  declare(number: number, declarations: Declarations): void;
  /** Advances the clock, and calls `check` every 100 ms. */
  runFor(ms: number, check?: () => void): Promise<void>;
  stop(): Promise<void>;
}

/** Size and behaviour of the sides. */
export interface PlacementFleetOptions {
  readonly sides: number;
  readonly fencedBy?: FencedBy;
  /** Versions that are ready on each engine at the start. */
  readonly models?: readonly string[];
  /** Transfer rate of the weight store. @default 2e9 */
  readonly bytesPerSec?: number;
}

/** State of a version that is ready. */
export function readyModel(version: string): ModelState {
  return {model: 'skylark', version, adapters: [], ready: true, role: 'mixed'};
}

/** Starts the sides, without placers. */
export async function createPlacementFleet(
  options: PlacementFleetOptions,
): Promise<PlacementFleet> {
  const clock = createVirtualClock();
  const random = createSeededRandom(7);
  const net = createMemoryNetwork(clock, random);
  const core = createObjectStoreCore({clock, random});
  const weights = createWeightStoreCore({
    clock,
    bytesPerSec: options.bytesPerSec ?? 2e9,
    maxActive: 100,
  });
  const effects: Effect[] = [];
  const placers: FakePlacer[] = [];
  let loading = 0;
  let maxConcurrentLoads = 0;

  /**
   * Applies an order to the side's engine. A load ends when the weight store's
   * transfer has ended.
   */
  const executeOrder = (side: FakeSide, order: OrderReq): void => {
    effects.push({at: clock.now(), address: side.address, order});
    const {model, version} = order;
    const others = side.models.filter(state => state.version !== version);
    if (order.action === 'unload') side.models = others;
    if (order.action === 'set-role') {
      side.models = side.models.map(state => ({...state, role: order.role}));
    }
    if (order.action === 'load' && others.length === side.models.length) {
      const state = {...readyModel(version), ready: false};
      side.models = [...others, state];
      loading += 1;
      maxConcurrentLoads = Math.max(maxConcurrentLoads, loading);
      const transfer = weights.start({model, version, bytes: WEIGHT_BYTES});
      void weights.whenOver(transfer?.id ?? '').then(() => {
        loading -= 1;
        side.models = side.models.map(item =>
          item === state ? {...item, ready: true} : item,
        );
      });
    }
  };

  const fencedBy = options.fencedBy ?? 'side';
  const onOrder = (side: FakeSide, order: OrderReq): OrderRes => {
    if (fencedBy !== 'nobody' && order.fence < side.fence) {
      // The reasons given by an engine that checks, and by a side that checks
      // for its engine.
      const reason = fencedBy === 'engine' ? 'stale' : 'stale-fence';
      return {state: 'refused', reason, fence: side.fence};
    }
    side.fence = Math.max(side.fence, order.fence);
    executeOrder(side, order);
    const state = order.action === 'load' ? 'started' : 'done';
    return {state, reason: '', fence: side.fence};
  };

  const domains = ['hall-north', 'hall-south', 'hall-east'];
  const sides = await Promise.all(
    Array.from({length: options.sides}, async (_, n): Promise<FakeSide> => {
      const side: FakeSide = {
        address: `127.0.0.1:${8000 + n}`,
        models: (options.models ?? []).map(readyModel),
        load: IDLE_LOAD,
        failureDomain: domains[n % domains.length],
        fence: 0,
        missesHeartbeats: false,
      };
      await net.transport(side.address).listen(side.address, {
        order: order => Promise.resolve(onOrder(side, order)),
      });
      return side;
    }),
  );

  const weightStore: WeightStore = () => {
    const status = weights.status();
    return Promise.resolve(
      status === undefined
        ? Left(
            new OnyxError({
              code: 'timeout',
              step: 'placement',
              peer: 'weight-store',
              message: 'the weight store gives no answer',
            }),
          )
        : Right(status),
    );
  };

  const addPlacer = async (
    given: Partial<PlacementServiceOptions> = {},
  ): Promise<FakePlacer> => {
    const name = `entry-${placers.length}`;
    const address = `127.0.0.1:${7000 + placers.length}`;
    const host = createHostClock(clock);
    const recording = createRecordingRuntime({clock, random});
    const kernel = createKernel({...recording.runtime, clock: host});
    const store = storeOnHost(createMemoryObjectStore({core, clock}), host);
    let publishConfig = (_config: NumberedDeclarations) => {};
    const config: ServiceSpec<'config'> = {
      name: 'config',
      start: ctx => {
        void ctx.mailbox.observe(message => {
          if (message.kind === 'subscribe') publishConfig = message.listener;
        });
      },
    };
    await kernel.start(config);
    await kernel.start(
      createMembership(sides, () => placer.isMembershipFrozen),
    );
    await kernel.start(
      createPlacementService({
        node: name,
        store,
        transport: net.transport(address),
        weightStore,
        ...given,
      }),
    );
    const placer: FakePlacer = {
      name,
      address,
      host,
      kernel,
      recording,
      isMembershipFrozen: false,
      declare: next => publishConfig(next),
      status: () => kernel.ask('placement', reply => ({kind: 'status', reply})),
    };
    placers.push(placer);
    await clock.runFor(1);
    return placer;
  };

  return {
    clock,
    net,
    core,
    weights,
    sides,
    placers,
    effects,
    maxConcurrentLoads: () => maxConcurrentLoads,
    addPlacer,
    declare: (number, declarations) => {
      for (const placer of placers) placer.declare({number, declarations});
    },
    runFor: async (ms, check) => {
      for (let passed = 0; passed < ms; passed += 100) {
        await clock.runFor(100);
        check?.();
      }
    },
    stop: async () => {
      for (const {kernel, host} of placers) {
        host.thaw();
        const stopped = kernel.stop();
        await clock.runFor(20_000);
        await stopped;
      }
    },
  };
}

/**
 * Delivers a membership view in each heartbeat period, as the real service
 * does.
 */
function createMembership(
  sides: readonly FakeSide[],
  isFrozen: () => boolean,
): ServiceSpec<'membership'> {
  return {
    name: 'membership',
    start: ctx => {
      const listeners = new Set<(view: MembershipView) => void>();
      const currentView = () => ({
        replicas: sides.map(side => replicaOf(side, ctx.clock.now())),
        allSides: [],
        entries: [],
      });
      const sendHeartbeats = (fence: number) => {
        if (isFrozen()) return;
        // Heartbeats deliver the highest fencing number that this entry knows.
        for (const side of sides.filter(
          ({missesHeartbeats: isDeaf}) => !isDeaf,
        )) {
          side.fence = Math.max(side.fence, fence);
        }
        const view = currentView();
        for (const listener of listeners) listener(view);
      };
      void ctx.mailbox.observe(message => {
        if (message.kind !== 'subscribe') return;
        listeners.add(message.listener);
        message.listener(currentView());
      });
      ctx.own(
        ctx.clock.every(
          HEARTBEAT_MS,
          () =>
            void ctx
              .ask('placement', (reply: (status: PlacementStatus) => void) => ({
                kind: 'status',
                reply,
              }))
              .then(({fence}) => sendHeartbeats(fence)),
        ),
      );
    },
  };
}

/** The side as a membership view shows it. */
export function replicaOf(side: FakeSide, loadAt: number): Replica {
  return {
    host: side.address,
    node: side.address,
    address: side.address,
    pool: 'onyx-pool',
    failureDomain: side.failureDomain,
    incarnation: '1',
    state: 'live',
    load: side.load,
    loadAt,
    models: side.models,
    configNumber: 1,
    fence: side.fence,
    rttMs: 1,
  };
}
