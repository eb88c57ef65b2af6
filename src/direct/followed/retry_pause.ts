/** The pauses of a follower: between its calls, and longer after failed ones. */
import type {Clock, Random} from '../../types/runtime.js';

/**
 * Base of the pause after the first failed call, in milliseconds. The base
 * doubles with each further failure, up to `maxRetryMs`. The pause is between
 * half and one and a half times the base, at random.
 */
const FIRST_RETRY_BASE_MS = 100;

export interface RetryPauseOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Upper bound of the base, in milliseconds. */
  maxRetryMs(): number;
}

export interface RetryPause {
  /** Resolves after this time, in milliseconds, or when it is ended. */
  pause(delayMs: number): Promise<void>;
  /** Pauses after a failed call, for this time at the longest. */
  afterFault(limitMs: number): Promise<void>;
  /** The next failed call counts as the first one. */
  reset(): void;
  /** Ends the pause after a failed call, if one runs. */
  endAfterFault(): void;
  /** Ends any pause that runs. */
  end(): void;
}

export function createRetryPause(options: RetryPauseOptions): RetryPause {
  const {clock, random, maxRetryMs} = options;
  let baseMs = FIRST_RETRY_BASE_MS;
  let end: () => void = () => undefined;
  let isAfterFault = false;

  const pause = (delayMs: number): Promise<void> =>
    new Promise(resolve => {
      isAfterFault = false;
      const cancel = clock.after(delayMs, resolve);
      end = () => {
        cancel();
        resolve();
      };
    });

  return {
    pause,
    afterFault: limitMs => {
      const delayMs = baseMs * (0.5 + random.next());
      baseMs = Math.min(maxRetryMs(), baseMs * 2);
      const ended = pause(Math.min(delayMs, limitMs));
      isAfterFault = true;
      return ended;
    },
    reset: () => {
      baseMs = FIRST_RETRY_BASE_MS;
    },
    endAfterFault: () => {
      if (isAfterFault) end();
    },
    end: () => end(),
  };
}
