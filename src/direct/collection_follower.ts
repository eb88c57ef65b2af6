/**
 * Follows one collection of the platform's store. The follower lists the
 * collection, then watches for changes after the position of the list. It lists
 * the collection again when the store was restored from an older copy.
 *
 * A connection may fail silently, and a watch that does not return in time is
 * the only sign of that. Callers of this module therefore keep watches short,
 * unless peers report the same changes.
 */
import {Left, Right} from 'purify-ts/Either';
import type {Either} from 'purify-ts';
import {toProcess} from '../utils/callback_guard.js';
import {runAll} from '../utils/run_each.js';
import {createWatchPace} from '../utils/watch_pace.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra, StorePosition} from './store_position.js';
import {makeCertain} from './followed/certain_changes.js';
import type {Changes, Listing, StoreFault} from './followed/collection.js';
import type {CollectionFollowerOptions} from './followed/follower_options.js';
import {createKnownPosition} from './followed/known_position.js';
import {createPatientCalls} from './followed/patient_calls.js';
import {createRetryPause} from './followed/retry_pause.js';

/**
 * When a watch fails because the store no longer has its history, the
 * collection is listed again without a pause, but at most once within this
 * time, in milliseconds. If an earlier watch gave up its position, one must
 * also have succeeded since. Otherwise the list waits for the pause for failed
 * calls. Without these limits a store that keeps losing its history would be
 * listed in a tight loop.
 */
const IMMEDIATE_RELIST_INTERVAL_MS = 1_000;

/**
 * Longest pause before the list that follows partial answers, in milliseconds.
 */
const MAX_DAMAGED_PAUSE_MS = 500;
/**
 * Most watches in a row that are resumed after a partial answer. Each passes by
 * one damaged change; a list passes by each damaged record only once.
 */
const MAX_RESUMED = 10;

/**
 * Shortest time between two calls that are made beside the watch, in
 * milliseconds.
 */
const BESIDE_INTERVAL_MS = 400;

/** When to make the next call: without the pause for failed calls, or after it. */
type NextCall = 'at once' | 'wait';

/** How a list ended. An unanswered one may succeed on a new connection. */
type ListOutcome = 'listed' | 'failed' | 'unanswered';

/** A running follower. */
export interface CollectionFollower {
  /**
   * Lists the collection now, while the watch continues. A list that gets no
   * answer is sent once more at once: its connection may have failed silently.
   * Does nothing while such a list is running, or within `maxRetryMs` after it
   * failed.
   */
  relistNow(): void;
  /**
   * Sends the watch that is waiting once more, from the same position: its
   * connection may have failed silently.
   */
  restartWatch(): void;
  /**
   * Reads the changes up to now in a call that the store answers at once, while
   * the watch and other calls of this kind continue. A slow store then confirms
   * what is known as often as a quick one, though later.
   */
  confirmBeside(): void;
  /** Time of the slowest recent answer, in milliseconds; 0 without any. */
  slowestAnswerMs(): number;
  /**
   * Called with the era that the store is in now. Lists the collection again if
   * the follower's position is from an older era.
   */
  observeEra(era: StoreEra): void;
  stop(): void;
}

/**
 * Interval at which a follower that an error has ended is started again, in
 * milliseconds.
 */
const REVIVE_MS = 1_000;

