/**
 * Follows the evacuations of failure domains in the platform's store and
 * reports all that are in force at each change. The store is authoritative;
 * while it does not answer, the evacuations that were known last stay in force.
 *
 * Each return of a watch is followed by another call, at every entry. A watch
 * therefore waits long while a peer, another entry, confirms that both know the
 * same evacuations. If a peer knows others, this entry lists them at once,
 * because its watch may wait on a connection that failed silently.
 */
import type {Cancel, Clock, Log, Random} from '../../types/runtime.js';
import {createGuard, toProcess} from '../../utils/callback_guard.js';
import type {StepOwner} from '../../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {followCollection} from '../collection_follower.js';
import type {CollectionFollower} from '../collection_follower.js';
import {REWRITE_GRACE_MS} from '../config_proof.js';
import {runAll} from '../../utils/run_each.js';
import {createConfirmationTimer} from '../store_connection.js';
import type {Collection, StoreFault} from '../followed/collection.js';
import type {PeerAnswer} from '../types.js';
import {createKnownEvacuations} from './known_evacuations.js';

/**
 * Longest wait of a watch that no peer confirms, as a share of the bound. A
 * watch whose connection fails silently is given up half a second later; then
 * this entry lists, and entries that rely on it differ from it at their next
 * query. All of that fits into half of the bound.
 */
const WATCH_SHARE = 0.25;
/** Longest wait of such a watch, in milliseconds, whatever the bound. */
const MAX_WATCH_MS = 2_000;
/**
 * While a peer keeps knowing something else, the collection is listed at most
 * once in this time, in milliseconds. Peers differ for a moment after each
 * change, and longer where one of them cannot read the whole collection.
 */
const RELIST_INTERVAL_MS = 2_000;
/**
 * The first replicas are held back until the evacuations are known, but no
 * longer than this, in milliseconds. Otherwise an entry that starts would send
 * its first requests to an evacuated domain.
 */
const MAX_HOLD_MS = 1_000;
/**
 * A peer's evidence up to this age, in milliseconds, shows the store's state.
 */
const MAX_EVIDENCE_AGE_MS = 2_000;
/**
 * Time in milliseconds after which evacuations that a restored store lacks are
 * checked. A timer may end a little early, by another clock than the entry's.
 */
const EXPIRY_CHECK_MS = REWRITE_GRACE_MS + 50;
/** Interval of the check for a watch that is overdue, in milliseconds. */
const CHECK_INTERVAL_MS = 500;

export interface EvacuationFollowerOptions extends StepOwner {
  /** Only the names of the items are used. */
  readonly collection: Collection<unknown>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /**
   * Time in milliseconds from the store's acknowledgement of an evacuation
   * within which nothing more may be sent to the domain.
   */
  readonly evacuateMs: number;
  /** How long a watch waits while a peer confirms, in milliseconds. */
  readonly longWatchMs: number;
  /** Whether a peer confirmed recently that both know the same evacuations. */
  isConfirmed(): boolean;
  /** Whether this entry's calls to the store fail. */
  isStoreLost(): boolean;
  /** See `CollectionFollowerOptions`. */
  maxRetryMs(): number;
  /** Resolves to undefined when no valid set was received. */
  fetchFromPeer(from: PeerAnswer): Promise<ReadonlySet<string> | undefined>;
  /** Called with all evacuated domains when they are first known or change. */
  onChange(domains: ReadonlySet<string>): void;
  /** Called with the fault of each failed call to the store. */
  onFault(fault: StoreFault): void;
}

export interface EvacuationFollower extends Pick<
  CollectionFollower,
  'observeEra'
> {
  /** The evacuated domains; undefined until they are known. */
  domains(): ReadonlySet<string> | undefined;
  /** Digest of the domains; undefined until they are known. */
  digest(): string | undefined;
  /**
   * Runs the function as soon as the evacuations are known or have been awaited
   * for long enough, in the order of the calls.
   */
  whenKnown(run: () => void): void;
  /** Handles a peer's answer whose evacuations differ from this entry's. */
  handleDifferent(answer: PeerAnswer): void;
  /** The store was restored from an older copy. */
  storeRestored(): void;
  stop: Cancel;
}

/** For an entry whose settings do not ask for evacuations: makes no call. */
export const NO_EVACUATIONS: EvacuationFollower = {
  domains: () => undefined,
  digest: () => undefined,
  whenKnown: run => run(),
  handleDifferent: () => undefined,
  observeEra: () => undefined,
  storeRestored: () => undefined,
  stop: () => undefined,
};

