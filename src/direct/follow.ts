/**
 * Follows one collection of the platform's store: reads it whole, then watches
 * from that revision on. Watches are short: a connection may go silent without
 * a reset, and only a watch that fails to return shows it.
 */
import type {Cancel, Clock, Random} from '../types/runtime.js';
import type {Collection, StoreFault} from './types.js';

/** Pause after a failed call; doubles up to `retryMostMs`, with jitter. */
const RETRY_FIRST_MS = 100;

/** What is followed, and who is told. */
export interface FollowOptions<T> {
  readonly collection: Collection<T>;
  readonly clock: Clock;
  readonly random: Random;
  /** Wait of the next watch, in milliseconds. */
  waitMs(): number;
  /** Longest pause after a failed call, in milliseconds. */
  retryMostMs(): number;
  /**
   * Pause after changes. A watch returns at the first of them: of seventy that
   * come within seconds each would cost a call.
   */
  readonly settleMs: number;
  /** All items after a whole read. */
  onList(items: ReadonlyMap<string, T>): void;
  /** Items that changed; undefined ones were removed. */
  onChanges(items: ReadonlyMap<string, T | undefined>): void;
  /**
   * All that was acknowledged before the call was sent is known now.
   * `sentAt` is on this process's clock.
   */
  onConfirmed(sentAt: number): void;
  onFault(fault: StoreFault): void;
}

/** A running follower. */
export interface Follower {
  /**
   * Reads the collection anew at once, beside the running watch. After a read
   * that failed, only when the pause after a failed call is over.
   */
  confirmNow(): void;
  stop(): void;
}

/** Starts to follow; ends with `stop`. */
export function follow<T>(options: FollowOptions<T>): Follower {
  const {collection, clock, random} = options;
  let stopped = false;
  let revision: number | undefined;
  let retryMs = RETRY_FIRST_MS;
  let cancelPause: Cancel | undefined;
  let confirming = false;
  let confirmFailedAt = Number.NEGATIVE_INFINITY;
  let hasChanged = false;

  const readWhole = async (): Promise<boolean> => {
    const sentAt = clock.now();
    const res = await collection.list();
    if (stopped) return false;
    return res.caseOf({
      Left: fault => {
        options.onFault(fault);
        return false;
      },
      Right: listing => {
        // A read that was overtaken by a watch must not bring back old items.
        if (revision !== undefined && listing.revision < revision) return true;
        revision = listing.revision;
        if (listing.isPartial) options.onChanges(listing.items);
        else options.onList(listing.items);
        options.onConfirmed(sentAt);
        return true;
      },
    });
  };

  const watchOnce = async (from: number): Promise<boolean> => {
    const sentAt = clock.now();
    const res = await collection.watch(from, options.waitMs());
    if (stopped) return false;
    return res.caseOf({
      Left: fault => {
        if (fault.historyGone || fault.unreadable) revision = undefined;
        options.onFault(fault);
        return fault.historyGone;
      },
      Right: changes => {
        if (revision !== undefined && changes.revision < revision) return true;
        revision = changes.revision;
        hasChanged = changes.items.size > 0;
        if (hasChanged) options.onChanges(changes.items);
        options.onConfirmed(sentAt);
        return true;
      },
    });
  };

  const pause = (delayMs: number): Promise<void> =>
    new Promise(resolve => {
      cancelPause = clock.after(delayMs, resolve);
    });

  const pauseAfterFault = (): Promise<void> => {
    const delayMs = retryMs * (0.5 + random.next());
    retryMs = Math.min(options.retryMostMs(), retryMs * 2);
    return pause(delayMs);
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      const well =
        revision === undefined ? await readWhole() : await watchOnce(revision);
      if (stopped) return;
      if (!well) await pauseAfterFault();
      else retryMs = RETRY_FIRST_MS;
      if (hasChanged) await pause(options.settleMs);
      hasChanged = false;
    }
  };
  void run();

  return {
    confirmNow: () => {
      const sinceFailedMs = clock.now() - confirmFailedAt;
      const isTooSoon = sinceFailedMs < options.retryMostMs();
      if (confirming || stopped || isTooSoon) return;
      confirming = true;
      void readWhole().then(well => {
        confirming = false;
        confirmFailedAt = well ? Number.NEGATIVE_INFINITY : clock.now();
      });
    },
    stop: () => {
      stopped = true;
      cancelPause?.();
    },
  };
}
