/**
 * Learns the distribution of answer lengths. The number of tokens that a caller
 * allows is only an upper bound and often far above the actual length. A side
 * that predicted each answer at its bound would refuse runs as too late that
 * would end in time.
 */

/** Number of answers from which the distribution is used. */
const MIN_ANSWERS = 8;
/** Share of the answers that are at most as long as predicted. */
const PREDICTED_QUANTILE = 0.95;
/** Factor by which each new answer reduces the weight of earlier ones. */
const DECAY_PER_ANSWER = 0.995;

/** Distribution of answer lengths in tokens. */
export interface OutputLengths {
  /** Records the length of an answer that ended or hit its time limit. */
  record(tokens: number): void;
  /** Whether enough answers were recorded to use the distribution. */
  hasEnoughAnswers(): boolean;
  /**
   * Predicts how many more tokens an answer gets that has `generatedTokens` and
   * is allowed `maxTokens`. At most one answer in twenty gets more. Until
   * enough answers were recorded, this is the number of tokens still allowed.
   */
  predictRemaining(maxTokens: number, generatedTokens: number): number;
}

/** Creates an empty distribution. */
export function createOutputLengths(): OutputLengths {
  /**
   * Index i holds the weight of answers whose length is in [2^(i-1), 2^i)
   * tokens.
   */
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
    const longerWeights = weights.map((weight, index) =>
      2 ** index > generatedTokens ? weight : 0,
    );
    const totalWeight = longerWeights.reduce((sum, weight) => sum + weight, 0);
    // Longer than any recorded answer: assume that its length doubles.
    if (totalWeight === 0) return Math.min(allowed, generatedTokens);
    let coveredWeight = 0;
    const index = longerWeights.findIndex(weight => {
      coveredWeight += weight;
      return coveredWeight >= PREDICTED_QUANTILE * totalWeight;
    });
    return Math.min(allowed, 2 ** index - generatedTokens);
  };

  return {
    record,
    hasEnoughAnswers,
    predictRemaining,
  };
}
