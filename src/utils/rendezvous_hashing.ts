/**
 * Weighted rendezvous hashing. Processes that know the same nodes compute the
 * same order of nodes for a key, without coordination. When a node is added or
 * removed, only the keys assigned to that node move.
 */
/** A node to which keys can be assigned. */
export interface RendezvousNode {
  readonly id: string;
  /** Share of keys relative to other nodes; above 0. @default 1 */
  readonly weight?: number;
}

/** Hash of a text as hex digits, at least `HASH_DIGITS` of them. */
export type HashText = (text: string) => string;

/** Number of hex digits of a hash that a double holds without loss. */
const HASH_DIGITS = 13;
/** Number of distinct values of that many digits. */
const HASH_RANGE = 16 ** HASH_DIGITS;

/** Score of a node for a key. The node with the highest score is first. */
function scoreOf(
  hashText: HashText,
  key: string,
  node: RendezvousNode,
): number {
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
  hashText: HashText,
  key: string,
  nodes: readonly T[],
): Array<ScoredNode<T>> {
  return nodes.map(node => ({node, score: scoreOf(hashText, key, node)}));
}

/** Rendezvous hashing with one hash function. */
export interface Rendezvous {
  /** All nodes, in falling order of score for the key. */
  order<T extends RendezvousNode>(
    key: string,
    nodes: readonly T[],
  ): readonly T[];
  /** The node with the highest score for the key; undefined without nodes. */
  first<T extends RendezvousNode>(
    key: string,
    nodes: readonly T[],
  ): T | undefined;
}

export function createRendezvous(hashText: HashText): Rendezvous {
  return {
    order: (key, nodes) =>
      scoreNodes(hashText, key, nodes)
        .sort(compareScored)
        .map(({node}) => node),
    first: <T extends RendezvousNode>(key: string, nodes: readonly T[]) => {
      let best: ScoredNode<T> | undefined;
      for (const scored of scoreNodes(hashText, key, nodes)) {
        if (best === undefined || compareScored(scored, best) < 0) {
          best = scored;
        }
      }
      return best?.node;
    },
  };
}
