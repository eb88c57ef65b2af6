/**
 * Chooses the replica of a plain service: the least expected time, from what
 * waits there and how it was seen to answer.
 */
import type {ReplicaLoad} from '../load_sum.js';
import type {DirectReplica} from '../types.js';

/** Added for a replica in another failure domain, in milliseconds. */
const OTHER_DOMAIN_MS = 1;
/** Time of one call at a replica that is well; only ranks. */
export const CALL_MS = 20;

export interface CallCandidate {
  readonly replica: DirectReplica;
  readonly load: ReplicaLoad;
  readonly slowness: number;
}

/** The best candidate; `drawn` in [0, 1) breaks ties. */
export function chooseForCall(
  candidates: readonly CallCandidate[],
  failureDomain: string,
  draw: () => number,
): CallCandidate | undefined {
  let best: CallCandidate | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, failureDomain) + draw();
    if (cost >= least) continue;
    best = candidate;
    least = cost;
  }
  return best;
}

function costOf(
  {replica, load, slowness}: CallCandidate,
  failureDomain: string,
): number {
  const turns = 1 + load.running / Math.max(1, replica.places);
  const way = replica.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_MS;
  return CALL_MS * slowness * turns + way;
}
