/** Following one collection of the store. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describe, expect, test} from 'vitest';
import {followCollection} from '../../src/direct/collection_follower.js';
import type {StorePosition} from '../../src/direct/store_position.js';
import type {
  Changes,
  StoreFault,
} from '../../src/direct/followed/collection.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

const SETTLE_MS = 300;

describe('following a collection', () => {
  // Seventy replicas register within seven seconds. Without a pause after each
  // watch, each registration would cost every entry a call.
  test('receives a burst of changes with few calls', async () => {
    const clock = createVirtualClock();
    const seen = new Set<string>();
    let changesMade = 0;
    let watches = 0;
    clock.every(100, () => {
      if (changesMade < 70) changesMade += 1;
    });
    const watch = async ({revision}: StorePosition) => {
      watches += 1;
      while (changesMade <= revision) {
        await new Promise<void>(resolve => void clock.after(5, resolve));
      }
      const names = Array.from(
        {length: changesMade - revision},
        (_, at) => `replica-${revision + at + 1}`,
      );
      const items = new Map(names.map(name => [name, name]));
      const position = {era: 1, revision: changesMade};
      return Right<Changes<string>>({position, items});
    };
    const follower = followCollection<string>({
      collection: {
        list: async () =>
          Right({
            position: {era: 1, revision: 0},
            items: new Map(),
            isPartial: false,
          }),
        watch,
      },
      clock,
      random: createSeededRandom(1),
      waitMs: () => 2_000,
      maxRetryMs: () => 500,
      changePauseMs: SETTLE_MS,
      onList: () => undefined,
      onChanges: items => [...items.keys()].forEach(name => seen.add(name)),
      onConfirmed: () => undefined,
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    await clock.runFor(8_000);
    follower.stop();
    expect(seen.size).toBe(70);
    expect(watches).toBeLessThan(30);
  });
});

describe('listing a collection on demand', () => {
  // Guards against an entry that keeps an old version for seconds because its
  // list met a connection that had failed silently.
  test('is repeated at once where no answer came', async () => {
    const clock = createVirtualClock();
    const position = {era: 1, revision: 7};
    let lists = 0;
    let confirmedAt: number | undefined;
    const unanswered = {
      step: 'list',
      historyGone: false,
      unreadable: false,
      unanswered: true,
      message: 'aborted',
    };
    const follower = followCollection<string>({
      collection: {
        list: async () => {
          lists += 1;
          if (lists !== 2)
            return Right({position, items: new Map(), isPartial: false});
          await new Promise<void>(resolve => void clock.after(500, resolve));
          return Left(unanswered);
        },
        watch: () => new Promise(() => undefined),
      },
      clock,
      random: createSeededRandom(1),
      waitMs: () => 29_000,
      maxRetryMs: () => 2_000,
      changePauseMs: 0,
      onList: () => undefined,
      onChanges: () => undefined,
      onConfirmed: sentAt => {
        confirmedAt = sentAt;
      },
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    await clock.runFor(1_000);
    follower.relistNow();
    await clock.runFor(600);
    follower.stop();
    expect(lists).toBe(3);
    expect(confirmedAt).toBe(1_500);
  });
});

describe('following a store without a history', () => {
  // The history is gone at each watch, even right after a list. Without pauses
  // the store received a thousand calls per second.
  test('lists it again with pauses', async () => {
    const clock = createVirtualClock();
    let calls = 0;
    const answer = <T>(value: T): Promise<T> => {
      calls += 1;
      return new Promise(resolve => void clock.after(1, () => resolve(value)));
    };
    const gone = {
      step: 'watch',
      historyGone: true,
      unreadable: false,
      message: 'status 410',
    };
    const position = {era: 1, revision: 7};
    const follower = followCollection<string>({
      collection: {
        list: () =>
          answer(Right({position, items: new Map(), isPartial: false})),
        watch: () => answer(Left(gone)),
      },
      clock,
      random: createSeededRandom(1),
      waitMs: () => 1_000,
      maxRetryMs: () => 500,
      changePauseMs: SETTLE_MS,
      onList: () => undefined,
      onChanges: () => undefined,
      onConfirmed: () => undefined,
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    await clock.runFor(2_000);
    follower.stop();
    expect(calls).toBeLessThan(80);
  });

  const GONE = Left({
    step: 'watch',
    historyGone: true,
    unreadable: false,
    message: 'status 410',
  });
  const UNREADABLE = GONE.mapLeft(fault => ({
    ...fault,
    historyGone: false,
    unreadable: true,
  }));
  const CHANGED = Right({
    position: {era: 1, revision: 8},
    items: new Map([['a', 'changed']]),
  });

  /**
   * Calls per second to a store that answers watches with these results in
   * turn.
   */
  async function callsPerSecond(
    answers: ReadonlyArray<Either<StoreFault, Changes<string>>>,
    watchedMs = 1,
  ): Promise<number> {
    const clock = createVirtualClock();
    const runS = 30;
    let calls = 0;
    let watches = 0;
    const soon = <T>(value: T, tookMs = 1): Promise<T> => {
      calls += 1;
      return new Promise(
        resolve => void clock.after(tookMs, () => resolve(value)),
      );
    };
    const follower = followCollection<string>({
      collection: {
        list: () =>
          soon(
            Right({
              position: {era: 1, revision: 7},
              items: new Map(),
              isPartial: false,
            }),
          ),
        watch: () => soon(answers[watches++ % answers.length], watchedMs),
      },
      clock,
      random: createSeededRandom(1),
      waitMs: () => 1_000,
      maxRetryMs: () => 500,
      changePauseMs: 0,
      onList: () => undefined,
      onChanges: () => undefined,
      onConfirmed: () => undefined,
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    await clock.runFor(runS * 1_000);
    follower.stop();
    return calls / runS;
  }

  // Hundreds of entries that keep the first pause would overload the store.
  test.each([
    ['that refuses all watches', [GONE]],
    ['whose watch results cannot be decoded', [UNREADABLE]],
    ['where both alternate', [GONE, UNREADABLE]],
  ])('calls less and less often a store %s', async (_what, answers) => {
    expect(await callsPerSecond(answers)).toBeLessThan(6);
  });

  const UNCHANGED = Right({
    position: {era: 1, revision: 7},
    items: new Map<string, string>(),
  });

  // Each answer was followed by the next watch at once.
  test.each([1, 20])(
    'calls a few times a second a store whose watches do not wait, but end after %i ms',
    async ms => {
      expect(await callsPerSecond([UNCHANGED], ms)).toBeLessThan(6);
    },
  );

  test('calls at once again where a single watch is cut short', async () => {
    expect(await callsPerSecond([UNCHANGED, CHANGED], 10)).toBeGreaterThan(50);
  });

  // Changes come quickly, and the history is dropped after each of them.
  test('calls rarely a store that drops its history after each change', async () => {
    expect(await callsPerSecond([GONE, CHANGED])).toBeLessThan(50);
  });
});

