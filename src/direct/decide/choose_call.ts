/**
 * Chooses the replica of a plain service: the least expected time, from what
 * waits there and how it was seen to answer.
 *
 * The load it answers: one of a few replicas breaks off a part of its answers
 * while it passes its health check, and answers the others well. A call that
 * may not be repeated is lost by it, and one that may comes late, so a broken
 * answer counts as time as well: by the aim, which says what the caller bears.
 */
import type {ReplicaLoad} from '../replica_load.js';
import type {DirectReplica} from '../types.js';

/** Added for a replica in another failure domain, in milliseconds. */
const OTHER_DOMAIN_MS = 1;
/**
 * Aims that a broken answer costs: the whole call where it may not be repeated,
 * which an answer within ten aims would still be worth a part of; one try more
 * where it may.
 */
const BROKEN_ONCE_AIMS = 10;
const BROKEN_AGAIN_AIMS = 1;

export interface CallCandidate {
  readonly replica: DirectReplica;
  readonly load: ReplicaLoad;
  readonly slowness: number;
  /** See `ReplicaHealth`. */
  readonly brokenShare: number;
}

/** What the choice depends on. */
export interface CallRequest {
  readonly failureDomain: string;
  /** Usual time of a call at the service, in milliseconds. */
  readonly usualMs: number;
  readonly aimMs: number;
  /** It may not be sent again once it may have run. */
  readonly isOnce: boolean;
  /** Uniform in [0, 1); breaks ties. */
  readonly draw: () => number;
}

export function chooseForCall<T extends CallCandidate>(
  candidates: readonly T[],
  req: CallRequest,
): T | undefined {
  let best: T | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, req) + req.draw();
    if (cost >= least) continue;
    best = candidate;
    least = cost;
  }
  return best;
}

function costOf(
  {replica, load, slowness, brokenShare}: CallCandidate,
  {failureDomain, usualMs, aimMs, isOnce}: CallRequest,
): number {
  const turns = 1 + load.running / Math.max(1, replica.places);
  const way = replica.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_MS;
  const aims = isOnce ? BROKEN_ONCE_AIMS : BROKEN_AGAIN_AIMS;
  return usualMs * slowness * turns + way + brokenShare * aims * aimMs;
}
