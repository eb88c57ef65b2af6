/**
 * How soon a request that waits for a place looks again. A look before a
 * hundred engines takes an entry with a quarter of a core up to ten
 * milliseconds; a few that wait and look every 25 ms would take all of it, and
 * every answer that passes through the entry would be late. So all who wait
 * share a part of the entry's time, and look less often the more they are.
 */

/**
 * Between looks of one request, on average. They are drawn apart: two entries
 * that look in the same instant would take the same engines.
 */
const MIN_MEAN_PAUSE_MS = 25;
/** Looks of all who wait take at most this share of the entry's time. */
const MAX_CPU_SHARE = 0.1;
/**
 * Longer looks were held up by something else, a garbage collection say. Taken
 * as they are, one of 100 ms would keep a short prompt from looking again until
 * its aim has passed.
 */
const MAX_COUNTED_POLL_MS = 20;
/** Share of the newest look in the mean cost. */
const NEWEST_POLL_SHARE = 0.2;

export interface PlacementPollPace {
  /** A request begins to wait; the call ends it. */
  startWaiting(): () => void;
  /** A look took so long, by the clock: a busy entry shows in it as well. */
  recordPoll(ms: number): void;
  /** Until the next look of one request; `draw` is uniform in [0, 1). */
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
        NEWEST_POLL_SHARE * (Math.min(ms, MAX_COUNTED_POLL_MS) - meanPollMs);
    },
    pauseMs: uniform => {
      const affordableMs = (waitingCount * meanPollMs) / MAX_CPU_SHARE;
      return Math.max(MIN_MEAN_PAUSE_MS, affordableMs) * (0.5 + uniform);
    },
  };
}
