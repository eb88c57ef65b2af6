/**
 * Follows one collection of the platform's store: reads it whole, then watches
 * from that position on. A store that has come back from an older copy is read
 * whole again. Watches are short: a connection may go silent without
 * a reset, and only a watch that fails to return shows it.
 */
import type {Cancel, Clock, Random} from '../types/runtime.js';
import {isOlderEra, comparePositions} from './store_position.js';
import type {StoreEra, StorePosition} from './store_position.js';
import type {Collection, StoreFault} from './types.js';

/** Pause after a failed call; doubles up to `retryMostMs`, with jitter. */
const MIN_RETRY_MS = 100;
/**
 * A store that drops its history again and again would be read whole without a
 * pause between.
 */
const IMMEDIATE_REREAD_INTERVAL_MS = 1_000;

/** What a call says of the next one; `wait`: after the pause for faults. */
type Next = 'at once' | 'wait';

type AnswerOrder = 'current' | 'overtaken' | 'restored' | 'older era';

/** What is followed, and who is told. */
export interface CollectionFollowerOptions<T> {
  readonly collection: Collection<T>;
  readonly clock: Clock;
  readonly random: Random;
  /** Wait of the next watch, in milliseconds. */
  waitMs(): number;
  /** Longest pause after a failed call, in milliseconds. */
  maxRetryMs(): number;
  /**
   * Pause after changes. A watch returns at the first of them: of seventy that
   * come within seconds each would cost a call.
   */
  readonly changePauseMs: number;
  /** All items after a whole read; where it is partial, others may be there. */
  onList(items: ReadonlyMap<string, T>, isPartial: boolean): void;
  /** Items that changed; undefined ones were removed. */
  onChanges(items: ReadonlyMap<string, T | undefined>): void;
  /**
   * All that was acknowledged before the call was sent is known now.
   * `sentAt` is on this process's clock.
   */
  onConfirmed(sentAt: number): void;
  /** The store has come back from an older copy; what it has is read anew. */
  onRestored(): void;
  onFault(fault: StoreFault): void;
}

/** A running follower. */
export interface CollectionFollower {
  /**
   * Reads the collection anew at once, beside the running watch. After a read
   * that failed, only when the pause after a failed call is over.
   */
  rereadNow(): void;
  /** The store is in this era now; what is known from an older one is read anew. */
  observeEra(era: StoreEra): void;
  stop(): void;
}

/** Starts to follow; ends with `stop`. */
export function followCollection<T>(
  options: CollectionFollowerOptions<T>,
): CollectionFollower {
  const {collection, clock, random} = options;
  let isStopped = false;
  let position: StorePosition | undefined;
  /** When the position was learned, on this process's clock. */
  let positionSetAt = Number.NEGATIVE_INFINITY;
  /** The newest that an answer has told. */
  let era: StoreEra;
  /** The newest watch could not go on from its position. */
  let isWatchRefused = false;
  /** When the collection was last read anew without a pause. */
  let immediateRereadAt = Number.NEGATIVE_INFINITY;
  /** A store that was away may be back from a copy. */
  let isPositionDoubtful = false;
  let retryMs = MIN_RETRY_MS;
  let cancelPause: Cancel | undefined;
  let isRereading = false;
  let rereadFailedAt = Number.NEGATIVE_INFINITY;
  let hasChanged = false;

  /** How the answer to a call that was sent at `sentAt` stands to what is known. */
  const classifyAnswer = (
    answered: StorePosition,
    sentAt: number,
  ): AnswerOrder => {
    if (isOlderEra(answered.era, era)) return 'older era';
    if (position === undefined) return 'current';
    switch (comparePositions(answered, position)) {
      case 'newer era':
        return 'restored';
      case 'same or newer':
        return 'current';
      // A call that was sent when the newer answer was there cannot be
      // overtaken by it: the history itself has gone back.
      case 'older':
        return sentAt > positionSetAt ? 'restored' : 'overtaken';
    }
  };
  const advance = (answered: StorePosition): void => {
    position = answered;
    positionSetAt = clock.now();
    era = answered.era ?? era;
  };

  const mayRereadAtOnce = ({historyGone}: StoreFault): boolean =>
    historyGone &&
    !isWatchRefused &&
    clock.now() - immediateRereadAt > IMMEDIATE_REREAD_INTERVAL_MS;

  const readAll = async (): Promise<boolean> => {
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
        // Late on its way, or a store that tells wrong eras: asked again at
        // once, that one would be asked without end.
        if (order === 'older era') return false;
        // A read that was overtaken must not bring back old items.
        if (order === 'overtaken') return true;
        advance(listing.position);
        if (order === 'restored') options.onRestored();
        options.onList(listing.items, listing.isPartial);
        options.onConfirmed(sentAt);
        return true;
      },
    });
  };

  const watchOnce = async (from: StorePosition): Promise<Next> => {
    const sentAt = clock.now();
    // Watched from a revision that was given out again, it might tell nothing
    // for as long as it waits; its answer shows the era.
    const waitMs = isPositionDoubtful ? 0 : options.waitMs();
    const res = await collection.watch(from, waitMs);
    if (isStopped) return 'wait';
    isPositionDoubtful = res.isLeft();
    return res.caseOf<Next>({
      Left: fault => {
        options.onFault(fault);
        if (!fault.historyGone && !fault.unreadable) return 'wait';
        position = undefined;
        const isAtOnce = mayRereadAtOnce(fault);
        isWatchRefused = true;
        if (!isAtOnce) return 'wait';
        immediateRereadAt = clock.now();
        return 'at once';
      },
      Right: changes => {
        const order = classifyAnswer(changes.position, sentAt);
        if (order === 'older era') return 'wait';
        isWatchRefused = false;
        retryMs = MIN_RETRY_MS;
        if (order === 'overtaken') return 'at once';
        // These are the changes after a revision that was given out again;
        // those before it in the new history are unknown.
        if (order === 'restored') {
          position = undefined;
          options.onRestored();
          return 'at once';
        }
        // The same, but a list of the new history has come in between.
        if (isOlderEra(from.era, changes.position.era)) return 'at once';
        advance(changes.position);
        hasChanged = changes.items.size > 0;
        if (hasChanged) options.onChanges(changes.items);
        options.onConfirmed(sentAt);
        return 'at once';
      },
    });
  };
  const readCollection = async (): Promise<Next> => {
    if (!(await readAll())) return 'wait';
    // Reading does not show that a watch can go on from there.
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
          ? await readCollection()
          : await watchOnce(position);
      if (isStopped) return;
      if (next === 'wait') await pauseAfterFault();
      if (hasChanged) await pause(options.changePauseMs);
      hasChanged = false;
    }
  };
  void run();

  const rereadNow = (): void => {
    const sinceFailedMs = clock.now() - rereadFailedAt;
    const isTooSoon = sinceFailedMs < options.maxRetryMs();
    if (isRereading || isStopped || isTooSoon) return;
    isRereading = true;
    void readAll().then(hasSucceeded => {
      isRereading = false;
      rereadFailedAt = hasSucceeded ? Number.NEGATIVE_INFINITY : clock.now();
    });
  };

  return {
    rereadNow,
    observeEra: storeEra => {
      if (position !== undefined && isOlderEra(position.era, storeEra))
        rereadNow();
    },
    stop: () => {
      isStopped = true;
      cancelPause?.();
    },
  };
}
