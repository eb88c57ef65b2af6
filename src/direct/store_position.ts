/**
 * A position in the history of the platform's store. A store that is restored
 * from an older copy starts a new era. Revisions then go back and are assigned
 * again, so two revisions can be compared only within one era.
 */

/** Undefined where the store does not report its era. */
export type StoreEra = number | undefined;

export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: number;
}

/** Whether `era` is older than `other`; false where either is not reported. */
export function isOlderEra(era: StoreEra, other: StoreEra): boolean {
  return era !== undefined && other !== undefined && era < other;
}

/**
 * Compares `position` with `from`, which has the same era or an earlier one.
 */
export function comparePositions(
  position: StorePosition,
  from: StorePosition,
): 'newer era' | 'older' | 'same or newer' {
  if (isOlderEra(from.era, position.era)) return 'newer era';
  return position.revision < from.revision ? 'older' : 'same or newer';
}
