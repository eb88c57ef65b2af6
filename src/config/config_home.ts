/**
 * Chooses the home: the one entry that keeps a watch on the configuration's
 * head in the store. Each entry computes the home by rendezvous hashing over
 * the live entries, so all agree while they see the same members. While they
 * see different members there may be two homes, which costs one more watch and
 * has no other effect.
 */
import type {NodeId} from '../types/ids.js';
import type {EntryPeer} from '../types/services.js';
import {rendezvousFirst} from '../utils/rendezvous.js';

/** Key that is hashed with each entry's node id. */
const HOME_HASH_KEY = 'config';

/** Returns true when `self` is the home among itself and the live entries. */
export function isConfigHome(
  self: NodeId,
  entries: readonly Pick<EntryPeer, 'node' | 'state'>[],
): boolean {
  const others = entries
    .filter(({node, state}) => node !== self && state === 'live')
    .map(({node}) => ({id: node}));
  return rendezvousFirst(HOME_HASH_KEY, [{id: self}, ...others])?.id === self;
}
