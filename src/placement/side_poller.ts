/**
 * Polls the sides that this entry does not follow, for the placer. An entry
 * follows only a bounded subset of the sides. If the placer knew no other
 * sides, it would place models only within that subset, and consider a version
 * missing that runs everywhere else. Only the placer polls, so the additional
 * load comes from one process at a time. The polls of one pass are spread
 * evenly over time.
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

/**
 * Time between two polls, unless a bound of the pass makes it longer or
 * shorter. It keeps the rate of polls constant while the number of sides grows.
 */
const POLL_GAP_MS = 50;
/**
 * Shortest time of a pass over all sides. Without sides, the next pass begins
 * after this time.
 */
const MIN_PASS_MS = 2_000;
/**
 * Longest time of a pass over all sides. With more sides than fit in it at
 * `POLL_GAP_MS`, polls are closer together.
 */
const MAX_PASS_MS = 30_000;
/**
 * Longest time of the first pass. It is shorter because this pass delivers the
 * new fencing number to all sides.
 */
const FIRST_PASS_MS = 5_000;
/** Timeout of a poll. After it, a side that answered before is suspect. */
const POLL_TIMEOUT_MS = 1_000;
/** Minimum time between polls of a side with a pending order. */
const PENDING_POLL_MS = 2_000;

/** How this entry introduces itself to the sides. */
export interface PollerIdentity {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  /** Where this entry listens for peers. */
  readonly address: Address;
}

/** What the poller needs. */
export interface SidePollerOptions {
  readonly self: PollerIdentity;
  readonly clock: Clock;
  readonly transport: Transport;
  /** Fencing number of the placer, sent with each poll. */
  readonly fence: () => FencingNumber;
  /** Configuration number of this entry, sent with each poll. */
  readonly configNumber: () => ConfigNumber;
  /** Sides to poll: those that get no heartbeats from this entry. */
  readonly sides: () => readonly Address[];
  /** Receives an error that a poll should never cause. */
  readonly onError: (cause: unknown) => void;
}

/** Polls sides, and keeps their last reports. */
export interface SidePoller {
  /** Drops all reports and begins the first pass. */
  start(): void;
  /** Stops polling and drops all reports. */
  stop(): void;
  /**
   * Polls these sides now if their last poll was long enough ago, because they
   * have pending orders whose effects are awaited.
   */
  pollPending(addresses: readonly Address[]): void;
  /** True when each side was polled since the start. */
  hasPolledAll(): boolean;
  /** The sides that have answered, as last reported. */
  replicas(): readonly Replica[];
}

/** Creates a poller that is not started. */
export function createSidePoller(options: SidePollerOptions): SidePoller {
  const {clock, transport, self} = options;
  const known = new Map<Address, Replica>();
  const polledAt = new Map<Address, number>();
  let cancelNext: Cancel = () => undefined;
  /**
   * Number of the current start. Replies to polls of an earlier start are
   * dropped.
   */
  let generation = 0;

  /** Stores the report of a side. */
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

  /** Marks a side as suspect after a failed poll. */
  const markSuspect = (address: Address) => {
    const before = known.get(address);
    if (before !== undefined) known.set(address, {...before, state: 'suspect'});
  };

  /** Polls one side and handles its reply. */
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

  /** Removes sides that need not be polled any more. */
  const removeAbsent = (sides: readonly Address[]) => {
    const present = new Set(sides);
    for (const address of polledAt.keys()) {
      if (present.has(address)) continue;
      polledAt.delete(address);
      known.delete(address);
    }
  };

  /** The side whose last poll was the longest time ago. */
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

  /** Time until the next poll when there are `count` sides. */
  const nextDelayMs = (count: number) => {
    if (count === 0) return MIN_PASS_MS;
    const passMs = Math.min(
      MAX_PASS_MS,
      Math.max(MIN_PASS_MS, count * POLL_GAP_MS),
    );
    return (hasPolledAll() ? passMs : Math.min(passMs, FIRST_PASS_MS)) / count;
  };

  /** Polls one side and schedules the next poll. */
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
