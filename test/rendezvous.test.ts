/** Weighted rendezvous hashing: order, movement and shares of keys. */
import {describe, expect, it} from 'vitest';
import {rendezvousFirst, rendezvousOrder} from '../src/utils/rendezvous.js';

const KEYS = Array.from({length: 6_000}, (_, index) => `key-${index}`);
const NODES = Array.from({length: 6}, (_, index) => ({id: `node-${index}`}));

describe('rendezvous hashing', () => {
  it('gives the same order for any input order of the nodes', () => {
    const reversed = [...NODES].reverse();
    for (const key of KEYS.slice(0, 100)) {
      const order = rendezvousOrder(key, NODES);
      expect(rendezvousOrder(key, reversed)).toEqual(order);
      expect(rendezvousFirst(key, reversed)).toEqual(order[0]);
    }
    expect(rendezvousFirst('key', [])).toBeUndefined();
  });

  it('moves only the keys of a removed node', () => {
    const remaining = NODES.slice(1);
    for (const key of KEYS) {
      const before = rendezvousOrder(key, NODES);
      const expected = before.find(node => node !== NODES[0]);
      expect(rendezvousFirst(key, remaining)).toBe(expected);
    }
  });

  it('distributes keys in proportion to weight', () => {
    const nodes = NODES.map((node, index) => ({...node, weight: index + 1}));
    const counts = new Map<string, number>();
    for (const key of KEYS) {
      const id = rendezvousFirst(key, nodes)?.id ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const weights = nodes.reduce((sum, node) => sum + node.weight, 0);
    for (const {id, weight} of nodes) {
      const share = (counts.get(id) ?? 0) / KEYS.length;
      expect(Math.abs(share - weight / weights)).toBeLessThan(0.02);
    }
  });
});
