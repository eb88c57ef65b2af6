/** Which other entry is asked what it knows of the store. */
import {describe, expect, test} from 'vitest';
import {createPeerQueries} from '../../src/direct/peer_queries.js';
import type {EntryAddress} from '../../src/direct/types.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

function entry(node: string): EntryAddress {
  return {node, incarnation: '1', ip: '10.0.0.1', port: 7000};
}

const NODES = ['a', 'b', 'c'];

/** The entries asked in turn, each knowing the store as of so long ago. */
function asked(ages: Readonly<Record<string, number | undefined>>) {
  const clock = createVirtualClock();
  const nodes: string[] = [];
  const questions = createPeerQueries({
    clock,
    self: entry('d'),
    candidates: () => NODES.map(entry),
    send: ({question}, {node}) => {
      nodes.push(node);
      const knowledge = {
        era: 1,
        evidenceAgeMs: ages[node],
        configVersion: 1,
        replicasDigest: '',
      };
      questions.handleAnswer({kind: 'answer', question, knowledge});
    },
  });
  for (let turn = 0; turn < 4; turn++) questions.query(false, () => undefined);
  return nodes;
}

describe('an entry that asks others', () => {
  test('stays with one whose evidence is new', () => {
    expect(asked({a: 900, b: 900, c: 900})).toEqual(['a', 'a', 'a', 'a']);
  });

  // The store turns some machines away, the first entry by name among them, and
  // serves the others. Callers with keys would get 503 from every entry that is
  // turned away too and goes on asking the first, though others know the store.
  test('goes to the next when the evidence is old or there is none', () => {
    expect(asked({a: 9_000, b: undefined, c: 500})).toEqual([
      'a',
      'b',
      'c',
      'c',
    ]);
  });
});
