/**
 * What the side learns of its engine's speed from the events it sees: prompt
 * tokens prefilled per second over all runs, and the time of one decode step.
 * Priors stand until something was seen.
 */

export interface RatePriors {
  /** @default 8000 */
  readonly prefillTokensPerSec: number;
  /** @default 25 */
  readonly stepMs: number;
  /** Time of one call to a plain service. @default 100 */
  readonly callMs: number;
  /** Weight of a new sample of step or call time. @default 0.2 */
  readonly alpha: number;
  /**
   * Extra prefill time by attention over a long context, in milliseconds per
   * token squared. @default 0
   */
  readonly contextMsPerTokenSquared: number;
}

export const DEFAULT_RATE_PRIORS: RatePriors = {
  prefillTokensPerSec: 8_000,
  stepMs: 25,
  callMs: 100,
  alpha: 0.2,
  contextMsPerTokenSquared: 0,
};

/** A sample of the prefill rate spans at least this much busy time. */
const MIN_SAMPLE_MS = 20;

/**
 * Busy time after which a sample counts for a third. Tokens and time are summed
 * apart: a mean of rates would weigh a step with one small prompt, mostly fixed
 * cost, like a step full of tokens, and call the engine slow for what it was
 * given.
 */
const DECAY_MS = 20_000;

/** Prompt tokens seen from which on the prefill rate is no guess. */
const MIN_LEARNED_TOKENS = 8_000;
/** Calls seen after which the time of a call is no guess. */
const MIN_LEARNED_CALLS = 8;
/**
 * An upstream may be so many times as fast as was assumed. A refusal for good
 * on assumptions alone would keep itself up: what is refused teaches nothing.
 */
const OPTIMISM_FACTOR = 4;
/**
 * What was learned of an engine that was slow by a fault goes on refusing once
 * the engine is well again, and what is refused teaches nothing: the side would
 * serve no long prompt ever after. So each period in which it refused and saw
 * nothing adds doubt, until some work is taken; the first sample brings the
 * truth back.
 */
const REFUSAL_PERIOD_MS = 5_000;
/** With this much doubt all but the plainly impossible is tried. */
const MAX_OPTIMISM = 64;

export interface LearnedRates {
  /** Whether any prompt is in prefill; idle time is no sample. */
  setPrefillBusy(busy: boolean, now: number): void;
  recordPrefill(tokens: number, now: number): void;
  /** `count` tokens of one run came `elapsedMs` after its last ones. */
  recordDecode(count: number, elapsedMs: number): void;
  /** A call to a plain service took so long. */
  recordCall(elapsedMs: number): void;
  /** Work was refused as too late. */
  recordRefusal(now: number): void;
  prefillTokensPerSec(): number;
  stepMs(): number;
  callMs(): number;
  /** Predicted time to prefill so many tokens, nothing else running. */
  prefillMs(tokens: number): number;
  /** The least that it may take: the prediction, less what is in doubt. */
  minPrefillMs(tokens: number, now: number): number;
  /** The same for one decode step. */
  minStepMs(now: number): number;
  /** The same for a call. */
  minCallMs(now: number): number;
}

export function createLearnedRates(priors: RatePriors): LearnedRates {
  let tokensPerSec = priors.prefillTokensPerSec;
  let meanStepMs = priors.stepMs;
  let meanCallMs = priors.callMs;
  let busySince: number | undefined;
  let sampleTokens = 0;
  let weightedMs = 0;
  let weightedTokens = 0;
  let callCount = 0;
  /** First refusal since the last sample. */
  let refusingSince: number | undefined;

  /** By how much a prediction may be too long. */
  const optimism = (isLearned: boolean, now: number) => {
    const refusingMs = refusingSince === undefined ? 0 : now - refusingSince;
    const periods =
      Math.floor(refusingMs / REFUSAL_PERIOD_MS) + (isLearned ? 0 : 1);
    return Math.min(MAX_OPTIMISM, OPTIMISM_FACTOR ** periods);
  };

  const smooth = (old: number, sample: number) =>
    old + priors.alpha * (sample - old);

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
    setPrefillBusy: (busy, now) => {
      if (busy) {
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
