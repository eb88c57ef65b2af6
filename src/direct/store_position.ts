/**
 * A position in the history of the platform's store. A store that comes back
 * from an older copy starts a new era: revisions go back and are given out
 * again, so that two revisions can be compared within one era only.
 */

/** Undefined where the store does not tell it. */
export type StoreEra = number | undefined;

export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: number;
}

/** Two eras of which one is not told count as the same. */
export function isOlderEra(era: StoreEra, other: StoreEra): boolean {
  return era !== undefined && other !== undefined && era < other;
}

/** Where `position` lies, seen from one of its own era or an earlier one. */
export function comparePositions(
  position: StorePosition,
  from: StorePosition,
): 'newer era' | 'older' | 'same or newer' {
  if (isOlderEra(from.era, position.era)) return 'newer era';
  return position.revision < from.revision ? 'older' : 'same or newer';
}
