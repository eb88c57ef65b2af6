/**
 * Chooses the replica for a call to a service without published engine figures:
 * the one with the lowest expected time, by its load and its recent answers.
 *
 * A replica can break off a part of its answers while it passes its health
 * check. Such a failure loses a call that may not be repeated, and delays a call
 * that may. Broken answers therefore count as time, in multiples of the route's
 * latency objective.
 */
import type {ReplicaLoad} from '../replica_load.js';
import type {DirectReplica} from '../types.js';

/** Cost of a replica in another failure domain, in milliseconds. */
const OTHER_DOMAIN_MS = 1;
/**
 * Cost of a broken answer to a call that may not be repeated, in latency
 * objectives. The call is lost, while an answer within ten objectives would
 * still be worth something.
 */
const LOST_CALL_AIMS = 10;
/** The same for a call that may be repeated: it takes one more attempt. */
const RETRIED_CALL_AIMS = 1;

/** A replica that could take the call. */
export interface CallCandidate {
  readonly replica: DirectReplica;
  readonly load: ReplicaLoad;
  /** Measured time of recent answers divided by the expected time. */
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
  /** The call may not be sent again once a replica may have run it. */
  readonly isOnce: boolean;
  /** Random number in [0, 1), uniform; breaks ties. */
  readonly draw: () => number;
}

/** The candidate with the lowest expected cost; undefined without candidates. */
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

/** Expected time of the call at the candidate, in milliseconds. */
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
