/**
 * Creates and connects the services of a direct entry, which serves upstreams
 * without side processes. The platform's protocol is injected as functions.
 */
import {createDirectFront} from './direct/front/front.js';
import {maxReadyAgeMs} from './direct/evidence.js';
import {createStoreFollower} from './direct/store_follower.js';
import {createHandover} from './direct/handover.js';
import {createProcessMemory} from './direct/held/process_memory.js';
import type {ProcessMemory} from './direct/held/process_memory.js';
import {createReadyServer} from './direct/ready_server.js';
import type {DirectSettings} from './direct/settings.js';
import {repeatDrain} from './direct/stop/repeat_drain.js';
import {createSharing} from './direct/sharing.js';
import type {
  DirectStore,
  EntryAddress,
  HeaderCodec,
  ReadReport,
  Reservations,
} from './direct/types.js';
import type {WatchNotices} from './direct/gate/replica_statements.js';
import {createKernel} from './kernel/kernel.js';
import type {Kernel} from './kernel/kernel.js';
import type {Runtime} from './types/runtime.js';
import {createReadTurns} from './utils/read_turns.js';
import type {ReadTurns} from './utils/read_turns.js';

/** Random bytes that distinguish this process from earlier ones of its name. */
const INCARNATION_BYTES = 6;
/** Longest lease on a member's memory; the settings may bound it further. */
const MAX_HOLD_MS = 3_500;
/** Default time for which leaving replicas still serve. */
const DEFAULT_LEAVING_MS = 1_500;
/**
 * A lease is shorter than the platform's bound on unused memory by this, so
 * that the lease of a dead entry expires in time.
 */
const HOLD_MARGIN_MS = 500;
/** Longest time after which unused memory is released. */
const MAX_UNUSED_MS = 2_000;
/**
 * Unused memory is released after this share of the platform's bounds. The use
 * is checked before each renewal, so one more renewal period may pass, and the
 * release itself takes time.
 */
const UNUSED_SHARE = 0.5;

/** Settings, and the adapters to the platform. */
export interface DirectDependencies {
  readonly settings: DirectSettings;
  readonly store: DirectStore;
  readonly codec: HeaderCodec;
  readonly orders: Reservations;
  readonly readReport: ReadReport;
  readonly watchNotices: WatchNotices;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
  /** @default that of this process */
  readonly memory?: ProcessMemory;
  /** Bounds the work with received bytes. @default created here */
  readonly turns?: ReadTurns;
  /** See `SharingOptions`. @default true */
  readonly readsCompactLoads?: boolean;
}

export interface DirectProcess {
  readonly kernel: Kernel;
  /** Stops accepting requests; resolves when all open ones have ended. */
  drain(): Promise<void>;
  /** Number of requests without a final answer. */
  openRequests(): Promise<number>;
}

/** Starts all services of a direct entry. */
export async function wireDirectEntry(
  dependencies: DirectDependencies,
  runtime: Runtime,
): Promise<DirectProcess> {
  const {settings, store, readsCompactLoads} = dependencies;
  const {turns = createReadTurns(runtime)} = dependencies;
  const kernel = createKernel(runtime);
  const incarnation = runtime.random.hex(INCARNATION_BYTES);
  const self: EntryAddress = {
    node: settings.node,
    incarnation,
    ip: settings.ip,
    port: settings.peerPorts[0],
    failureDomain: settings.failureDomain,
    ...(settings.organisationShares && {readsShares: true}),
  };
  await kernel.keep(
    createDirectFront({
      settings,
      incarnation,
      codec: dependencies.codec,
      orders: dependencies.orders,
      readReport: dependencies.readReport,
      watchNotices: dependencies.watchNotices,
      leavingMs: leavingMsOf(settings),
      holdMs: holdMsOf(settings),
      unusedMs: unusedMsOf(settings),
      wallMs: dependencies.wallMs,
      memory: dependencies.memory ?? createProcessMemory(),
      turns,
    }),
  );
  await kernel.keep(createSharing({self, store, readsCompactLoads}));
  await kernel.keep(createHandover({self, turns}));
  await kernel.keep(
    createStoreFollower({
      node: settings.node,
      store,
      maxReadyAgeMs: maxReadyAgeMs(settings.timing.revokeMs),
      leavingMs: leavingMsOf(settings),
      evacuateMs: settings.timing.evacuateMs,
      isBootstrap: settings.bootstrap ?? false,
      wallMs: dependencies.wallMs,
    }),
  );
  await kernel.keep(
    createReadyServer({
      ready: settings.listen.ready,
      metrics: settings.listen.metrics,
    }),
  );
  return {
    kernel,
    drain: () =>
      repeatDrain(runtime.clock, settings.timing.graceS * 1_000, () =>
        kernel.ask('direct', (reply: (done: void) => void) => ({
          kind: 'drain',
          reply: () => reply(),
        })),
      ),
    openRequests: () =>
      kernel
        .ask('direct', (reply: (open: number) => void) => ({
          kind: 'count',
          reply,
        }))
        // A front that is not running has ended its requests.
        .catch(() => 0),
  };
}

function leavingMsOf({timing}: DirectSettings): number {
  return timing.leavingMs ?? DEFAULT_LEAVING_MS;
}

function holdMsOf({timing}: DirectSettings): number {
  const {maxHoldMs = Infinity, freeMs = Infinity} = timing;
  return Math.min(MAX_HOLD_MS, maxHoldMs, freeMs - HOLD_MARGIN_MS);
}

function unusedMsOf({timing}: DirectSettings): number {
  const {freeMs = Infinity, unusedMs = Infinity} = timing;
  return Math.min(MAX_UNUSED_MS, UNUSED_SHARE * Math.min(freeMs, unusedMs));
}
