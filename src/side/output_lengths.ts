/**
 * What the side learns of how long answers get. The tokens that a caller allows
 * are only a bound, often far above the answer: a run predicted at its bound
 * would be refused as too late although it ends in good time.
 */

/** Answers after which the distribution is used. */
const LEARNED_ANSWERS = 8;
/** Share of the answers that are no longer than predicted. */
const COVERED = 0.95;
/** What each answer leaves of the weight of those before it. */
const KEPT = 0.995;

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
  let answers = 0;

  const ended = (tokens: number) => {
    if (tokens <= 0) return;
    answers += 1;
    for (const [index, weight] of weights.entries()) {
      weights[index] = weight * KEPT;
    }
    const index = Math.floor(Math.log2(tokens)) + 1;
    while (weights.length <= index) weights.push(0);
    weights[index] += 1;
  };

  const isLearned = () => answers >= LEARNED_ANSWERS;

  const likelyLeft = (most: number, already: number) => {
    const allowed = Math.max(0, most - already);
    if (!isLearned()) return allowed;
    const longer = weights.map((weight, index) =>
      2 ** index > already ? weight : 0,
    );
    const all = longer.reduce((sum, weight) => sum + weight, 0);
    // Longer than any seen: as much again as there is, within its bound.
    if (all === 0) return Math.min(allowed, already);
    let covered = 0;
    const index = longer.findIndex(weight => {
      covered += weight;
      return covered >= COVERED * all;
    });
    return Math.min(allowed, 2 ** index - already);
  };

  return {
    record: ended,
    hasEnoughAnswers: isLearned,
    predictRemaining: likelyLeft,
  };
}