export function followEvacuations(
  options: EvacuationFollowerOptions,
): EvacuationFollower {
  const {clock, log, onError = toProcess} = options;
  const watchMs = Math.min(MAX_WATCH_MS, options.evacuateMs * WATCH_SHARE);
  const timer = createConfirmationTimer(clock, watchMs);
  const known = createKnownEvacuations();
  let reportedDigest: string | undefined;
  let mayBeRestored = false;
  let relistedAt = Number.NEGATIVE_INFINITY;
  let isFetching = false;
  let isStopped = false;
  const hold = createHold(clock);

  const report = (): void => {
    const digest = known.digest();
    if (reportedDigest === digest) return;
    options.onChange(known.domains());
    reportedDigest = digest;
  };
  const dropExpired = (): void => {
    if (isStopped) return;
    known.dropExpired(clock.now());
    report();
  };
  // A timer that fails to start must not leave a follower without an owner.
  const stopChecks = clock.every(CHECK_INTERVAL_MS, () => {
    if (!options.isConfirmed() && timer.isOverdue()) follower.relistNow();
  });
  const follower = followCollection({
    collection: options.collection,
    clock,
    onError,
    random: options.random,
    waitMs: () => (options.isConfirmed() ? options.longWatchMs : watchMs),
    maxRetryMs: () => Math.min(watchMs, options.maxRetryMs()),
    changePauseMs: 0,
    onList: (items, isPartial) => {
      const list = {domains: new Set(items.keys()), isPartial, mayBeRestored};
      const kept = known.listed(list, clock.now());
      mayBeRestored &&= isPartial;
      for (const [failureDomain, cause] of kept) {
        log(DIRECT_EVENTS.evacuationKept, {failureDomain, cause});
      }
      if (kept.size > 0) clock.after(EXPIRY_CHECK_MS, dropExpired);
      report();
      hold.release();
    },
    onChanges: items => {
      const changes = [...items].map(
        ([domain, item]) => [domain, item !== undefined] as const,
      );
      known.changed(new Map(changes));
      report();
    },
    onConfirmed: timer.markConfirmed,
    onRestored: () => {
      mayBeRestored = true;
    },
    onFault: fault => {
      // A store that was restored may no longer have the revision, and the list
      // that follows does not show the restore.
      mayBeRestored ||= fault.historyGone;
      if (!fault.historyGone && !fault.unreadable) options.onFault(fault);
    },
  });

  /**
   * An entry that knows nothing yet accepts any peer's evacuations. Later it
   * accepts only those of a peer with recent evidence, while its own calls
   * fail.
   */
  const mayTakeFrom = ({evidenceAgeMs = Infinity}: PeerAnswer): boolean =>
    !known.isKnown() ||
    (options.isStoreLost() && evidenceAgeMs <= MAX_EVIDENCE_AGE_MS);
  const takeFrom = async (answer: PeerAnswer): Promise<void> => {
    isFetching = true;
    let domains: ReadonlySet<string> | undefined;
    try {
      domains = await options.fetchFromPeer(answer);
    } finally {
      isFetching = false;
    }
    if (domains === undefined || isStopped || !mayTakeFrom(answer)) return;
    known.taken(domains);
    // The store may be restored from a copy that is older than this.
    mayBeRestored = true;
    log(DIRECT_EVENTS.evacuationsTaken, {
      entry: answer.node,
      failureDomains: [...domains],
    });
    report();
    hold.release();
  };
  const startTaking = createGuard(onError)('evacuations of a peer', takeFrom);

  return {
    domains: () => (known.isKnown() ? known.domains() : undefined),
    digest: known.digest,
    whenKnown: hold.run,
    handleDifferent: answer => {
      if (mayTakeFrom(answer) && !isFetching) startTaking(answer);
      if (clock.now() - relistedAt < RELIST_INTERVAL_MS) return;
      relistedAt = clock.now();
      follower.relistNow();
    },
    observeEra: follower.observeEra,
    storeRestored: () => {
      mayBeRestored = true;
    },
    stop: () => {
      isStopped = true;
      follower.stop();
      stopChecks();
      hold.cancel();
    },
  };
}

/** Holds functions back until it is released, or until `MAX_HOLD_MS` later. */
function createHold(clock: Clock) {
  let isHolding = true;
  let held: Array<() => void> = [];
  let cancel: Cancel | undefined;
  const release = (): void => {
    if (!isHolding) return;
    isHolding = false;
    cancel?.();
    const runs = held;
    held = [];
    runAll(runs);
  };
  return {
    release,
    run: (run: () => void): void => {
      if (!isHolding) return run();
      held.push(run);
      cancel ??= clock.after(MAX_HOLD_MS, release);
    },
    cancel: () => cancel?.(),
  };
}
