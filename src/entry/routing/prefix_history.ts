/**
 * Which prompt prefixes this entry has routed before, and how often engines
 * then found them in their caches. Cache events come late and with gaps; what
 * engines report at the end of a run corrects the expectation.
 */

/** Prefix hashes remembered, the least recently routed forgotten first. */
const MAX_HASHES = 8_192;
/** Weight of the newest observation in the learned hit ratio. */
const LEARNING_RATE = 0.05;

export interface PrefixHistory {
  recordRouted(hashes: readonly string[]): void;
  /** Tokens of the longest prefix that was routed before. */
  knownTokens(hashes: readonly string[]): number;
  recordCached(hashes: readonly string[], cachedTokens: number): void;
  /** Confirmed share of expected hits, 0 to 1. */
  hitRatio(): number;
}

export function createPrefixHistory(blockTokens: number): PrefixHistory {
  /** In order of use; the value counts how often it was routed. */
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
      // Routed twice or more: this run was not the one that filled the cache.
      const expected = leadingKnownBlocks(hashes, 2) * blockTokens;
      if (expected === 0) return;
      const hit = Math.min(1, cachedTokens / expected);
      ratio += LEARNING_RATE * (hit - ratio);
    },
    hitRatio: () => ratio,
  };
}
