/** The nearest known name to a mistyped one, for messages that help. */

/** Names further off than this share of their length are no help. */
const MAX_DISTANCE_RATIO = 0.5;

/** The known name with the least edit distance, if any is near enough. */
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
  const most = Math.max(2, best.candidate.length * MAX_DISTANCE_RATIO);
  return best.distance <= most ? best.candidate : undefined;
}

/** Levenshtein distance. */
function editDistance(a: string, b: string): number {
  let row = Array.from({length: b.length + 1}, (_, i) => i);
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const change = a[i - 1] === b[j - 1] ? 0 : 1;
      next.push(
        Math.min(
          (row[j] ?? 0) + 1,
          (next[j - 1] ?? 0) + 1,
          (row[j - 1] ?? 0) + change,
        ),
      );
    }
    row = next;
  }
  return row[b.length] ?? 0;
}
