/**
 * Assigns every side to two entries, which follow it whatever their subsets
 * are. Each entry chooses its subset on its own, so with few entries and many
 * sides some side may be in no subset. Such a side would get no work, and no
 * new configuration while the store is unavailable. Rendezvous hashing makes
 * all entries agree on the assignment.
 */
import type {Address} from '../types/ids.js';
import {rendezvousNames} from '../utils/rendezvous.js';

/**
 * Entries assigned to each side. With two, the side still has a follower when
 * one of them has died and the host list still shows it.
 */
const FOLLOWERS_PER_SIDE = 2;
/**
 * Mean number of subsets per side from which nothing is assigned: with so many
 * subsets no side is left out of all of them.
 */
const ENOUGH_MEAN_FOLLOWERS = 12;

/** What the assignment depends on, apart from the sides and entries. */
export interface AssignedSidesOptions {
  /** Address of this entry. */
  readonly self: Address;
  /** Replicas that each entry chooses for its own subset. */
  readonly followReplicas: number;
}

/**
 * Returns a function that gives the sides assigned to this entry. The function
 * caches the last result, and recomputes it when a side or an entry has come or
 * gone.
 */
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
