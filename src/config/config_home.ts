/**
 * Which entry watches the configuration's head. Rendezvous hashing over the
 * live entries: all choose the same one while their views agree, and when one
 * leaves only its own part moves. Two homes at once cost a watch, no more.
 */
import type {NodeId} from '../types/ids.js';
import type {EntryPeer} from '../types/services.js';
import {hashText} from '../utils/digest.js';

const HOME_NAME = 'config';

/** True when `self` is the home among itself and the live entries. */
export function isConfigHome(
  self: NodeId,
  entries: readonly Pick<EntryPeer, 'node' | 'state'>[],
): boolean {
  const own = rank(self);
  return entries.every(
    ({node, state}) => node === self || state !== 'live' || rank(node) < own,
  );
}

function rank(node: NodeId): string {
  return hashText(`${HOME_NAME} ${node}`).padStart(16, '0');
}
