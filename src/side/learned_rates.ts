/**
 * Estimates the speed of the side's upstream from observed events: prompt
 * tokens prefilled per second over all runs, the time of one decode step, and
 * the time of one call to a plain service. Priors apply until there are
 * observations.
 */

/** Rates that are assumed before anything was observed. */
export interface RatePriors {
  /** Prompt tokens prefilled per second, over all runs. @default 8000 */
  readonly prefillTokensPerSec: number;
  /** Time of one decode step in milliseconds. @default 25 */
  readonly stepMs: number;
  /** Time of one call to a plain service in milliseconds. @default 100 */
  readonly callMs: number;
  /** Weight of a new sample in the mean step or call time. @default 0.2 */
  readonly newestWeight: number;
  /**
   * Extra prefill time for attention over a long context, in milliseconds per
   * token squared. @default 0
   */
  readonly contextMsPerTokenSquared: number;
}

export const DEFAULT_RATE_PRIORS: RatePriors = {
  prefillTokensPerSec: 8_000,
  stepMs: 25,
  callMs: 100,
  newestWeight: 0.2,
  contextMsPerTokenSquared: 0,
};

/**
 * Minimum busy time that a sample of the prefill rate spans. Shorter spans keep
 * accumulating tokens.
 */
const MIN_SAMPLE_MS = 20;

/**
 * Busy time after which the weight of a sample has decayed to about a third
 * (1/e). Tokens and time are summed separately. A mean of rates would weigh a
 * step with one small prompt, which is mostly fixed cost, like a step full of
 * tokens, and would underestimate the engine.
 */
const DECAY_MS = 20_000;

/**
 * Weight of observed prompt tokens from which the prefill rate counts as
 * learned. Below it the rate is still treated as an assumption.
 */
const MIN_LEARNED_TOKENS = 8_000;
/** Observed calls from which the time of a call counts as learned. */
const MIN_LEARNED_CALLS = 8;
/**
 * Factor by which an upstream may be faster than assumed. Without it, a refusal
 * based only on the priors would repeat forever, because refused work gives no
 * observations.
 */
const OPTIMISM_FACTOR = 4;
/**
 * After each period of this length with refusals and no observation, the factor
 * applies once more. An engine that was slow because of a fault teaches a rate
 * that is too low. The side would then refuse long prompts even after the
 * engine has recovered, and learn nothing from them. The first sample resets
 * the factor.
 */
const REFUSAL_PERIOD_MS = 5_000;
/**
 * Upper bound of the accumulated factor. At this bound only work that clearly
 * cannot end in time is refused.
 */
const MAX_OPTIMISM = 64;

/** Estimated rates; all times are in milliseconds. */
export interface LearnedRates {
  /** Sets whether any prompt is in prefill; idle time is not sampled. */
  setPrefillBusy(isBusy: boolean, now: number): void;
  /** Records that so many prompt tokens were prefilled. */
  recordPrefill(tokens: number, now: number): void;
  /** Records `count` tokens that came `elapsedMs` after the run's last ones. */
  recordDecode(count: number, elapsedMs: number): void;
  /** Records the duration of a call to a plain service. */
  recordCall(elapsedMs: number): void;
  /** Records that work was refused because it would end too late. */
  recordRefusal(now: number): void;
  /** Prompt tokens prefilled per second, over all runs. */
  prefillTokensPerSec(): number;
  /** Mean time of one decode step. */
  stepMs(): number;
  /** Mean time of one call to a plain service. */
  callMs(): number;
  /** Predicted time to prefill so many tokens when nothing else runs. */
  prefillMs(tokens: number): number;
  /** The predicted prefill time divided by the current optimism. */
  minPrefillMs(tokens: number, now: number): number;
  /** The time of one decode step divided by the current optimism. */
  minStepMs(now: number): number;
  /** The time of one call divided by the current optimism. */
  minCallMs(now: number): number;
}

/** Creates an estimator that starts with the priors. */
export function createLearnedRates(priors: RatePriors): LearnedRates {
  let tokensPerSec = priors.prefillTokensPerSec;
  let meanStepMs = priors.stepMs;
  let meanCallMs = priors.callMs;
  let busySince: number | undefined;
  let sampleTokens = 0;
  let weightedMs = 0;
  let weightedTokens = 0;
  let callCount = 0;
  /** Time of the first refusal since the last sample. */
  let refusingSince: number | undefined;

  /** Factor by which a prediction may be too long. */
  const optimism = (isLearned: boolean, now: number) => {
    const refusingMs = refusingSince === undefined ? 0 : now - refusingSince;
    const periods =
      Math.floor(refusingMs / REFUSAL_PERIOD_MS) + (isLearned ? 0 : 1);
    return Math.min(MAX_OPTIMISM, OPTIMISM_FACTOR ** periods);
  };

  const smooth = (old: number, sample: number) =>
    old + priors.newestWeight * (sample - old);

  const takeSample = (now: number) => {
    if (busySince === undefined || sampleTokens === 0) return;
    const elapsedMs = now - busySince;
    if (elapsedMs < MIN_SAMPLE_MS) return;
    const retained = Math.exp(-elapsedMs / DECAY_MS);
    weightedTokens = weightedTokens * retained + sampleTokens;
    weightedMs = weightedMs * retained + elapsedMs;
    tokensPerSec = Math.max(1, (weightedTokens / weightedMs) * 1_000);
    busySince = now;
    sampleTokens = 0;
    refusingSince = undefined;
  };

  const prefillMs = (count: number) =>
    (count / tokensPerSec) * 1_000 +
    priors.contextMsPerTokenSquared * count * count;

  return {
    setPrefillBusy: (isBusy, now) => {
      if (isBusy) {
        busySince ??= now;
        return;
      }
      takeSample(now);
      busySince = undefined;
      sampleTokens = 0;
    },
    recordPrefill: (count, now) => {
      sampleTokens += count;
      takeSample(now);
    },
    recordDecode: (count, elapsedMs) => {
      if (count === 0) return;
      meanStepMs = smooth(meanStepMs, elapsedMs / count);
      refusingSince = undefined;
    },
    recordCall: elapsedMs => {
      meanCallMs = smooth(meanCallMs, elapsedMs);
      callCount += 1;
      refusingSince = undefined;
    },
    recordRefusal: now => {
      refusingSince ??= now;
    },
    prefillTokensPerSec: () => tokensPerSec,
    stepMs: () => meanStepMs,
    callMs: () => meanCallMs,
    prefillMs,
    minPrefillMs: (count, now) =>
      prefillMs(count) / optimism(weightedTokens >= MIN_LEARNED_TOKENS, now),
    minStepMs: now => meanStepMs / optimism(true, now),
    minCallMs: now =>
      meanCallMs / optimism(callCount >= MIN_LEARNED_CALLS, now),
  };
}
