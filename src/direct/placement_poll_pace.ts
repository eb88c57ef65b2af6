/**
 * Decides how soon a request that waits for a slot at a replica polls for one
 * again. One poll over a hundred engines takes an entry with a quarter of a
 * core up to ten milliseconds. A few requests that poll every 25 ms would take
 * all of its time and delay every response that passes through the entry. All
 * waiting requests therefore share a part of the entry's time, and poll less
 * often the more of them there are.
 */

/**
 * Shortest mean pause between polls of one request, in milliseconds. The pauses
 * are randomised, because two entries that poll at the same moment would choose
 * the same engines.
 */
const MIN_MEAN_PAUSE_MS = 25;
/**
 * Polls of all waiting requests together take at most this share of the entry's
 * time; pauses grow to stay below it.
 */
const MAX_CPU_SHARE = 0.1;
/**
 * Longest duration that is counted for one poll, in milliseconds. A longer poll
 * was delayed by something else, such as a garbage collection. Counted in full,
 * a poll of 100 ms would keep a short prompt from polling again until its
 * latency objective has passed.
 */
const MAX_COUNTED_POLL_MS = 20;
/** Weight of the newest poll in the moving average of durations. */
const NEWEST_WEIGHT = 0.2;

export interface PlacementPollPace {
  /** Registers a waiting request; the returned function removes it. */
  startWaiting(): () => void;
  /**
   * Records how long a poll took on the clock, in milliseconds. The time
   * includes delays of a busy entry.
   */
  recordPoll(ms: number): void;
  /**
   * Pause until a request's next poll, in milliseconds. `uniform` is a random
   * number in [0, 1).
   */
  pauseMs(uniform: number): number;
}

export function createPlacementPollPace(): PlacementPollPace {
  let waitingCount = 0;
  let meanPollMs = 0;
  return {
    startWaiting: () => {
      waitingCount++;
      return () => waitingCount--;
    },
    recordPoll: ms => {
      meanPollMs +=
        NEWEST_WEIGHT * (Math.min(ms, MAX_COUNTED_POLL_MS) - meanPollMs);
    },
    pauseMs: uniform => {
      const affordableMs = (waitingCount * meanPollMs) / MAX_CPU_SHARE;
      return Math.max(MIN_MEAN_PAUSE_MS, affordableMs) * (0.5 + uniform);
    },
  };
}
