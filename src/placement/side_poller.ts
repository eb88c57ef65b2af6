/**
 * The placer's own look at all sides. An entry follows a bounded subset of
 * them; a placer that saw no more would place within that subset alone, and
 * take a version for missing that runs everywhere else. So it asks the others
 * as well, each once in a period, spread evenly. Only the placer does: one
 * process at a time pays for it.
 */
import type {
  Address,
  ConfigNumber,
  FencingNumber,
  Incarnation,
  NodeId,
} from '../types/ids.js';
import type {SideHeartbeatRes} from '../types/peer_messages.js';
import type {Cancel, Clock} from '../types/runtime.js';
import type {Replica} from '../types/services.js';
import type {Transport} from '../types/transport.js';

/** Pause between two questions, so that the rate does not grow. */
const POLL_GAP_MS = 50;
const MIN_PASS_MS = 2_000;
const MAX_PASS_MS = 30_000;
/** The first pass carries the new number to all sides: it is quicker. */
const FIRST_PASS_MS = 5_000;
const POLL_TIMEOUT_MS = 1_000;
/** Pause between questions to a side with an order under way. */
const PENDING_POLL_MS = 2_000;

export interface PollerIdentity {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  /** Where this entry listens for peers. */
  readonly address: Address;
}

export interface SidePollerOptions {
  readonly self: PollerIdentity;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly fence: () => FencingNumber;
  readonly configNumber: () => ConfigNumber;
  /** Sides to be asked: those that heartbeats do not go to. */
  readonly sides: () => readonly Address[];
  readonly onError: (cause: unknown) => void;
}

export interface SidePoller {
  /** Forgets what is known and begins the first pass. */
  start(): void;
  stop(): void;
  /** Asks these more often: their orders' effects are waited for. */
  pollPending(addresses: readonly Address[]): void;
  /** Whether each side was asked since the start. */
  hasPolledAll(): boolean;
  replicas(): readonly Replica[];
}

/** Makes a survey that is not started. */
export function createSidePoller(options: SidePollerOptions): SidePoller {
  const {clock, transport, self} = options;
  const known = new Map<Address, Replica>();
  const polledAt = new Map<Address, number>();
  let cancelNext: Cancel = () => undefined;
  /** Answers to the questions of an earlier start are dropped. */
  let generation = 0;

  const handleReply = (
    address: Address,
    res: SideHeartbeatRes,
    sentAt: number,
  ) => {
    known.set(address, {
      ...res,
      host: '',
      address,
      state: res.leaving ? 'leaving' : 'live',
      loadAt: sentAt,
      rttMs: clock.now() - sentAt,
    });
  };

  const markSuspect = (address: Address) => {
    const before = known.get(address);
    if (before !== undefined) known.set(address, {...before, state: 'suspect'});
  };

  const poll = async (address: Address) => {
    const startedGeneration = generation;
    const sentAt = clock.now();
    polledAt.set(address, sentAt);
    const req = {
      entry: self.node,
      entryIncarnation: self.incarnation,
      entryAddress: self.address,
      configNumber: options.configNumber(),
      fence: options.fence(),
      owned: [],
    };
    const res = await transport.call(
      address,
      'sideHeartbeat',
      req,
      POLL_TIMEOUT_MS,
    );
    if (startedGeneration !== generation) return;
    res.caseOf({
      Left: () => markSuspect(address),
      Right: side => handleReply(address, side, sentAt),
    });
  };

  const pollSafely = (address: Address) => {
    poll(address).catch(options.onError);
  };

  const removeAbsent = (sides: readonly Address[]) => {
    const present = new Set(sides);
    for (const address of polledAt.keys()) {
      if (present.has(address)) continue;
      polledAt.delete(address);
      known.delete(address);
    }
  };

  /** The one whose last question lies longest back. */
  const leastRecentlyPolled = (
    sides: readonly Address[],
  ): Address | undefined => {
    let best: Address | undefined;
    for (const address of sides) {
      const at = polledAt.get(address) ?? -Infinity;
      if (best === undefined || at < (polledAt.get(best) ?? -Infinity)) {
        best = address;
      }
    }
    return best;
  };

  const hasPolledAll = () => options.sides().every(side => polledAt.has(side));

  const nextDelayMs = (count: number) => {
    if (count === 0) return MIN_PASS_MS;
    const passMs = Math.min(
      MAX_PASS_MS,
      Math.max(MIN_PASS_MS, count * POLL_GAP_MS),
    );
    return (hasPolledAll() ? passMs : Math.min(passMs, FIRST_PASS_MS)) / count;
  };

  const pollNext = () => {
    const sides = options.sides();
    removeAbsent(sides);
    const address = leastRecentlyPolled(sides);
    if (address !== undefined) pollSafely(address);
    cancelNext = clock.after(nextDelayMs(sides.length), pollNext);
  };

  const stop = () => {
    generation += 1;
    cancelNext();
    known.clear();
    polledAt.clear();
  };

  return {
    start: () => {
      stop();
      pollNext();
    },
    stop,
    pollPending: addresses => {
      const sides = new Set(options.sides());
      for (const address of addresses) {
        const sinceMs = clock.now() - (polledAt.get(address) ?? 0);
        if (sides.has(address) && sinceMs >= PENDING_POLL_MS)
          pollSafely(address);
      }
    },
    hasPolledAll,
    replicas: () => [...known.values()],
  };
}
