/**
 * Which sides an entry follows so that no side is followed by nobody. Subsets
 * are drawn by each entry alone: with few entries for many sides some side is
 * in none of them. It would take no work, and get no new configuration while
 * the store is out. So each side has two entries, by rendezvous hashing, that
 * follow it whatever their subsets are.
 */
import type {Address} from '../types/ids.js';
import {rendezvousNames} from '../utils/rendezvous.js';

/** Entries of each side; one may be gone and still be listed. */
const FOLLOWERS_PER_SIDE = 2;
/** With a side in this many subsets on average, none is in no subset. */
const ENOUGH_MEAN_FOLLOWERS = 12;

export interface AssignedSidesOptions {
  readonly self: Address;
  readonly followReplicas: number;
}

/** Gives the sides that this entry guards; keeps the last outcome. */
export function createAssignedSides({
  self,
  followReplicas,
}: AssignedSidesOptions) {
  let lastKey = '';
  let assigned: readonly Address[] = [];

  const compute = (sides: readonly Address[], entries: readonly Address[]) => {
    const meanFollowers = (entries.length * followReplicas) / sides.length;
    if (meanFollowers >= ENOUGH_MEAN_FOLLOWERS) return [];
    return sides.filter(side =>
      rendezvousNames(side, entries)
        .slice(0, FOLLOWERS_PER_SIDE)
        .includes(self),
    );
  };

  return (
    sides: readonly Address[],
    others: readonly Address[],
  ): readonly Address[] => {
    const key = `${sides.join()} ${others.join()}`;
    if (key === lastKey) return assigned;
    lastKey = key;
    assigned = compute(sides, [self, ...others]);
    return assigned;
  };
}
