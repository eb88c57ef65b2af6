/** Permits for replicas with a request limit, over several entries. */
import {beforeEach, describe, expect, test} from 'vitest';
import {playLimit} from '../../bench/request_limits_model.js';
import type {LimitTrouble} from '../../bench/request_limits_model.js';
import type {
  PermitAnswer,
  PermitAsk,
} from '../../src/direct/limits/limit_messages.js';
import {createReplicaLimits} from '../../src/direct/limits/replica_limits.js';
import type {ReplicaLimits} from '../../src/direct/limits/replica_limits.js';
import {createRequestPermits} from '../../src/direct/limits/request_permits.js';
import type {RequestPermits} from '../../src/direct/limits/request_permits.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';

const TROUBLES: readonly LimitTrouble[] = [
  'none',
  'home-ends',
  'home-freezes',
  'home-joins',
  'cut-off',
];
const FALLING = [10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 1];

describe.each([4, 29, 68, 370])('%i entries', entries => {
  const play = (trouble: LimitTrouble, limits: readonly number[], seed = 7) =>
    playLimit({entries, way: 'home', trouble, limits, wantedPerS: 60, seed});

  // Guards against two homes that grant at the same time.
  test.each(TROUBLES)(
    'keep the limit together, and use it: %s',
    async trouble => {
      for (const limit of [0, 1, 1.4, 10]) {
        const {worstExcess} = await play(trouble, [limit]);
        expect(worstExcess).toBeLessThanOrEqual(0);
      }
      expect((await play(trouble, [10])).used).toBeGreaterThan(0.5);
    },
  );

  test('keep a limit that falls, rises and falls again', async () => {
    for (const limits of [FALLING, [1, 1, 1, 1, 1, 8, 8, 8, 8, 0]]) {
      const {worstExcess} = await play('none', limits);
      expect(worstExcess).toBeLessThanOrEqual(0);
    }
  });
});

