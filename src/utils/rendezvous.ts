/**
 * Weighted rendezvous hashing: everyone who knows the same nodes puts them in
 * the same order for a key, without agreeing on anything, and a node that
 * comes or goes moves only the keys that were or become its own.
 */
import {hashText} from './digest.js';

/** A node that keys may fall to. */
export interface RendezvousNode {
  readonly id: string;
  /** Share of keys relative to other nodes, over 0. @default 1 */
  readonly weight?: number;
}

/** Hex digits of a hash that fit a double without loss. */
const HASH_DIGITS = 13;
const HASH_RANGE = 16 ** HASH_DIGITS;

/** Score of a node for a key; the highest comes first. */
function scoreOf(key: string, node: RendezvousNode): number {
  const digits = hashText(`${key}\n${node.id}`).slice(0, HASH_DIGITS);
  const uniform = (parseInt(digits, 16) + 0.5) / HASH_RANGE;
  return -(node.weight ?? 1) / Math.log(uniform);
}

interface ScoredNode<T> {
  readonly node: T;
  readonly score: number;
}

function compareScored<T extends RendezvousNode>(
  a: ScoredNode<T>,
  b: ScoredNode<T>,
): number {
  if (a.score !== b.score) return b.score - a.score;
  return a.node.id < b.node.id ? -1 : 1;
}

function scoreNodes<T extends RendezvousNode>(
  key: string,
  nodes: readonly T[],
): Array<ScoredNode<T>> {
  return nodes.map(node => ({node, score: scoreOf(key, node)}));
}

/** All nodes, best for the key first. */
export function rendezvousOrder<T extends RendezvousNode>(
  key: string,
  nodes: readonly T[],
): readonly T[] {
  return scoreNodes(key, nodes)
    .sort(compareScored)
    .map(({node}) => node);
}

/** The best node for the key; undefined when there is none. */
export function rendezvousFirst<T extends RendezvousNode>(
  key: string,
  nodes: readonly T[],
): T | undefined {
  let best: ScoredNode<T> | undefined;
  for (const entry of scoreNodes(key, nodes)) {
    if (best === undefined || compareScored(entry, best) < 0) best = entry;
  }
  return best?.node;
}

/** All names, the most preferred for the key first. */
export function rendezvousNames(
  key: string,
  names: readonly string[],
): readonly string[] {
  const nodes = names.map(id => ({id}));
  return rendezvousOrder(key, nodes).map(({id}) => id);
}
