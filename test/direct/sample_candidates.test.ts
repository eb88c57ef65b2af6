/** Which replicas a choice looks at. */
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {sampleCandidates} from '../../src/direct/decide/sample_candidates.js';
import type {DirectReplica} from '../../src/direct/types.js';
import {createSeededRandom} from '../../standins/seeded_random.js';

function replicas(count: number, domains: number): readonly DirectReplica[] {
  return Array.from({length: count}, (_, at) => ({
    id: `r${at}`,
    name: `r${at}`,
    startedAt: undefined,
    service: 'pool',
    address: `10.0.0.1:${at + 1}`,
    failureDomain: `domain-${at % domains}`,
    places: 7,
    leaving: false,
  }));
}

describe('the replicas that a choice looks at', () => {
  test('are all of a small fleet', () => {
    const all = replicas(14, 3);
    expect(sampleCandidates(all, 'domain-0', () => 0)).toEqual(all);
  });

  test('are no more in a fleet of hundreds, and distinct', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 400}),
        fc.integer({min: 1, max: 8}),
        fc.integer(),
        (count, domains, seed) => {
          const random = createSeededRandom(seed);
          const drawn = sampleCandidates(
            replicas(count, domains),
            'domain-0',
            () => random.next(),
          );
          expect(drawn.length).toBe(Math.min(count, 30));
          expect(new Set(drawn).size).toBe(drawn.length);
        },
      ),
      {seed: 1},
    );
  });

  test('are mostly of the own failure domain, and some of the others', () => {
    const random = createSeededRandom(1);
    const drawn = sampleCandidates(replicas(135, 5), 'domain-2', () =>
      random.next(),
    );
    const near = drawn.filter(it => it.failureDomain === 'domain-2');
    expect(near.length).toBe(27);
    expect(drawn.length - near.length).toBe(3);
  });

  // All engines of a domain are gone, and its entries live: their callers are
  // served by the other domains' engines.
  test('are the others where the own domain has none', () => {
    const random = createSeededRandom(1);
    const drawn = sampleCandidates(replicas(108, 4), 'domain-9', () =>
      random.next(),
    );
    expect(drawn).toHaveLength(30);
  });

  // Entries that choose in the same instant know of each other's choice too
  // late. Looking at one set, they would all take its best engine.
  test('are unlike sets for entries that draw apart', () => {
    const random = createSeededRandom(3);
    const draw = () =>
      sampleCandidates(replicas(135, 1), 'domain-0', () => random.next());
    const first = new Set(draw());
    const shared = draw().filter(it => first.has(it)).length;
    expect(shared).toBeLessThan(20);
  });
});