/** Starts to follow the collection until `stop` is called. */
export function followCollection<T>(
  options: CollectionFollowerOptions<T>,
): CollectionFollower {
  const {collection, clock, onError = toProcess} = options;
  let isStopped = false;
  const position = createKnownPosition(clock);
  /**
   * Whether a watch failed and gave up its position, and none has succeeded
   * since. A watch gives it up if the store no longer has the history, or if
   * the answer cannot be decoded. An answer from an older era is not a success
   * here. A list leaves this as it is.
   */
  let hasLostPosition = false;
  /**
   * Time of the last watch that failed and was followed by a list without a
   * pause.
   */
  let immediateRelistAt = Number.NEGATIVE_INFINITY;
  /**
   * Whether the last watch failed. The store may have been restored from an
   * older copy since the position was set.
   */
  let hasLastWatchFailed = false;
  let isRelisting = false;
  let relistFailedAt = Number.NEGATIVE_INFINITY;
  /** Whether the last call of `run` was a watch that brought changes. */
  let hasChanged = false;
  /** Pause after a watch that was cut short, in milliseconds. */
  let cutShortPauseMs = 0;
  const pace = createWatchPace(clock);
  /** Names of the items that were reported and not removed since. */
  const knownNames = new Set<string>();
  /** Stops waiting for the answer to the watch; undefined without one. */
  let abandonWatch: (() => void) | undefined;
  /** Number of watches in a row whose answers were partial and were resumed. */
  let resumedCount = 0;
  /** Whether the position was given up because of a partial answer. */
  let isDamaged = false;
  /** After an error, what is known may lack what an answer brought. */
  const takeError = (err: unknown, step: string): void => {
    position.giveUp();
    onError(err, step);
  };
  const calls = createPatientCalls(clock, takeError);
  const retry = createRetryPause(options);
  const {kind = 'items'} = collection;
  let confirmedBesideAt = Number.NEGATIVE_INFINITY;
  let isRunning = false;

  /** Whether a list without a pause may follow a watch that failed like this. */
  const mayRelistAtOnce = ({historyGone}: StoreFault): boolean =>
    historyGone &&
    !hasLostPosition &&
    clock.now() - immediateRelistAt > IMMEDIATE_RELIST_INTERVAL_MS;

  const takeListing = (listing: Listing<T>, sentAt: number): ListOutcome => {
    const order = position.classify(listing.position, sentAt);
    // The answer is late, or the store reports wrong eras. A store that
    // reports wrong eras would be called in a tight loop if the next call
    // followed without a pause, so the list counts as failed.
    if (order === 'older era') return 'failed';
    // A newer answer has already been handled. The older list must not
    // replace its items.
    if (order === 'overtaken') return 'listed';
    position.advance(listing.position);
    if (order === 'restored') options.onRestored();
    if (!listing.isPartial) knownNames.clear();
    for (const name of listing.items.keys()) knownNames.add(name);
    options.onList(listing.items, listing.isPartial, sentAt);
    options.onConfirmed(sentAt);
    return 'listed';
  };
  /** The store answers, so the next call need not wait. */
  const resumeAfterLateAnswer = (): void => {
    relistFailedAt = Number.NEGATIVE_INFINITY;
    retry.reset();
    retry.endAfterFault();
  };
  /** An answer is late: the connections may have failed silently together. */
  const callBeside = (): void => {
    if (isStopped) return;
    options.closeIdle?.();
    confirmBeside();
  };
  const listItems = async (): Promise<ListOutcome> => {
    const sentAt = clock.now();
    const res = await calls.call({
      step: `list ${kind}`,
      waitMs: 0,
      send: () => collection.list(),
      onSlow: callBeside,
      onLate: listing => {
        if (isStopped) return;
        if (takeListing(listing, sentAt) === 'listed') resumeAfterLateAnswer();
      },
    });
    if (isStopped) return 'failed';
    return res.caseOf<ListOutcome>({
      Left: fault => {
        options.onFault(fault);
        return fault.unanswered === true ? 'unanswered' : 'failed';
      },
      Right: listing => takeListing(listing, sentAt),
    });
  };
  /** Resolves to whether one of at most two lists succeeded. */
  const relist = async (): Promise<boolean> => {
    const outcome = await listItems();
    if (outcome !== 'unanswered' || isStopped) return outcome === 'listed';
    return (await listItems()) === 'listed';
  };

  const reportChanges = (
    items: ReadonlyMap<string, T | undefined>,
    sentAt: number,
  ): void => {
    if (items.size === 0) return;
    for (const [name, item] of items) {
      if (item === undefined) knownNames.delete(name);
      else knownNames.add(name);
    }
    options.onChanges(items, sentAt);
  };
  /**
   * Takes the changes of a call whose answer may be older than what is known by
   * now. What does not add to that, or is not certain, is left to the next call.
   */
  const takeChangesBeside = (
    from: StorePosition,
    changes: Changes<T>,
    sentAt: number,
  ): void => {
    const {isPartial = false, uncertain, unread} = changes;
    const isCertain = !isPartial && !uncertain?.size && !unread?.size;
    if (isStopped || !isCertain || position.current() === undefined) return;
    // In the restored history, `from` is another position.
    if (isOlderEra(from.era, changes.position.era)) return;
    if (position.classify(changes.position, sentAt) !== 'current') return;
    position.advance(changes.position);
    reportChanges(changes.items, sentAt);
    options.onConfirmed(sentAt);
    resumeAfterLateAnswer();
  };
  const watchOnce = async (from: StorePosition): Promise<NextCall> => {
    const sentAt = clock.now();
    // After a restore the store may assign the revision of `from` to another
    // change. A long watch from that revision might then report nothing until
    // it ends. A watch that does not wait is answered at once, and its answer
    // shows the store's era.
    const waitMs = hasLastWatchFailed ? 0 : options.waitMs();
    const answer = await Promise.race([
      calls.call({
        step: `watch ${kind}`,
        waitMs,
        send: () => collection.watch(from, waitMs),
        onSlow: callBeside,
        onLate: changes => takeChangesBeside(from, changes, sentAt),
      }),
      new Promise<undefined>(resolve => {
        abandonWatch = () => resolve(undefined);
      }),
    ]);
    abandonWatch = undefined;
    if (answer === undefined) return 'at once';
    const res = await mapAsync(answer, changes =>
      makeCertain(collection, changes, name => knownNames.has(name)),
    );
    if (isStopped) return 'wait';
    hasLastWatchFailed = res.isLeft();
    return res.caseOf<NextCall>({
      Left: fault => {
        options.onFault(fault);
        if (!fault.historyGone && !fault.unreadable) return 'wait';
        position.giveUp();
        const isAtOnce = mayRelistAtOnce(fault);
        hasLostPosition = true;
        if (!isAtOnce) return 'wait';
        immediateRelistAt = clock.now();
        return 'at once';
      },
      Right: changes => {
        const order = position.classify(changes.position, sentAt);
        if (order === 'older era') return 'wait';
        hasLostPosition = false;
        retry.reset();
        if (order === 'overtaken') return 'at once';
        // The store was restored. In its history the revision of `from` may be
        // missing or may belong to another change. The changes before that
        // revision in the restored history are unknown, so the collection is
        // listed again.
        if (order === 'restored') {
          position.giveUp();
          options.onRestored();
          return 'at once';
        }
        // The store was restored during the watch, and the collection has been
        // listed again meanwhile. These changes follow the position before the
        // restore, so they are dropped.
        if (isOlderEra(from.era, changes.position.era)) return 'at once';
        // What could be read is applied, removals too. Until the rest is read,
        // nothing is confirmed.
        if (changes.isPartial === true) {
          reportChanges(changes.items, sentAt);
          return readRest(changes.resumeAt);
        }
        position.advance(changes.position);
        hasChanged = changes.items.size > 0 || resumedCount > 0;
        cutShortPauseMs = pace.answered(sentAt, waitMs, hasChanged);
        resumedCount = 0;
        reportChanges(changes.items, sentAt);
        options.onConfirmed(sentAt);
        return 'at once';
      },
    });
  };
  /** Goes on after a partial answer to a watch. */
  const readRest = (resumeAt: StorePosition | undefined): NextCall => {
    if (resumeAt !== undefined && resumedCount < MAX_RESUMED) {
      resumedCount++;
      position.advance(resumeAt);
      // The rest is there already, so the next watch need not wait.
      hasLastWatchFailed = true;
      return 'at once';
    }
    resumedCount = 0;
    position.giveUp();
    hasLostPosition = true;
    isDamaged = true;
    return 'wait';
  };
  /** Lists the collection to get a position for the next watch. */
  const listBeforeWatch = async (): Promise<NextCall> => {
    if ((await listItems()) !== 'listed') return 'wait';
    // After a watch that gave up its position, the base of the pause is not
    // reset. The list succeeded, but that does not show that the next watch
    // will.
    if (!hasLostPosition) retry.reset();
    return 'at once';
  };

  const pauseAfterFault = (): Promise<void> => {
    // Another program may damage the answers for hours, and what they hide must
    // be known in time.
    const limitMs = isDamaged ? MAX_DAMAGED_PAUSE_MS : Infinity;
    isDamaged = false;
    return retry.afterFault(limitMs);
  };

  const callNext = async (): Promise<NextCall> => {
    const from = position.current();
    return from === undefined ? listBeforeWatch() : watchOnce(from);
  };
  /** Lists and watches until the follower is stopped. */
  const run = async (): Promise<void> => {
    while (!isStopped) {
      const next = await callNext().catch((err: unknown): NextCall => {
        takeError(err, `follow ${kind}`);
        return 'wait';
      });
      if (isStopped) return;
      if (next === 'wait') await pauseAfterFault();
      if (hasChanged) await retry.pause(options.changePauseMs);
      else if (cutShortPauseMs > 0) await retry.pause(cutShortPauseMs);
      hasChanged = false;
      cutShortPauseMs = 0;
    }
  };
  const startRun = (): void => {
    isRunning = true;
    run()
      .catch((err: unknown) => takeError(err, `pause of ${kind}`))
      .finally(() => {
        isRunning = false;
      })
      .catch((err: unknown) => onError(err, `pause of ${kind}`));
  };
  // Nobody else would start it again, and what is known would grow old. The timer
  // starts after all that may fail, and before the loop, so that neither is left
  // without an owner.
  const cancelRevival = clock.every(
    REVIVE_MS,
    () => {
      if (!isRunning && !isStopped) startRun();
    },
    'start of a follower',
  );
  startRun();

  function confirmBeside(): void {
    const from = position.current();
    const sentAt = clock.now();
    const isTooSoon = sentAt - confirmedBesideAt < BESIDE_INTERVAL_MS;
    if (isStopped || from === undefined || isTooSoon) return;
    confirmedBesideAt = sentAt;
    const take = (changes: Changes<T>) =>
      takeChangesBeside(from, changes, sentAt);
    void calls
      .call({
        step: `confirm ${kind}`,
        waitMs: 0,
        send: () => collection.watch(from, 0),
        onLate: take,
      })
      .then(answer => answer.ifRight(take))
      .catch((err: unknown) => takeError(err, `confirm ${kind}`));
  }

  const relistNow = (): void => {
    const sinceFailedMs = clock.now() - relistFailedAt;
    const isTooSoon = sinceFailedMs < options.maxRetryMs();
    if (isRelisting || isStopped || isTooSoon) return;
    isRelisting = true;
    const end = (hasSucceeded: boolean): void => {
      isRelisting = false;
      relistFailedAt = hasSucceeded ? Number.NEGATIVE_INFINITY : clock.now();
    };
    relist().then(end, (err: unknown) => {
      takeError(err, `list ${kind}`);
      end(false);
    });
  };

  return {
    relistNow,
    restartWatch: () => abandonWatch?.(),
    confirmBeside,
    slowestAnswerMs: calls.slowestMs,
    observeEra: storeEra => {
      if (position.isBefore(storeEra)) relistNow();
    },
    stop: () => {
      isStopped = true;
      runAll([cancelRevival, retry.end]);
    },
  };
}

async function mapAsync<L, A, B>(
  either: Either<L, A>,
  map: (value: A) => Promise<B>,
): Promise<Either<L, B>> {
  return either.caseOf<Promise<Either<L, B>>>({
    Left: fault => Promise.resolve(Left(fault)),
    Right: async value => Right(await map(value)),
  });
}
