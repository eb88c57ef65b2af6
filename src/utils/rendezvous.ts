/**
 * Weighted rendezvous hashing. Processes that know the same nodes compute the
 * same order of nodes for a key, without coordination. When a node is added or
 * removed, only the keys assigned to that node move.
 */
import {hashText} from './digest.js';

/** A node to which keys can be assigned. */
export interface RendezvousNode {
  readonly id: string;
  /** Share of keys relative to other nodes; above 0. @default 1 */
  readonly weight?: number;
}

/** Number of hex digits of a hash that a double holds without loss. */
const HASH_DIGITS = 13;
/** Number of distinct values of that many digits. */
const HASH_RANGE = 16 ** HASH_DIGITS;

/** Score of a node for a key. The node with the highest score is first. */
function scoreOf(key: string, node: RendezvousNode): number {
  const digits = hashText(`${key}\n${node.id}`).slice(0, HASH_DIGITS);
  const uniformHash = (parseInt(digits, 16) + 0.5) / HASH_RANGE;
  return -(node.weight ?? 1) / Math.log(uniformHash);
}

/** A node with its score for a key. */
interface ScoredNode<T> {
  readonly node: T;
  readonly score: number;
}

/** Orders by falling score; equal scores are ordered by id. */
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

/** All nodes, in falling order of score for the key. */
export function rendezvousOrder<T extends RendezvousNode>(
  key: string,
  nodes: readonly T[],
): readonly T[] {
  return scoreNodes(key, nodes)
    .sort(compareScored)
    .map(({node}) => node);
}

/** The node with the highest score for the key; undefined without nodes. */
export function rendezvousFirst<T extends RendezvousNode>(
  key: string,
  nodes: readonly T[],
): T | undefined {
  let best: ScoredNode<T> | undefined;
  for (const scored of scoreNodes(key, nodes)) {
    if (best === undefined || compareScored(scored, best) < 0) best = scored;
  }
  return best?.node;
}

/** All names, in falling order of score for the key, with equal weights. */
export function rendezvousNames(
  key: string,
  names: readonly string[],
): readonly string[] {
  const nodes = names.map(id => ({id}));
  return rendezvousOrder(key, nodes).map(({id}) => id);
}
