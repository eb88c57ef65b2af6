/** The sample of replicas that one choice considers. */
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

describe('the sampled replicas', () => {
  test('are all replicas of a small fleet', () => {
    const all = replicas(14, 3);
    expect(sampleCandidates(all, 'domain-0', () => 0)).toEqual(all);
  });

  test('are distinct and at most 30 in a fleet of hundreds', () => {
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

  test('are mostly from the own failure domain, and some from others', () => {
    const random = createSeededRandom(1);
    const drawn = sampleCandidates(replicas(135, 5), 'domain-2', () =>
      random.next(),
    );
    const own = drawn.filter(it => it.failureDomain === 'domain-2');
    expect(own.length).toBe(27);
    expect(drawn.length - own.length).toBe(3);
  });

  // All engines of a domain are gone while its entries run. Their callers must
  // be served by engines of other domains.
  test('are from other failure domains if the own has none', () => {
    const random = createSeededRandom(1);
    const drawn = sampleCandidates(replicas(108, 4), 'domain-9', () =>
      random.next(),
    );
    expect(drawn).toHaveLength(30);
  });

  // Entries that choose at the same time learn of each other's choice too late.
  // With the same sample, all of them would choose its best engine.
  test('differ between two random samples', () => {
    const random = createSeededRandom(3);
    const draw = () =>
      sampleCandidates(replicas(135, 1), 'domain-0', () => random.next());
    const first = new Set(draw());
    const shared = draw().filter(it => first.has(it)).length;
    expect(shared).toBeLessThan(20);
  });
});
