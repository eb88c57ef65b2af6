/**
 * Estimates the speed of the side's upstream from observed events: prompt
 * tokens prefilled per second over all runs, the time of one decode step, and
 * the time of one call to a plain service. The side predicts from them whether
 * work would end in time. The estimates start with assumed rates, the priors.
 * The first sample replaces the assumed prefill rate. The assumed times of a
 * step and of a call stay in their moving averages, with a weight that each
 * sample reduces.
 */

/**
 * Rates that are assumed before anything was observed, and two constants that
 * always apply: `newestWeight` and `contextMsPerTokenSquared`.
 */
export interface RatePriors {
  /** Prompt tokens prefilled per second, over all runs. @default 8000 */
  readonly prefillTokensPerSec: number;
  /** Time of one decode step in milliseconds. @default 25 */
  readonly stepMs: number;
  /** Time of one call to a plain service in milliseconds. @default 100 */
  readonly callMs: number;
  /**
   * Weight of the newest sample in the moving averages of step time and of call
   * time. @default 0.2
   */
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
 * Minimum time with a prompt in prefill that a sample of the prefill rate
 * spans, in milliseconds. Time and tokens are accumulated until the time
 * reaches it. If no prompt is in prefill any more before that, they are
 * dropped.
 */
const MIN_SAMPLE_MS = 20;

/**
 * Time with a prompt in prefill, in milliseconds, after which the weight of a
 * sample has decayed to 1/e, about a third.
 */
const DECAY_MS = 20_000;

/**
 * Decayed sum of observed prompt tokens from which the prefill rate counts as
 * learned. Below it the rate is treated as assumed; see `OPTIMISM_FACTOR`.
 */
const MIN_LEARNED_TOKENS = 8_000;
/**
 * Observed calls from which the time of a call counts as learned. Below it the
 * time is treated as assumed.
 */
const MIN_LEARNED_CALLS = 8;
/**
 * Factor by which an upstream may be faster than an assumed rate. A predicted
 * time that rests on an assumed rate is divided by it, which gives the minimum
 * time. Without it, a refusal based only on the priors would repeat forever,
 * because refused work gives no observations. The time of a decode step counts
 * as learned from the start, so the factor does not apply to an assumed one
 * until a period of refusals has passed; see `REFUSAL_PERIOD_MS`.
 */
const OPTIMISM_FACTOR = 4;
/**
 * Length of a period of refusals, in milliseconds. Periods are counted from the
 * first refusal since the last observation, and the factor applies once more
 * after each of them. The rate that is learned from an engine with a fault is
 * too low. Without the further factors the side would refuse long prompts even
 * after the engine has recovered, and would observe none of them. An
 * observation, which ends the count of periods, is a sample of the prefill
 * rate, a recorded decode of tokens or a finished call.
 */
const REFUSAL_PERIOD_MS = 5_000;
/**
 * Upper bound of the product of these factors, the optimism. At this bound only
 * work that clearly cannot end in time is refused.
 */
const MAX_OPTIMISM = 64;

/** Estimated rates; all times are in milliseconds. */
export interface LearnedRates {
  /**
   * Sets whether any prompt is in prefill. Time without one is not part of a
   * sample.
   */
  setPrefillBusy(isBusy: boolean, now: number): void;
  /** Records that `tokens` prompt tokens were prefilled. */
  recordPrefill(tokens: number, now: number): void;
  /**
   * Records `count` decoded tokens of one run, which arrived `elapsedMs` after
   * the run's previous tokens. Not called for a run's first tokens.
   */
  recordDecode(count: number, elapsedMs: number): void;
  /** Records the duration of a call to a plain service. */
  recordCall(elapsedMs: number): void;
  /** Records that work was refused because it would end too late. */
  recordRefusal(now: number): void;
  /** Prompt tokens prefilled per second, over all runs. */
  prefillTokensPerSec(): number;
  /** Moving average of the time of one decode step. */
  stepMs(): number;
  /** Moving average of the time of one call to a plain service. */
  callMs(): number;
  /** Predicted time to prefill `tokens` tokens when nothing else runs. */
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
  // Time and tokens are summed separately, and each sum decays. A mean of rates
  // would weigh a step with one small prompt, which is mostly fixed cost, like a
  // step full of tokens, and would underestimate the engine.
  let weightedMs = 0;
  let weightedTokens = 0;
  let callCount = 0;
  /** Time of the first refusal since the last observation of any kind. */
  let refusingSince: number | undefined;

  /**
   * Factor by which a prediction may be too long. It is 1 for a learned rate
   * until `REFUSAL_PERIOD_MS` after the first refusal since the last
   * observation.
   */
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

  const prefillMs = (tokens: number) =>
    (tokens / tokensPerSec) * 1_000 +
    priors.contextMsPerTokenSquared * tokens * tokens;

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
    recordPrefill: (tokens, now) => {
      sampleTokens += tokens;
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
    minPrefillMs: (tokens, now) =>
      prefillMs(tokens) / optimism(weightedTokens >= MIN_LEARNED_TOKENS, now),
    minStepMs: now => meanStepMs / optimism(true, now),
    minCallMs: now =>
      meanCallMs / optimism(callCount >= MIN_LEARNED_CALLS, now),
  };
}
