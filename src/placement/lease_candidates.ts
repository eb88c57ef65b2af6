/**
 * Chooses which entries check the placer's lease often. If each of several
 * hundred entries checked it twice in its duration, this would be most of the
 * store's load. The first few in rendezvous order are enough; when they fail,
 * the next ones take their place. A wrong choice delays a new placer, but never
 * leads to two.
 */
import type {NodeId} from '../types/ids.js';
import type {MembershipView} from '../types/services.js';
import {rendezvousNames} from '../utils/rendezvous.js';

/**
 * Number of candidates. With three, two may fail at once and one still checks
 * the lease.
 */
const CANDIDATES = 3;
/** Key of the rendezvous hashing that orders the entries. */
const RENDEZVOUS_KEY = 'placer';

/**
 * True when `self` is among the candidates. Also true while no other entry is
 * known.
 */
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
