/**
 * Which entry watches the configuration's head. Rendezvous hashing over the
 * live entries: all choose the same one while their views agree, and when one
 * leaves only its own part moves. Two homes at once cost a watch, no more.
 */
import type {NodeId} from '../types/ids.js';
import type {EntryPeer} from '../types/services.js';
import {rendezvousFirst} from '../utils/rendezvous.js';

const HOME_HASH_KEY = 'config';

/** True when `self` is the home among itself and the live entries. */
export function isConfigHome(
  self: NodeId,
  entries: readonly Pick<EntryPeer, 'node' | 'state'>[],
): boolean {
  const others = entries
    .filter(({node, state}) => node !== self && state === 'live')
    .map(({node}) => ({id: node}));
  return rendezvousFirst(HOME_HASH_KEY, [{id: self}, ...others])?.id === self;
}