describe('following while the store fails', () => {
  // The store refuses each call for eight seconds, while evidence is needed
  // twice a second. Each refusal is a call to the store as well.
  async function callsIn8S(maxRetryMs: number): Promise<number> {
    const clock = createVirtualClock();
    let calls = 0;
    const refused = async () => {
      calls += 1;
      const fault = {historyGone: false, unreadable: false, message: 'away'};
      return Left({step: 'list', ...fault});
    };
    const follower = followCollection<string>({
      collection: {list: refused, watch: refused},
      clock,
      random: createSeededRandom(1),
      waitMs: () => 1_000,
      maxRetryMs: () => maxRetryMs,
      changePauseMs: SETTLE_MS,
      onList: () => undefined,
      onChanges: () => undefined,
      onConfirmed: () => undefined,
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    clock.every(500, () => follower.relistNow());
    await clock.runFor(8_000);
    follower.stop();
    return calls;
  }

  test('retries a few times a second alone, and a third as often while another entry answers', async () => {
    expect(await callsIn8S(500)).toBeLessThan(45);
    expect(await callsIn8S(2_000)).toBeLessThan(16);
  });
});

describe('a follower whose start fails half-way', () => {
  // Guards against a timer without an owner that fails each second.
  test('leaves no timer behind', () => {
    const clock = createVirtualClock();
    let timers = 0;
    const every: typeof clock.every = (periodMs, fn) => {
      timers += 1;
      const cancel = clock.every(periodMs, fn);
      return () => {
        timers -= 1;
        cancel();
      };
    };
    const collection = {
      get kind(): string {
        throw new Error('unknown');
      },
      list: () => new Promise<never>(() => undefined),
      watch: () => new Promise<never>(() => undefined),
    };
    const start = () =>
      followCollection<string>({
        collection,
        clock: {...clock, every},
        random: createSeededRandom(1),
        waitMs: () => 2_000,
        maxRetryMs: () => 500,
        changePauseMs: 0,
        onList: () => undefined,
        onChanges: () => undefined,
        onConfirmed: () => undefined,
        onRestored: () => undefined,
        onFault: () => undefined,
      });
    expect(start).toThrow('unknown');
    expect(timers).toBe(0);
  });
});
