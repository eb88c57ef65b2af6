/**
 * Chooses the replica for a call to a service without published engine figures:
 * the one with the lowest expected cost. The cost is an expected time plus
 * penalties, all in milliseconds.
 *
 * A replica can pass its health check and still break off a part of its answers.
 * A broken answer loses a call that may not be repeated, and delays a call that
 * may. The share of broken answers therefore adds a multiple of the route's
 * latency objective to the cost.
 */
import type {ReplicaLoad} from '../replica_load.js';
import type {DirectReplica} from '../types.js';

/** Cost of a replica in another failure domain, in milliseconds. */
const OTHER_DOMAIN_MS = 1;
/**
 * Cost of a broken answer to a call that may not be repeated, in multiples of the
 * latency objective. The broken answer loses the call. An answer that took ten
 * objectives would still be worth something to the caller, so the loss counts as
 * much as that wait.
 */
const LOST_CALL_AIMS = 10;
/**
 * Cost of a broken answer to a call that may be repeated, in multiples of the
 * latency objective. The call needs one more attempt.
 */
const RETRIED_CALL_AIMS = 1;

/** A replica that could take the call. */
export interface CallCandidate {
  readonly replica: DirectReplica;
  readonly load: ReplicaLoad;
  /** Mean of measured time divided by expected time, over recent answers. */
  readonly slowness: number;
  /** Share of recent attempts that broke off; see `ReplicaHealth`. */
  readonly brokenShare: number;
}

/** Properties of the call that the choice depends on. */
export interface CallRequest {
  /** Failure domain of the entry that chooses. */
  readonly failureDomain: string;
  /** Usual time of a call to the service, in milliseconds. */
  readonly usualMs: number;
  /** Latency objective, in milliseconds. */
  readonly aimMs: number;
  /** Whether the call may not be sent again once a replica may have run it. */
  readonly isOnce: boolean;
  /**
   * Returns a uniform random number in [0, 1). It is added to each candidate's
   * cost in milliseconds, so that the choice is random between candidates whose
   * costs differ by less than 1 ms.
   */
  readonly draw: () => number;
}

/**
 * Returns the candidate with the lowest expected cost; undefined without
 * candidates.
 */
export function chooseCallReplica<T extends CallCandidate>(
  candidates: readonly T[],
  req: CallRequest,
): T | undefined {
  let best: T | undefined;
  let minCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = expectedCost(candidate, req) + req.draw();
    if (cost >= minCost) continue;
    best = candidate;
    minCost = cost;
  }
  return best;
}

/**
 * Expected cost of the call at the candidate, in milliseconds: the expected time
 * and the penalties for another failure domain and for broken answers.
 */
function expectedCost(
  {replica, load, slowness, brokenShare}: CallCandidate,
  {failureDomain, usualMs, aimMs, isOnce}: CallRequest,
): number {
  const crowding = 1 + load.running / Math.max(1, replica.places);
  const domainMs =
    replica.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_MS;
  const aims = isOnce ? LOST_CALL_AIMS : RETRIED_CALL_AIMS;
  return usualMs * slowness * crowding + domainMs + brokenShare * aims * aimMs;
}
