import type {Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createClaimsService} from '../src/entry/claims/claims_per_key.js';
import {createBatchedClaimsService} from '../src/entry/claims/claims_batched.js';
import {createKernel} from '../src/kernel/kernel.js';
import type {Kernel} from '../src/kernel/kernel.js';
import type {OnyxError} from '../src/types/errors.js';
import type {ClaimOutcome} from '../src/types/services.js';
import {createMemoryObjectStore} from '../standins/memory_object_store.js';
import {createObjectStoreCore} from '../standins/object_store_core.js';
import {createTestRuntime} from './support/test_runtime.js';

/** An implementation of the claims service under test. */
interface ClaimsVariant {
  readonly name: string;
  readonly create: typeof createClaimsService;
  /**
   * Time after which the first write has taken effect and its response is on
   * its way, in milliseconds.
   */
  readonly effectMs: number;
}

const VARIANTS: readonly ClaimsVariant[] = [
  {name: 'per key', create: createClaimsService, effectMs: 1.5},
  {
    name: 'batched',
    create: ({store}) =>
      createBatchedClaimsService({store, shardCount: 2, wallNow: () => 0}),
    effectMs: 26.5,
  },
];

/** Starts several entries on one store, each with its own claims service. */
async function createEntries(variant: ClaimsVariant, count: number, seed = 1) {
  const test = createTestRuntime(seed);
  const {clock, random, runtime} = test;
  const core = createObjectStoreCore({clock, random});
  const client = () => createMemoryObjectStore({core, clock, timeoutMs: 200});
  const kernels: Kernel[] = [];
  for (let index = 0; index < count; index++) {
    const kernel = createKernel(runtime);
    await kernel.start(variant.create({store: client()}));
    kernels.push(kernel);
  }

  /**
   * Starts a claim; resolves to a summary of the reply to the requests service.
   */
  const claim = async (entry: number, requestId: string, key = 'k') => {
    const outcome = await kernels[entry].ask<'claims', Outcome>(
      'claims',
      reply => ({kind: 'claim', organisation: 'org', key, requestId, reply}),
    );
    return outcome.caseOf({
      Right: it => (it.kind === 'ours' ? 'ours' : `taken ${it.requestId}`),
      Left: err => `${err.code} ${err.step} ran ${err.ran}`,
    });
  };

  const during = async <T>(work: Promise<T>, ms: number): Promise<T> => {
    await clock.runFor(ms);
    return work;
  };
  return {...test, core, claim, during};
}

type Outcome = Either<OnyxError, ClaimOutcome>;

const REFUSED = 'store-unavailable claim ran no';

describe.each(VARIANTS)('claims $name', form => {
  it('gives a key to the first request and names that request to all others', async () => {
    const {claim, during} = await createEntries(form, 2);
    expect(await during(claim(0, 'r1'), 100)).toBe('ours');
    expect(await during(claim(0, 'r2'), 100)).toBe('taken r1');
    expect(await during(claim(1, 'r3'), 100)).toBe('taken r1');
    expect(await during(claim(1, 'r4', 'other'), 100)).toBe('ours');
  });

  // The record is stored but the response is lost. Taken as a failure, a repeat
  // would be refused; taken as success, two entries could both run it.
  it('decides by the stored nonce when the response to a claim is lost', async () => {
    const {claim, during, core} = await createEntries(form, 2);
    core.setFaults({loseEvery: 1});
    const both = Promise.all([claim(0, 'r1'), claim(1, 'r2')]);
    const outcomes = await during(both, 1_000);
    expect(outcomes.filter(outcome => outcome === 'ours')).toHaveLength(1);
    expect(outcomes.filter(it => it.startsWith('taken'))).toHaveLength(1);
  });

  // Without a claim, another entry may run the same key. The request is refused
  // as not run, and the key must work once the store is back.
  it('refuses requests as not run while the store is unavailable', async () => {
    for (const hang of [false, true]) {
      const {claim, during, core} = await createEntries(form, 2);
      core.setFaults({outage: true, hang});
      expect(await during(claim(0, 'r1'), 10_000)).toBe(REFUSED);
      core.setFaults({outage: false});
      expect(await during(claim(1, 'r2'), 100)).toBe('ours');
    }
  });

  // The claim is stored, but its response is lost and the store fails before it
  // is read back. Exactly one repeat at the same entry may take it over.
  it('gives a claim of unknown effect to exactly one repeat at the same entry', async () => {
    const {claim, during, clock, core} = await createEntries(form, 2);
    core.setFaults({loseEvery: 1});
    const first = claim(0, 'r1');
    await clock.runFor(form.effectMs);
    core.setFaults({outage: true});
    expect(await during(first, 10_000)).toBe(REFUSED);
    core.setFaults({outage: false, loseEvery: 0});
    expect(await during(claim(1, 'r2'), 100)).toBe('taken r1');
    const repeats = Promise.all([claim(0, 'r3'), claim(0, 'r4')]);
    expect(await during(repeats, 500)).toEqual(['ours', 'taken r3']);
    expect(await during(claim(1, 'r5'), 100)).toBe('taken r3');
  });

  // Random combinations of all faults. The check is independent of the service:
  // no key may be given to two requests.
  it('gives no key to two requests under random faults', async () => {
    for (let seed = 1; seed <= 20; seed++) {
      const entries = await createEntries(form, 3, seed);
      const {random, core, clock} = entries;
      const owners = new Map<string, string[]>();
      const open: Array<Promise<void>> = [];
      for (let count = 0; count < 300; count++) {
        const key = `k${Math.floor(random.next() * 60)}`;
        const entry = Math.floor(random.next() * 3);
        const note = (outcome: string) => {
          if (outcome !== 'ours') return;
          owners.set(key, [...(owners.get(key) ?? []), `r${count}`]);
        };
        open.push(entries.claim(entry, `r${count}`, key).then(note));
        core.setFaults({
          outage: random.next() < 0.2,
          hang: random.next() < 0.3,
          slowMs: random.next() < 0.3 ? random.next() * 500 : 0,
          loseProbability: 0.5,
          staleMs: random.next() < 0.3 ? random.next() * 500 : 0,
        });
        await clock.runFor(random.next() * 40);
      }
      await clock.runFor(10_000);
      await Promise.all(open);
      expect([...owners.values()].filter(ids => ids.length > 1)).toEqual([]);
      expect(owners.size).toBeGreaterThan(20);
      expect(entries.violations).toEqual([]);
    }
  });
});

describe('store calls of the claims services', () => {
  it('are one per claim when the key is new', async () => {
    const {claim, during, core} = await createEntries(VARIANTS[0], 1);
    await during(claim(0, 'r1'), 100);
    expect(core.counts()).toEqual([
      {purpose: 'claim', kind: 'create', calls: 1},
    ]);
  });

  it('are one per shard for all claims of a batch', async () => {
    const {claim, during, core} = await createEntries(VARIANTS[1], 1);
    const keys = Array.from({length: 50}, (_, index) => `k${index}`);
    const all = keys.map(key => claim(0, key, key));
    const outcomes = await during(Promise.all(all), 100);
    expect(new Set(outcomes)).toEqual(new Set(['ours']));
    expect(core.counts()).toEqual([
      {purpose: 'claim', kind: 'create', calls: 2},
    ]);
  });
});
