/** The choice of the waiting run that a side starts next. */
import {expect, describe, test} from 'vitest';
import {classQueue, fcfsQueue} from '../src/policy/side_queue.js';
import type {QueueItem, QueueView} from '../src/side/queue_policy.js';
import type {LengthClass} from '../src/types/config.js';
import {createFairShares} from '../src/side/fair_shares.js';
import {
  DEFAULT_RATE_PRIORS,
  createLearnedRates,
} from '../src/side/learned_rates.js';
import {SIDE_EVENTS} from '../src/utils/events.js';
import {createSideRig} from './support/side_rig.js';

const lengthClass = (
  name: string,
  maxTokens: number,
  memoryFloor: number,
  maxRunning: number,
): LengthClass => ({
  name,
  maxTokens,
  memoryFloor,
  maxRunning,
  defaultTimeLimitMs: 60_000,
});

const CLASSES = [
  lengthClass('short', 8_000, 0.2, 0),
  lengthClass('long', 1_000_000, 0, 2),
];

function item(
  dispatchId: string,
  overrides: Partial<QueueItem> = {},
): QueueItem {
  return {
    dispatchId,
    organisation: 'org-a',
    weight: 1,
    priority: 1,
    classIndex: 0,
    memoryTokens: 1_000,
    prefillTokens: 1_000,
    enqueuedAt: 0,
    deadlineAt: 60_000,
    serviceMs: 1_000,
    ...overrides,
  };
}

const longItem = (id: string, overrides: Partial<QueueItem> = {}) =>
  item(id, {classIndex: 1, memoryTokens: 50_000, ...overrides});

function view(overrides: Partial<QueueView> = {}): QueueView {
  return {
    now: 0,
    waiting: [],
    running: [],
    capacityTokens: 100_000,
    freeTokens: 100_000,
    maxRunning: 8,
    classes: CLASSES,
    ageingMs: 10_000,
    served: new Map(),
    ...overrides,
  };
}

const chosen = (overrides: Partial<QueueView>) =>
  classQueue.choose(view(overrides))?.dispatchId;

describe('the class queue', () => {
  test('starts short before long runs, with a better engine priority', () => {
    const waiting = [longItem('l'), item('s')];
    expect(chosen({waiting})).toBe('s');
    const first = classQueue.choose(view({waiting: [longItem('l')]}));
    const second = classQueue.choose(view({waiting: [item('s')]}));
    expect(first?.enginePriority).toBeGreaterThan(second?.enginePriority ?? 0);
  });

  test('keeps the memory floor of short prompts free of long ones', () => {
    // If long prompts filled the memory, a short one would wait until one of them
    // ends, which takes minutes.
    const running = [longItem('l1')];
    const big = longItem('l2', {memoryTokens: 40_000});
    expect(
      chosen({running, freeTokens: 50_000, waiting: [big]}),
    ).toBeUndefined();
    const fitting = longItem('l2', {memoryTokens: 30_000});
    expect(chosen({running, freeTokens: 50_000, waiting: [fitting]})).toBe(
      'l2',
    );
    expect(chosen({running, freeTokens: 20_000, waiting: [item('s')]})).toBe(
      's',
    );
  });

  test('starts a prompt larger than the unreserved memory on an idle side', () => {
    const huge = longItem('l', {memoryTokens: 95_000});
    expect(chosen({waiting: [huge]})).toBe('l');
  });

  test('limits the number of long runs at a time', () => {
    const running = [
      longItem('l1', {memoryTokens: 1}),
      longItem('l2', {memoryTokens: 1}),
    ];
    const waiting = [longItem('l3', {memoryTokens: 1})];
    expect(chosen({running, waiting})).toBeUndefined();
  });

  test('starts the run with the least slack within a class', () => {
    const waiting = [item('a'), item('b', {deadlineAt: 5_000})];
    expect(chosen({waiting})).toBe('b');
  });

  test('raises waiting runs with age, so that long ones are not starved', () => {
    const waiting = [longItem('l'), item('s', {enqueuedAt: 25_000})];
    expect(chosen({now: 25_000, waiting})).toBe('l');
  });

  test('reserves memory for a long run that has waited long enough', () => {
    // Each short run that ends is replaced by the next one. The memory that a
    // long run needs would never be free at one time.
    const running = Array.from({length: 60}, (_, i) => item(`s${i}`));
    const waiting = [
      longItem('l', {memoryTokens: 70_000}),
      item('s', {enqueuedAt: 1_000}),
    ];
    const early = {
      now: 1_000,
      running,
      waiting,
      freeTokens: 40_000,
      maxRunning: 100,
    };
    expect(chosen(early)).toBe('s');
    expect(chosen({...early, now: 40_000})).toBeUndefined();
  });

  test('shares service between organisations by weight', () => {
    const shares = createFairShares();
    const started = {heavy: 0, light: 0};
    for (let i = 0; i < 90; i++) {
      const waiting = [
        item('heavy', {organisation: 'heavy', weight: 2}),
        item('light', {organisation: 'light'}),
      ];
      const id = chosen({waiting, served: shares.served()}) as
        'heavy' | 'light';
      started[id] += 1;
      shares.charge(id, 1_000, id === 'heavy' ? 2 : 1);
    }
    expect(started).toEqual({heavy: 60, light: 30});
    shares.join('new', ['heavy', 'light']);
    expect(shares.served().get('new')).toBe(30_000);
  });
});

