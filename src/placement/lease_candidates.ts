/**
 * Which entries look at the placer's lease often. With each of some hundreds
 * looking twice in its duration the store would bear most of its load for
 * nothing; the first few in rendezvous order are enough, and when they are
 * gone the next ones come forward. The choice costs time, never correctness.
 */
import type {NodeId} from '../types/ids.js';
import type {MembershipView} from '../types/services.js';
import {rendezvousNames} from '../utils/rendezvous.js';

/** Candidates at a time; two may fail together without a gap. */
const CANDIDATES = 3;
const RENDEZVOUS_KEY = 'placer';

/** True when `self` is among the first; also before anything is known. */
export function isLeaseCandidate(
  self: NodeId,
  view: Pick<MembershipView, 'entries'> | undefined,
): boolean {
  const others = (view?.entries ?? [])
    .filter(({state, node}) => state === 'live' && node !== self)
    .map(({node}) => node);
  const first = rendezvousNames(RENDEZVOUS_KEY, [self, ...others]);
  return first.slice(0, CANDIDATES).includes(self);
}
