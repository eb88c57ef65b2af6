/**
 * Computes weighted max-min fair shares. Under overload, a capacity is divided
 * by weight, but no claim is given more than it wants. What the smaller claims
 * leave is divided among the others.
 */

/** How much one organisation wants of the capacity, and its weight. */
export interface Claim {
  readonly wanted: number;
  readonly weight: number;
}

/**
 * The level up to which each claim is met: a claim gets the smaller of what it
 * wants and its weight times the level. Infinite where all claims can be met.
 */
export function fairLevel(claims: readonly Claim[], capacity: number): number {
  const byLevel = claims
    .filter(({wanted, weight}) => wanted > 0 && weight > 0)
    .map(({wanted, weight}) => ({wanted, weight, level: wanted / weight}))
    .sort((a, b) => a.level - b.level);
  let weightLeft = byLevel.reduce((sum, {weight}) => sum + weight, 0);
  let left = capacity;
  for (const {wanted, weight, level} of byLevel) {
    if (level * weightLeft >= left) return left / weightLeft;
    left -= wanted;
    weightLeft -= weight;
  }
  return Infinity;
}
