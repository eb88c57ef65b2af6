/**
 * What the side learns of how long answers get. The tokens that a caller allows
 * are only a bound, often far above the answer: a run predicted at its bound
 * would be refused as too late although it ends in good time.
 */

/** Answers after which the distribution is used. */
const LEARNED_ANSWERS = 8;
/** What each answer leaves of the weight of those before it. */
const KEPT = 0.995;

export interface OutputLengths {
  /** An answer ended, or was cut by its time limit, after so many tokens. */
  ended(tokens: number): void;
  isLearned(): boolean;
  /**
   * Mean of the tokens still to come of an answer that has so many already and
   * may have `most`; all that are allowed until enough answers were seen.
   */
  expectedLeft(most: number, already: number): number;
}

/** Answers whose lengths have the same power of two below them. */
interface Bucket {
  weight: number;
  tokens: number;
}

export function createOutputLengths(): OutputLengths {
  const buckets: Bucket[] = [];
  let answers = 0;

  const ended = (tokens: number) => {
    if (tokens <= 0) return;
    answers += 1;
    for (const bucket of buckets) {
      bucket.weight *= KEPT;
      bucket.tokens *= KEPT;
    }
    const index = Math.floor(Math.log2(tokens));
    while (buckets.length <= index) buckets.push({weight: 0, tokens: 0});
    buckets[index].weight += 1;
    buckets[index].tokens += tokens;
  };

  const isLearned = () => answers >= LEARNED_ANSWERS;

  const expectedLeft = (most: number, already: number) => {
    const allowed = Math.max(0, most - already);
    if (!isLearned()) return allowed;
    let weight = 0;
    let left = 0;
    for (const bucket of buckets) {
      const mean = bucket.weight > 0 ? bucket.tokens / bucket.weight : 0;
      if (mean <= already) continue;
      weight += bucket.weight;
      left += bucket.weight * Math.min(allowed, mean - already);
    }
    // Longer than any seen: as much again as there is, within its bound.
    return weight > 0 ? left / weight : Math.min(allowed, already);
  };

  return {ended, isLearned, expectedLeft};
}