test('the first-come queue waits for memory of the first run', () => {
  const waiting = [
    longItem('l', {memoryTokens: 70_000}),
    item('s', {enqueuedAt: 1}),
  ];
  expect(fcfsQueue.choose(view({waiting, freeTokens: 40_000}))).toBeUndefined();
  expect(fcfsQueue.choose(view({waiting}))?.dispatchId).toBe('l');
});

describe('learned rates', () => {
  test('approach the measured rates and exclude idle time', () => {
    const rates = createLearnedRates(DEFAULT_RATE_PRIORS);
    for (let at = 0; at < 100_000; at += 1_000) {
      rates.setPrefillBusy(true, at);
      rates.recordPrefill(2_000, at + 100);
      rates.setPrefillBusy(false, at + 100);
      rates.recordDecode(4, 200);
    }
    expect(rates.prefillTokensPerSec()).toBeCloseTo(20_000, -2);
    expect(rates.stepMs()).toBeCloseTo(50, 0);
  });

  test('are learned from the events of a simulated engine', async () => {
    const rig = await createSideRig({
      priors: {prefillTokensPerSec: 2_000, stepMs: 5},
    });
    for (let i = 0; i < 12; i++) {
      const offerFields = {
        promptTokens: 40_000,
        maxTokens: 50,
        timeLeftMs: 600_000,
      };
      await rig.offer(`r${i}.0`, offerFields);
      rig.goWithPrompt(`r${i}.0`, 600_000);
      await rig.clock.runFor(8_000);
    }
    const {load} = await rig.status();
    expect(load.prefillTokensPerSec).toBeGreaterThan(10_000);
    expect(load.prefillTokensPerSec).toBeLessThan(16_500);
    expect(load.stepMs).toBeGreaterThan(18);
    expect(load.stepMs).toBeLessThan(25);
  });
});

test('the start of a run is logged with the policy and the reason', async () => {
  const rig = await createSideRig();
  await rig.offer('r1.0');
  rig.goWithPrompt('r1.0');
  await rig.clock.runFor(100);
  expect(rig.eventsOf(SIDE_EVENTS.runStarted).map(e => e.fields)).toEqual([
    {
      dispatchId: 'r1.0',
      policy: 'class',
      reason: 'most-urgent',
      organisation: 'org-a',
      promptTokens: 1_000,
      waitedMs: 1,
      timeLeftMs: 60_000,
      memoryTokens: 1_020,
      freeTokens: 420_000,
      running: 0,
      waiting: ['r1.0'],
    },
  ]);
});
