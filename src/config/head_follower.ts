/**
 * Follows the head in the store. The home holds a long watch, all others read
 * it rarely and hear of new numbers from peers, so that calls to the store
 * grow with the number of processes only by the rare reads. Pauses are
 * jittered and grow while the store is out: processes that all failed at the
 * same moment would else all come back at the same moment.
 */
import type {OnyxError} from '../types/errors.js';
import type {Either, Maybe} from 'purify-ts';
import type {Clock, Random} from '../types/runtime.js';
import type {ConfigHead, ConfigStore} from './config_store.js';

/** First pause after a failed call; doubles up to the largest. */
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;

/** Where the head is read, how often, and who takes it. */
export interface HeadFollowerOptions {
  readonly store: ConfigStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly isHome: () => boolean;
  /** Longest wait of the home's watch, in milliseconds. */
  readonly watchMs: number;
  /** Mean pause between reads of a process that is not the home. */
  readonly pollMs: number;
  /** The first read comes within this long. */
  readonly maxStartDelayMs: number;
  /**
   * Takes a head, or Nothing when the store holds none. Rejecting means that
   * it could not be taken, and it is read again.
   */
  readonly onHead: (
    head: Maybe<ConfigHead>,
  ) => Promise<Either<OnyxError, void>>;
  /** Something threw: following has ended. */
  readonly onError: (cause: unknown) => void;
  readonly onReadFailure: (err: OnyxError, retryMs: number) => void;
}

/** A running follower. */
export interface HeadFollower {
  /** Ends a pause early: for when this process has become the home. */
  wake(): void;
  stop(): void;
}

/** Starts to follow. */
export function startHeadFollower(options: HeadFollowerOptions): HeadFollower {
  const {store, clock, random} = options;
  let stopped = false;
  let failures = 0;
  let version = 0;
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
    const read = isWatching
      ? await store.watchHead(version, options.watchMs)
      : await store.readHead('config');
    if (read.isLeft()) return read;
    const head = read.extract() as Maybe<ConfigHead>;
    const handled = await options.onHead(head);
    // Remembered only once taken: else the watch would wait past a head whose
    // documents could not be read.
    if (handled.isRight()) {
      head.ifJust(found => {
        version = Math.max(version, found.version);
      });
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
    // A watch waits by itself; without a head there is nothing to watch.
    if (options.isHome() && version > 0) return 0;
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
