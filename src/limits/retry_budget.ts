/**
 * Bounds retries to a share of first attempts. When half the engines go, every
 * request would otherwise be tried several times on what is left, and the
 * extra load would take that down as well.
 */

/** Retries that may be made at once after a quiet time. */
const DEFAULT_BURST = 10;

export interface RetryBudget {
  /** A first attempt was made: adds `ratio` of a retry. */
  onFirstAttempt(ratio: number): void;
  /** Takes one retry; false when the budget is used up. */
  take(): boolean;
  /** Retries that may be made at once. */
  left(): number;
}

/** A full token bucket of `burst()` retries, which may change with time. */
export function createRetryBudget(burst = () => DEFAULT_BURST): RetryBudget {
  let tokens = burst();
  return {
    onFirstAttempt: ratio => {
      tokens = Math.min(burst(), tokens + ratio);
    },
    take: () => {
      tokens = Math.min(burst(), tokens);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    left: () => Math.min(burst(), tokens),
  };
}
