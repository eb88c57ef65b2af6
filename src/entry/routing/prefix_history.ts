/**
 * Remembers which prompt prefixes this entry has routed, and how often engines
 * then had them in their caches. Cache events from engines are late and
 * incomplete; the cached tokens that engines report at the end of a run correct
 * the estimate.
 */

/**
 * Maximum number of prefix hashes remembered. Beyond it, the least recently
 * routed are forgotten.
 */
const MAX_HASHES = 8_192;
/** Weight of the newest observation in the moving average of the hit ratio. */
const LEARNING_RATE = 0.05;

/** Routed prefixes and the learned ratio of cache hits. */
export interface PrefixHistory {
  recordRouted(hashes: readonly string[]): void;
  /** Number of tokens of the longest prefix routed before. */
  knownTokens(hashes: readonly string[]): number;
  recordCached(hashes: readonly string[], cachedTokens: number): void;
  /** Share of expected cache hits that engines confirmed, from 0 to 1. */
  hitRatio(): number;
}

export function createPrefixHistory(blockTokens: number): PrefixHistory {
  /** Number of times each hash was routed, least recently used first. */
  const routedTimes = new Map<string, number>();
  let ratio = 1;

  const leadingKnownBlocks = (hashes: readonly string[], minTimes: number) => {
    const first = hashes.findIndex(
      hash => (routedTimes.get(hash) ?? 0) < minTimes,
    );
    return first < 0 ? hashes.length : first;
  };

  return {
    recordRouted: hashes => {
      for (const hash of hashes) {
        const times = (routedTimes.get(hash) ?? 0) + 1;
        routedTimes.delete(hash);
        routedTimes.set(hash, times);
      }
      for (const oldest of routedTimes.keys()) {
        if (routedTimes.size <= MAX_HASHES) break;
        routedTimes.delete(oldest);
      }
    },
    knownTokens: hashes => leadingKnownBlocks(hashes, 1) * blockTokens,
    recordCached: (hashes, cachedTokens) => {
      // Counts only prefixes routed at least twice, since the first run fills
      // the cache.
      const expected = leadingKnownBlocks(hashes, 2) * blockTokens;
      if (expected === 0) return;
      const hit = Math.min(1, cachedTokens / expected);
      ratio += LEARNING_RATE * (hit - ratio);
    },
    hitRatio: () => ratio,
  };
}
