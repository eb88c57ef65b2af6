/** Following a collection of a store that is restored from an older copy. */
import * as fc from 'fast-check';
import {Right} from 'purify-ts';
import {describe, expect, test} from 'vitest';
import {followCollection} from '../../src/direct/collection_follower.js';
import type {StorePosition} from '../../src/direct/store_position.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import {createRestorableCollection} from '../support/restorable_collection.js';

const WAIT_MS = 1_000;
const MAX_RETRY_MS = 500;
/** Time in milliseconds for a watch, a retry and the list after it. */
const SETTLED_MS = 2 * WAIT_MS + 2 * MAX_RETRY_MS;

function start(hasEra = true) {
  const clock = createVirtualClock();
  const store = createRestorableCollection(clock, hasEra);
  const known = new Map<string, string>();
  let restored = 0;
  const follower = followCollection<string>({
    collection: store,
    clock,
    random: createSeededRandom(1),
    waitMs: () => WAIT_MS,
    maxRetryMs: () => MAX_RETRY_MS,
    changePauseMs: 0,
    onList: items => {
      known.clear();
      for (const [name, value] of items) known.set(name, value);
    },
    onChanges: items => {
      for (const [name, value] of items) {
        if (value === undefined) known.delete(name);
        else known.set(name, value);
      }
    },
    onConfirmed: () => undefined,
    onRestored: () => {
      restored += 1;
    },
    onFault: () => undefined,
  });
  return {clock, store, known, follower, restored: () => restored};
}

describe('following a store that is restored from a copy', () => {
  // Revisions were assigned again before the next watch from the old position.
  test('lists again where revisions were assigned again', async () => {
    const {clock, store, known, follower} = start();
    store.put('a', 'old');
    store.copy();
    store.put('b', 'old');
    store.put('b', 'newer');
    await clock.runFor(100);
    store.setAway(true);
    await clock.runFor(WAIT_MS);
    store.restore();
    store.remove('a');
    store.put('c', 'new');
    store.put('d', 'new');
    store.setAway(false);
    await clock.runFor(SETTLED_MS);
    expect(known).toEqual(store.now());
    follower.stop();
  });

  // An older list arrives after a list of the new history.
  test('ignores an older answer that arrives later', async () => {
    const {clock, store, known, follower} = start();
    store.copy();
    store.put('gone', 'old');
    await clock.runFor(100);
    store.setDelay(700);
    follower.relistNow();
    await clock.runFor(10);
    store.setDelay(2);
    store.restore();
    await clock.runFor(600);
    expect(known).toEqual(new Map());
    await clock.runFor(100);
    expect(known).toEqual(new Map());
    follower.stop();
  });

  // A store without the era header breaks the waiting watch. It answers the
  // next one that its position does not exist.
  test('lists again also where the era is not reported', async () => {
    const {clock, store, known, follower} = start(false);
    store.copy();
    store.put('gone', 'old');
    await clock.runFor(100);
    store.restore();
    await clock.runFor(SETTLED_MS);
    expect(known).toEqual(store.now());
    follower.stop();
  });

  // A list that was sent after the newest answer arrived shows an older
  // revision, so the history went back.
  test('treats a lower revision as a restore where the era is not reported', async () => {
    const {clock, store, known, follower, restored} = start(false);
    store.copy();
    store.put('gone', 'old');
    await clock.runFor(100);
    store.setAway(true);
    await clock.runFor(50);
    store.restore();
    store.setAway(false);
    follower.relistNow();
    await clock.runFor(20);
    expect(known).toEqual(new Map());
    expect(restored()).toBe(1);
    follower.stop();
  });

  // The watch's changes begin after a revision that the list has not reached.
  test('ignores the changes of a watch that began in the previous history', async () => {
    const clock = createVirtualClock();
    const known = new Set<string>();
    const resolveWatches: Array<(revision: number, name: string) => void> = [];
    const from: StorePosition[] = [];
    let listed: StorePosition = {era: 1, revision: 900};
    const take = (items: ReadonlyMap<string, unknown>) =>
      [...items.keys()].forEach(name => known.add(name));
    const follower = followCollection<string>({
      collection: {
        list: async () =>
          Right({position: listed, items: new Map(), isPartial: false}),
        watch: position => {
          from.push(position);
          return new Promise(resolve =>
            resolveWatches.push((revision, name) =>
              resolve(
                Right({
                  position: {era: 2, revision},
                  items: new Map([[name, name]]),
                }),
              ),
            ),
          );
        },
      },
      clock,
      random: createSeededRandom(1),
      waitMs: () => WAIT_MS,
      maxRetryMs: () => MAX_RETRY_MS,
      changePauseMs: 0,
      onList: take,
      onChanges: take,
      onConfirmed: () => undefined,
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    await clock.runFor(10);
    listed = {era: 2, revision: 895};
    follower.relistNow();
    await clock.runFor(10);
    resolveWatches[0](905, 'after-900');
    await clock.runFor(10);
    expect(from[1]).toEqual(listed);
    expect(known).toEqual(new Set());
    follower.stop();
  });

  // Each answer has an older era, as with two stores at one address. Nothing is
  // taken, and the store is not called in a loop.
  test('calls rarely while only older eras are reported', async () => {
    const {clock, store, known, follower} = start();
    store.put('a', '1');
    await clock.runFor(100);
    store.startOlderEra();
    store.put('b', '1');
    const before = store.calls();
    await clock.runFor(8_000);
    expect(store.calls() - before).toBeLessThan(45);
    expect(known).toEqual(new Map([['a', '1']]));
    follower.stop();
  });

  const step = fc.oneof(
    fc.record({
      kind: fc.constant('put' as const),
      name: fc.constantFrom('a', 'b', 'c'),
      value: fc.constantFrom('1', '2', '3'),
    }),
    fc.record({
      kind: fc.constant('remove' as const),
      name: fc.constantFrom('a', 'b', 'c'),
    }),
    fc.record({kind: fc.constantFrom('copy' as const, 'restore' as const)}),
    fc.record({
      kind: fc.constant('delay' as const),
      ms: fc.constantFrom(1, 20, 300),
    }),
    fc.record({kind: fc.constant('away' as const), is: fc.boolean()}),
    fc.record({kind: fc.constant('confirm' as const)}),
    fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(1, 10, 100, 700),
    }),
  );

  test('knows the final state of the store after any sequence of events', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
        const {clock, store, known, follower} = start();
        for (const it of steps) {
          if (it.kind === 'put') store.put(it.name, it.value);
          if (it.kind === 'remove') store.remove(it.name);
          if (it.kind === 'copy') store.copy();
          if (it.kind === 'restore') store.restore();
          if (it.kind === 'delay') store.setDelay(it.ms);
          if (it.kind === 'away') store.setAway(it.is);
          if (it.kind === 'confirm') follower.relistNow();
          if (it.kind === 'wait') await clock.runFor(it.ms);
        }
        store.setAway(false);
        store.setDelay(1);
        await clock.runFor(2 * SETTLED_MS);
        follower.stop();
        expect(known).toEqual(store.now());
      }),
      {seed: 7, numRuns: 4_000},
    );
  });
});
