/**
 * Follows one collection of the platform's store: lists it, then watches for
 * changes after the listed position. When the store was restored from an older
 * copy, the collection is listed again. Watches are short, because a connection
 * may fail silently and only a watch that does not return shows it.
 */
import type {Cancel, Clock, Random} from '../types/runtime.js';
import {isOlderEra, comparePositions} from './store_position.js';
import type {StoreEra, StorePosition} from './store_position.js';
import type {Collection, StoreFault} from './types.js';

/**
 * First pause after a failed call, in milliseconds. It doubles up to
 * `maxRetryMs` and is jittered.
 */
const MIN_RETRY_MS = 100;
/**
 * At most one list within this time, in milliseconds, follows a watch whose
 * history is gone without a pause. Otherwise a store that keeps losing its
 * history would be listed in a tight loop.
 */
const IMMEDIATE_RELIST_INTERVAL_MS = 1_000;

/**
 * When to make the next call; `wait` means after the pause for failed calls.
 */
type NextCall = 'at once' | 'wait';

type AnswerOrder = 'current' | 'overtaken' | 'restored' | 'older era';

/** What to follow and whom to notify. */
export interface CollectionFollowerOptions<T> {
  readonly collection: Collection<T>;
  readonly clock: Clock;
  readonly random: Random;
  /** How long the next watch waits for a change, in milliseconds. */
  waitMs(): number;
  /** Longest pause after a failed call, in milliseconds. */
  maxRetryMs(): number;
  /**
   * Pause after changes, in milliseconds. A watch returns at the first change,
   * so without the pause each of seventy changes within a few seconds would
   * cost a call.
   */
  readonly changePauseMs: number;
  /**
   * Called with all items after a list; where it is partial, further items may
   * exist.
   */
  onList(items: ReadonlyMap<string, T>, isPartial: boolean): void;
  /**
   * Called with the items that changed; an undefined value marks a removed
   * item.
   */
  onChanges(items: ReadonlyMap<string, T | undefined>): void;
  /**
   * Every write that was acknowledged before the call was sent is known now.
   * `sentAt` is on this process's clock.
   */
  onConfirmed(sentAt: number): void;
  /**
   * The store was restored from an older copy; the collection is listed again.
   */
  onRestored(): void;
  onFault(fault: StoreFault): void;
}

/** A running follower. */
export interface CollectionFollower {
  /**
   * Lists the collection at once, while the watch continues. After a failed
   * list it does so only once the longest pause for failed calls has passed.
   */
  relistNow(): void;
  /**
   * Reports that the store is in this era now. A collection known from an older
   * era is listed again.
   */
  observeEra(era: StoreEra): void;
  stop(): void;
}

