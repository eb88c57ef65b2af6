/**
 * Finds the known name closest to a mistyped one. Error messages use it to
 * suggest a correction.
 */

/**
 * Largest edit distance of a suggestion, as a share of its length. A distance
 * of 2 is always allowed. A name beyond both bounds is not suggested.
 */
const MAX_DISTANCE_RATIO = 0.5;

/**
 * Returns the known name with the smallest edit distance, ignoring case;
 * undefined when even that one is too far.
 */
export function nearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const ranked = known
    .map(candidate => ({
      candidate,
      distance: editDistance(name.toLowerCase(), candidate.toLowerCase()),
    }))
    .sort((a, b) => a.distance - b.distance);
  const best = ranked[0];
  if (best === undefined) return undefined;
  const maxDistance = Math.max(2, best.candidate.length * MAX_DISTANCE_RATIO);
  return best.distance <= maxDistance ? best.candidate : undefined;
}

/** Levenshtein distance of two texts. */
function editDistance(a: string, b: string): number {
  let row = Array.from({length: b.length + 1}, (_, i) => i);
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const substitutionCost = a[i - 1] === b[j - 1] ? 0 : 1;
      next.push(
        Math.min(
          (row[j] ?? 0) + 1,
          (next[j - 1] ?? 0) + 1,
          (row[j - 1] ?? 0) + substitutionCost,
        ),
      );
    }
    row = next;
  }
  return row[b.length] ?? 0;
}
