/**
 * Tracks the service that each organisation received, divided by its weight.
 * The queue starts runs of the least served organisation first. An organisation
 * with many requests therefore delays its own requests, not those of others.
 */
import type {OrganisationId} from '../types/ids.js';

/** Weighted service received, by organisation. */
export interface FairShares {
  /**
   * Called before an organisation gets a new run; `active` lists the
   * organisations with open runs. An organisation that was inactive is raised
   * to the least served active one, so that idle time earns no credit.
   */
  join(id: OrganisationId, active: readonly OrganisationId[]): void;
  /** Adds the cost of a started run: tokens of a completion, 1 for a call. */
  charge(id: OrganisationId, cost: number, weight: number): void;
  /** Service received divided by weight, by organisation. */
  served(): ReadonlyMap<OrganisationId, number>;
}

/** Creates a record in which no organisation has received service. */
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