/** Starts to follow the collection until `stop` is called. */
export function followCollection<T>(
  options: CollectionFollowerOptions<T>,
): CollectionFollower {
  const {collection, clock, random} = options;
  let isStopped = false;
  let position: StorePosition | undefined;
  /** When the position was set, on this process's clock. */
  let positionSetAt = Number.NEGATIVE_INFINITY;
  /** The newest era in any answer. */
  let era: StoreEra;
  /** Whether the last watch could not continue from its position. */
  let isWatchRefused = false;
  /**
   * When the collection was last listed without a pause after a watch failed.
   */
  let immediateRelistAt = Number.NEGATIVE_INFINITY;
  /**
   * Whether the store failed since the last answer; it may have been restored
   * from a copy meanwhile.
   */
  let isPositionDoubtful = false;
  let retryMs = MIN_RETRY_MS;
  let cancelPause: Cancel | undefined;
  let isRelisting = false;
  let relistFailedAt = Number.NEGATIVE_INFINITY;
  let hasChanged = false;

  /**
   * Compares the answer to a call that was sent at `sentAt` with what is known.
   */
  const classifyAnswer = (
    answerPosition: StorePosition,
    sentAt: number,
  ): AnswerOrder => {
    if (isOlderEra(answerPosition.era, era)) return 'older era';
    if (position === undefined) return 'current';
    switch (comparePositions(answerPosition, position)) {
      case 'newer era':
        return 'restored';
      case 'same or newer':
        return 'current';
      // The call was sent after the newer answer arrived, so that answer cannot
      // have overtaken it: the history itself went back.
      case 'older':
        return sentAt > positionSetAt ? 'restored' : 'overtaken';
    }
  };
  const advance = (answerPosition: StorePosition): void => {
    position = answerPosition;
    positionSetAt = clock.now();
    era = answerPosition.era ?? era;
  };

  const mayRelistAtOnce = ({historyGone}: StoreFault): boolean =>
    historyGone &&
    !isWatchRefused &&
    clock.now() - immediateRelistAt > IMMEDIATE_RELIST_INTERVAL_MS;

  const listItems = async (): Promise<boolean> => {
    const sentAt = clock.now();
    const res = await collection.list();
    if (isStopped) return false;
    return res.caseOf({
      Left: fault => {
        options.onFault(fault);
        return false;
      },
      Right: listing => {
        const order = classifyAnswer(listing.position, sentAt);
        // The answer is late, or the store reports wrong eras. Such a store
        // would be called in a tight loop if the next call followed at once.
        if (order === 'older era') return false;
        // A list that was overtaken by a newer answer must not bring back old
        // items.
        if (order === 'overtaken') return true;
        advance(listing.position);
        if (order === 'restored') options.onRestored();
        options.onList(listing.items, listing.isPartial);
        options.onConfirmed(sentAt);
        return true;
      },
    });
  };

  const watchOnce = async (from: StorePosition): Promise<NextCall> => {
    const sentAt = clock.now();
    // If the revision was assigned again after a restore, a long watch might
    // report nothing until it ends. An answer at once shows the era.
    const waitMs = isPositionDoubtful ? 0 : options.waitMs();
    const res = await collection.watch(from, waitMs);
    if (isStopped) return 'wait';
    isPositionDoubtful = res.isLeft();
    return res.caseOf<NextCall>({
      Left: fault => {
        options.onFault(fault);
        if (!fault.historyGone && !fault.unreadable) return 'wait';
        position = undefined;
        const isAtOnce = mayRelistAtOnce(fault);
        isWatchRefused = true;
        if (!isAtOnce) return 'wait';
        immediateRelistAt = clock.now();
        return 'at once';
      },
      Right: changes => {
        const order = classifyAnswer(changes.position, sentAt);
        if (order === 'older era') return 'wait';
        isWatchRefused = false;
        retryMs = MIN_RETRY_MS;
        if (order === 'overtaken') return 'at once';
        // These changes follow a revision that was assigned again. The changes
        // before it in the new history are unknown.
        if (order === 'restored') {
          position = undefined;
          options.onRestored();
          return 'at once';
        }
        // The same case, but the new history has already been listed during the
        // watch.
        if (isOlderEra(from.era, changes.position.era)) return 'at once';
        advance(changes.position);
        hasChanged = changes.items.size > 0;
        if (hasChanged) options.onChanges(changes.items);
        options.onConfirmed(sentAt);
        return 'at once';
      },
    });
  };
  const listBeforeWatch = async (): Promise<NextCall> => {
    if (!(await listItems())) return 'wait';
    // A list does not show that a watch can continue from its position.
    if (!isWatchRefused) retryMs = MIN_RETRY_MS;
    return 'at once';
  };

  const pause = (delayMs: number): Promise<void> =>
    new Promise(resolve => {
      cancelPause = clock.after(delayMs, resolve);
    });

  const pauseAfterFault = (): Promise<void> => {
    const delayMs = retryMs * (0.5 + random.next());
    retryMs = Math.min(options.maxRetryMs(), retryMs * 2);
    return pause(delayMs);
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      const next =
        position === undefined
          ? await listBeforeWatch()
          : await watchOnce(position);
      if (isStopped) return;
      if (next === 'wait') await pauseAfterFault();
      if (hasChanged) await pause(options.changePauseMs);
      hasChanged = false;
    }
  };
  void run();

  const relistNow = (): void => {
    const sinceFailedMs = clock.now() - relistFailedAt;
    const isTooSoon = sinceFailedMs < options.maxRetryMs();
    if (isRelisting || isStopped || isTooSoon) return;
    isRelisting = true;
    void listItems().then(hasSucceeded => {
      isRelisting = false;
      relistFailedAt = hasSucceeded ? Number.NEGATIVE_INFINITY : clock.now();
    });
  };

  return {
    relistNow,
    observeEra: storeEra => {
      if (position !== undefined && isOlderEra(position.era, storeEra))
        relistNow();
    },
    stop: () => {
      isStopped = true;
      cancelPause?.();
    },
  };
}
