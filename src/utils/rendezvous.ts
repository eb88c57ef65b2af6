/** Rendezvous hashing over the hash that all entries and sides share. */
import {hashText} from './digest.js';
import {createRendezvous} from './rendezvous_hashing.js';

const rendezvous = createRendezvous(hashText);

export const rendezvousOrder = rendezvous.order;
export const rendezvousFirst = rendezvous.first;

/** All names, in falling order of score for the key, with equal weights. */
export function rendezvousNames(
  key: string,
  names: readonly string[],
): readonly string[] {
  const nodes = names.map(id => ({id}));
  return rendezvousOrder(key, nodes).map(({id}) => id);
}
