/**
 * Follows the configuration's head in the store. The home keeps a long watch.
 * All other processes read the head rarely and learn new numbers from peers, so
 * each further process adds only its rare reads to the store's load. Pauses are
 * random, and grow while the store is unavailable. Otherwise, processes that
 * failed at the same moment would all retry at the same moment.
 */
import type {OnyxError} from '../types/errors.js';
import type {Either, Maybe} from 'purify-ts';
import type {Clock, Random} from '../types/runtime.js';
import {createWatchPace} from '../utils/watch_pace.js';
import type {ConfigHead, ConfigStore} from './config_store.js';

/**
 * Upper bound of the pause after the first failed call, in milliseconds. It
 * doubles with each further failure, up to MAX_BACKOFF_MS.
 */
const INITIAL_BACKOFF_MS = 500;
/** Upper bound of the pause after any failed call, in milliseconds. */
const MAX_BACKOFF_MS = 30_000;

/** Store to read from, intervals, and callbacks. */
export interface HeadFollowerOptions {
  readonly store: ConfigStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns whether this process is the home, which watches the head. */
  readonly isHome: () => boolean;
  /** Longest wait of one watch by the home, in milliseconds. */
  readonly watchMs: number;
  /**
   * Mean pause between reads by a process that is not the home, in
   * milliseconds.
   */
  readonly pollMs: number;
  /** Longest delay before the first read, in milliseconds. */
  readonly maxStartDelayMs: number;
  /**
   * Handles a head, or Nothing when the store holds none. A Left means that the
   * head could not be used; it is read again after a pause.
   */
  readonly onHead: (
    head: Maybe<ConfigHead>,
  ) => Promise<Either<OnyxError, void>>;
  /** Called when something threw. The follower has stopped. */
  readonly onError: (cause: unknown) => void;
  /** Called after a failed read, with the pause before the next one. */
  readonly onReadFailure: (err: OnyxError, retryMs: number) => void;
}

/** A running follower. */
export interface HeadFollower {
  /** Ends the current pause, such as when this process became the home. */
  wake(): void;
  stop(): void;
}

/** Starts to follow the head. */
export function startHeadFollower(options: HeadFollowerOptions): HeadFollower {
  const {store, clock, random} = options;
  let stopped = false;
  let failures = 0;
  let version = 0;
  const pace = createWatchPace(clock);
  /** Pause after a watch that was cut short, in milliseconds. */
  let cutShortPauseMs = 0;
  let endPause: () => void = () => undefined;

  const pause = (ms: number) =>
    new Promise<void>(resolve => {
      const cancel = clock.after(ms, resolve);
      endPause = () => {
        cancel();
        resolve();
      };
    });

  const readOnce = async (): Promise<Either<OnyxError, void>> => {
    const isWatching = options.isHome() && version > 0;
    const knownVersion = version;
    const sentAt = clock.now();
    const read = isWatching
      ? await store.watchHead(version, options.watchMs)
      : await store.readHead('config');
    cutShortPauseMs = 0;
    if (read.isLeft()) return read;
    const head = read.extract() as Maybe<ConfigHead>;
    const handled = await options.onHead(head);
    // The version is stored only after the head was handled. Otherwise, the
    // next watch would skip a head whose documents could not be read.
    if (handled.isRight()) {
      head.ifJust(found => {
        version = Math.max(version, found.version);
      });
    }
    if (isWatching) {
      const hasChanged = version > knownVersion;
      cutShortPauseMs = pace.answered(sentAt, options.watchMs, hasChanged);
    }
    return handled;
  };

  const backoffMs = () => {
    const limit = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** failures);
    failures += 1;
    return limit * (0.5 + 0.5 * random.next());
  };

  const nextPauseMs = (outcome: Either<OnyxError, void>) => {
    if (outcome.isLeft()) {
      const retryMs = backoffMs();
      options.onReadFailure(outcome.extract() as OnyxError, retryMs);
      return retryMs;
    }
    failures = 0;
    // A watch waits in the store, so it needs no pause, unless it was cut short.
    // Without a head, there is nothing to watch.
    if (options.isHome() && version > 0) return cutShortPauseMs;
    return options.pollMs * (0.5 + random.next());
  };

  const run = async () => {
    await pause(options.maxStartDelayMs * random.next());
    while (!stopped) {
      const outcome = await readOnce();
      if (stopped) return;
      const ms = nextPauseMs(outcome);
      if (ms > 0) await pause(ms);
    }
  };

  run().catch(options.onError);
  return {
    wake: () => endPause(),
    stop: () => {
      stopped = true;
      endPause();
    },
  };
}
