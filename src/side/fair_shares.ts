/**
 * Service that each organisation got, divided by its weight. The queue takes
 * the least served first, so that one that sends much waits for its own.
 */
import type {OrganisationId} from '../types/ids.js';

export interface FairShares {
  /**
   * An organisation without open runs sends one. It starts at the least of the
   * active ones: time in which it asked for nothing is no credit.
   */
  join(id: OrganisationId, active: readonly OrganisationId[]): void;
  charge(id: OrganisationId, cost: number, weight: number): void;
  served(): ReadonlyMap<OrganisationId, number>;
}

export function createFairShares(): FairShares {
  const served = new Map<OrganisationId, number>();

  return {
    join: (id, active) => {
      if (active.includes(id)) return;
      const activeServed = active.map(other => served.get(other) ?? 0);
      const minServed =
        activeServed.length === 0 ? 0 : Math.min(...activeServed);
      served.set(id, Math.max(served.get(id) ?? 0, minServed));
    },
    charge: (id, cost, weight) => {
      const weightedCost = cost / Math.max(weight, Number.MIN_VALUE);
      served.set(id, (served.get(id) ?? 0) + weightedCost);
    },
    served: () => served,
  };
}