describe('an entry', () => {
  let clock: VirtualClock;
  let recorded: RecordingRuntime;
  let limits: ReplicaLimits;
  let permits: RequestPermits;
  let asks: Array<{readonly to: string; readonly ask: PermitAsk}>;
  let answers: PermitAnswer[];
  beforeEach(() => {
    clock = createVirtualClock();
    recorded = createRecordingRuntime();
    asks = [];
    answers = [];
    limits = createReplicaLimits({
      clock,
      log: recorded.runtime.log,
      isInUse: replicaId => replicaId !== 'unheard',
      onChange: () => undefined,
    });
    permits = createRequestPermits({
      clock,
      log: recorded.runtime.log,
      metrics: recorded.runtime.metrics,
      node: 'entry-1',
      limits,
      sendAsk: (to, ask) => asks.push({to, ask}),
      sendAnswer: (_to, answer) => answers.push(answer),
    });
  });
  const live = (...names: readonly string[]) =>
    permits.setGrantingEntries({live: names, known: names.length});
  const name = (perSecond: number, replicaId = 'a') =>
    limits.answered(replicaId, clock.now(), {kind: 'limited', perSecond});
  const take = (urgency = 1, replicaId = 'a') =>
    permits.take({replicaId, count: 1, urgency});
  const askOf = (replicaId: string, perSecond: number): PermitAsk => ({
    id: 1,
    limit: {replicaId, perSecond, ageMs: 0},
    count: 1,
    urgency: 1,
  });

  test('needs no permit for a replica without a limit', async () => {
    expect(await take()).toBe(true);
    expect([permits.waitMs('a', 1), asks]).toEqual([0, []]);
  });

  test('that is alone is the home of every replica', async () => {
    name(1);
    expect(await take()).toBe(false);
    expect(permits.waitMs('a', 1)).toBeGreaterThan(0);
    clock.advance(permits.waitMs('a', 1));
    expect(await take()).toBe(true);
  });

  // Guards against requests that go out freely when nobody grants permits.
  test('sends nothing while the home is silent', async () => {
    live('entry-2');
    name(5);
    const taken = take();
    await clock.runFor(200);
    expect(await taken).toBe(false);
    expect(asks.map(({to}) => to)).toEqual(['entry-2']);
    expect(permits.waitMs('a', 1)).toBeGreaterThan(0);
    expect(recorded.eventsOf(DIRECT_EVENTS.limitHomeSilent)).toHaveLength(1);
  });

  // An answer after the time has no effect: the request went elsewhere.
  test('ignores a late answer', async () => {
    live('entry-2');
    name(5);
    const taken = take();
    await clock.runFor(200);
    const [{ask}] = asks;
    permits.handleAnswer({askId: ask.id, isGranted: true, retryAfterMs: 0});
    expect(await taken).toBe(false);
  });

  test('asks again for a more urgent request only', async () => {
    name(1);
    await take(3);
    expect(permits.waitMs('a', 3)).toBeGreaterThan(0);
    expect(permits.waitMs('a', 2)).toBe(0);
  });

  // Guards against requests that are held back by a limit that is gone.
  test('asks again at once when the limit has risen', async () => {
    clock.advance(5_000);
    name(0.25);
    expect(await take()).toBe(false);
    expect(permits.waitMs('a', 1)).toBeGreaterThan(1_000);
    name(100);
    clock.advance(50);
    expect(permits.waitMs('a', 1)).toBe(0);
    expect(await take()).toBe(true);
  });

  // Guards against a limit that is tried each time another one is named.
  test('is held back as before when the limit has fallen', async () => {
    name(1);
    await take();
    const waitMs = permits.waitMs('a', 1);
    name(0.5);
    expect(permits.waitMs('a', 1)).toBe(waitMs);
  });

  // Guards against a request that waits for an entry that is no home any more.
  test('asks the new home after an ask that the earlier one left open', async () => {
    live('entry-2');
    name(5);
    const taken = take();
    await clock.settle();
    live('entry-3');
    await clock.runFor(200);
    expect(await taken).toBe(false);
    await clock.runFor(permits.waitMs('a', 1));
    void take();
    await clock.settle();
    expect(asks.map(({to}) => to)).toEqual(['entry-2', 'entry-3']);
  });

  // Guards against permits of two entries that both think they are the home.
  test('grants nothing for a replica whose home is another', () => {
    live('entry-1', 'entry-2');
    const foreign = ['a', 'b', 'c', 'd', 'e', 'f'].find(
      replicaId => permits.homeOf(replicaId) === 'entry-2',
    );
    permits.handleAsk('entry-2', askOf(String(foreign), 100));
    clock.advance(5_000);
    permits.handleAsk('entry-2', askOf(String(foreign), 100));
    expect(answers.map(({isGranted}) => isGranted)).toEqual([false, false]);
  });

  // Guards against a free hand for all who ask a home that has just started.
  test('grants by the limit of the ask for a replica it has not heard of', () => {
    permits.handleAsk('entry-2', askOf('unheard', 1));
    expect(answers[0]).toMatchObject({isGranted: false});
  });

  test('learns from an answer that the limit has ended', async () => {
    live('entry-2');
    name(5);
    clock.advance(1_000);
    const taken = take();
    await clock.settle();
    const limit = {replicaId: 'a', perSecond: undefined, ageMs: 20};
    permits.handleAnswer({
      askId: asks[0].ask.id,
      isGranted: true,
      retryAfterMs: 0,
      limit,
    });
    expect(await taken).toBe(true);
    expect(limits.limitOf('a')).toBeUndefined();
  });

  test('as a home that is cut off from half grants half', async () => {
    permits.setGrantingEntries({live: ['entry-1'], known: 2});
    name(10);
    await take();
    let granted = 0;
    for (let at = 0; at < 10_000; at += 10) {
      clock.advance(10);
      if (permits.waitMs('a', 1) === 0 && (await take())) granted++;
    }
    expect(granted).toBeGreaterThan(35);
    expect(granted).toBeLessThanOrEqual(52);
  });
});
