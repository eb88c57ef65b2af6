/**
 * What the side learns of how long answers get. The tokens that a caller allows
 * are only a bound, often far above the answer: a run predicted at its bound
 * would be refused as too late although it ends in good time.
 */

/** Answers after which the distribution is used. */
const MIN_ANSWERS = 8;
/** Share of the answers that are no longer than predicted. */
const PREDICTED_QUANTILE = 0.95;
/** What each answer leaves of the weight of those before it. */
const DECAY_PER_ANSWER = 0.995;

export interface OutputLengths {
  /** An answer ended, or was cut by its time limit, after so many tokens. */
  record(tokens: number): void;
  hasEnoughAnswers(): boolean;
  /**
   * Tokens still to come, in all but few cases, of an answer that has so many
   * already and may have `most`; all that are allowed until enough answers
   * were seen.
   */
  predictRemaining(most: number, already: number): number;
}

export function createOutputLengths(): OutputLengths {
  /** Weights of answers by the power of two that they are under. */
  const weights: number[] = [];
  let answerCount = 0;

  const record = (tokens: number) => {
    if (tokens <= 0) return;
    answerCount += 1;
    for (const [index, weight] of weights.entries()) {
      weights[index] = weight * DECAY_PER_ANSWER;
    }
    const index = Math.floor(Math.log2(tokens)) + 1;
    while (weights.length <= index) weights.push(0);
    weights[index] += 1;
  };

  const hasEnoughAnswers = () => answerCount >= MIN_ANSWERS;

  const predictRemaining = (maxTokens: number, generatedTokens: number) => {
    const allowed = Math.max(0, maxTokens - generatedTokens);
    if (!hasEnoughAnswers()) return allowed;
    const totalWeight = weights.map((weight, index) =>
      2 ** index > generatedTokens ? weight : 0,
    );
    const all = totalWeight.reduce((sum, weight) => sum + weight, 0);
    // Longer than any seen: as much again as there is, within its bound.
    if (all === 0) return Math.min(allowed, generatedTokens);
    let coveredWeight = 0;
    const index = totalWeight.findIndex(weight => {
      coveredWeight += weight;
      return coveredWeight >= PREDICTED_QUANTILE * all;
    });
    return Math.min(allowed, 2 ** index - generatedTokens);
  };

  return {
    record,
    hasEnoughAnswers,
    predictRemaining,
  };
}
