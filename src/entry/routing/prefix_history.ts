/**
 * Which prompt prefixes this entry has routed before, and how often engines
 * then found them in their caches. Cache events come late and with gaps; what
 * engines report at the end of a run corrects the expectation.
 */

/** Prefix hashes remembered, the least recently routed forgotten first. */
const KEEP_HASHES = 8_192;
/** Weight of the newest observation in the learned hit ratio. */
const LEARN = 0.05;

export interface PrefixMemory {
  routed(hashes: readonly string[]): void;
  /** Tokens of the longest prefix that was routed before. */
  knownTokens(hashes: readonly string[]): number;
  confirmed(hashes: readonly string[], cachedTokens: number): void;
  /** Confirmed share of expected hits, 0 to 1. */
  hitRatio(): number;
}

export function createPrefixMemory(blockTokens: number): PrefixMemory {
  /** In order of use; the value counts how often it was routed. */
  const seen = new Map<string, number>();
  let ratio = 1;

  const knownBlocks = (hashes: readonly string[], times: number) => {
    const first = hashes.findIndex(hash => (seen.get(hash) ?? 0) < times);
    return first < 0 ? hashes.length : first;
  };

  return {
    routed: hashes => {
      for (const hash of hashes) {
        const times = (seen.get(hash) ?? 0) + 1;
        seen.delete(hash);
        seen.set(hash, times);
      }
      for (const oldest of seen.keys()) {
        if (seen.size <= KEEP_HASHES) break;
        seen.delete(oldest);
      }
    },
    knownTokens: hashes => knownBlocks(hashes, 1) * blockTokens,
    confirmed: (hashes, cachedTokens) => {
      // Routed twice or more: this run was not the one that filled the cache.
      const expected = knownBlocks(hashes, 2) * blockTokens;
      if (expected === 0) return;
      const hit = Math.min(1, cachedTokens / expected);
      ratio += LEARN * (hit - ratio);
    },
    hitRatio: () => ratio,
  };
}
