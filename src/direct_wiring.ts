/**
 * Wires the services of an entry that serves upstreams without sides. The
 * platform's protocol comes in as functions.
 */
import {createDirectFront} from './direct/front.js';
import {maxReadyAgeMs} from './direct/evidence.js';
import {createStoreFollower} from './direct/store_follower.js';
import {createHandover} from './direct/handover.js';
import {createReadyServer} from './direct/ready_server.js';
import type {DirectSettings} from './direct/settings.js';
import {createSharing} from './direct/sharing.js';
import type {
  DirectStore,
  EntryAddress,
  HeaderCodec,
  ReadReport,
  Reservations,
} from './direct/types.js';
import {createKernel} from './kernel/kernel.js';
import type {Kernel} from './kernel/kernel.js';
import type {Runtime} from './types/runtime.js';

const INCARNATION_BYTES = 6;
/** Lease on a member's memory, where the platform sets no bound. */
const HOLD_MS = 3_500;
/** Replicas that leave serve on for so long where the settings say nothing. */
const LEAVING_MS = 1_500;
/** A lease of a dead entry must lapse before the platform's bound on it. */
const HOLD_MARGIN_MS = 500;
/** Memory without a sign of use is released then, where the settings say nothing. */
const UNUSED_MS = 2_000;
/**
 * Of the bounds on unused memory. Use is looked for before each renewal, so
 * that one more period of it may pass, and the release takes its time.
 */
const UNUSED_SHARE = 0.5;

/** What the platform's folder brings. */
export interface DirectDependencies {
  readonly settings: DirectSettings;
  readonly store: DirectStore;
  readonly codec: HeaderCodec;
  readonly orders: Reservations;
  readonly readReport: ReadReport;
  /** Time of day, in milliseconds. */
  readonly wallMs: () => number;
}

export interface DirectProcess {
  readonly kernel: Kernel;
  /** Takes no new work; resolves when what is in progress has ended. */
  drain(): Promise<void>;
  openRequests(): Promise<number>;
}

/** Starts all services of a direct entry. */
export async function wireDirectEntry(
  parts: DirectDependencies,
  runtime: Runtime,
): Promise<DirectProcess> {
  const {settings, store} = parts;
  const kernel = createKernel(runtime);
  const incarnation = runtime.random.hex(INCARNATION_BYTES);
  const self: EntryAddress = {
    node: settings.node,
    incarnation,
    ip: settings.ip,
    port: settings.peerPorts[0],
    failureDomain: settings.failureDomain,
  };
  await kernel.start(
    createDirectFront({
      settings,
      incarnation,
      codec: parts.codec,
      orders: parts.orders,
      readReport: parts.readReport,
      holdMs: holdMsOf(settings),
      unusedMs: unusedMsOf(settings),
      wallMs: parts.wallMs,
    }),
  );
  await kernel.start(createSharing({self, store}));
  await kernel.start(createHandover({self}));
  await kernel.start(
    createStoreFollower({
      store,
      maxReadyAgeMs: maxReadyAgeMs(settings.timing.revokeMs),
      leavingMs: settings.timing.leavingMs ?? LEAVING_MS,
      isBootstrap: settings.bootstrap ?? false,
      wallMs: parts.wallMs,
    }),
  );
  await kernel.start(
    createReadyServer({
      ready: settings.listen.ready,
      metrics: settings.listen.metrics,
    }),
  );
  return {
    kernel,
    drain: () =>
      kernel.ask('direct', (reply: (done: void) => void) => ({
        kind: 'drain',
        reply: () => reply(),
      })),
    openRequests: () =>
      kernel.ask('direct', (reply: (open: number) => void) => ({
        kind: 'count',
        reply,
      })),
  };
}

function holdMsOf({timing}: DirectSettings): number {
  const {maxHoldMs = Infinity, freeMs = Infinity} = timing;
  return Math.min(HOLD_MS, maxHoldMs, freeMs - HOLD_MARGIN_MS);
}

function unusedMsOf({timing}: DirectSettings): number {
  const {freeMs = Infinity, unusedMs = Infinity} = timing;
  return Math.min(UNUSED_MS, UNUSED_SHARE * Math.min(freeMs, unusedMs));
}
