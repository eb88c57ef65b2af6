/**
 * Limits retries to a share of first attempts. Without the limit, a failure of
 * half the engines would make every request be tried several times on the
 * remaining ones, and the additional load would make those fail as well.
 */

/** Retries that may be made at once after a time without retries. */
const DEFAULT_BURST = 10;

/** A token bucket of retries. */
export interface RetryBudget {
  /** Records a first attempt, which adds `ratio` of a retry. */
  onFirstAttempt(ratio: number): void;
  /** Takes one retry. Returns false when none is left. */
  take(): boolean;
  /** Returns a retry that was taken and not made. */
  giveBack(): void;
  /** Retries that may be made at once now. */
  left(): number;
}

/**
 * Creates a full bucket of `burst()` retries. The size may change over time.
 */
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
    giveBack: () => {
      tokens = Math.min(burst(), tokens + 1);
    },
    left: () => Math.min(burst(), tokens),
  };
}
