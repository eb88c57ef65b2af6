/**
 * The record of the newest era in which operators had time to repeat lost
 * writes.
 */
import {Left, Right} from 'purify-ts/Either';
import {describe, expect, test} from 'vitest';
import {createSettledEra} from '../../src/direct/settled_era.js';
import type {StoreEra} from '../../src/direct/store_position.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';

const FAULT = {
  step: 'read settled era',
  historyGone: false,
  unreadable: false,
  message: 'status 503',
};
const ALL_DONE_MS = 10_000;

function createFixture(options: {
  readonly recorded?: number;
  readonly isBootstrap?: boolean;
  readonly failures?: number;
  /** Calls that throw, unlike one that is refused. */
  readonly errors?: number;
}) {
  const {runtime, clock, random} = createRecordingRuntime();
  let failures = options.failures ?? 0;
  let errors = options.errors ?? 0;
  const reported: string[] = [];
  let recorded: StoreEra = options.recorded;
  let current = 4;
  const seen: string[] = [];
  const settledEra = createSettledEra({
    clock,
    random,
    onError: err => reported.push(String(err)),
    log: runtime.log,
    isBootstrap: options.isBootstrap ?? false,
    store: {
      settledEra: async () => {
        if (errors-- > 0) throw new Error('not sent');
        return failures-- > 0 ? Left(FAULT) : Right({era: recorded});
      },
      recordSettledEra: async era => {
        recorded = era;
        return Right(undefined);
      },
    },
    currentEra: () => current,
    onSettled: () => seen.push('settled'),
    onUnsettled: () => seen.push('unsettled'),
  });
  return {
    clock,
    settledEra,
    seen,
    reported,
    recorded: () => recorded,
    raiseEra: () => current++,
  };
}

describe('the era of the store at the start of an entry', () => {
  test.each([
    ['settled', 'with a record of its era', {recorded: 4}],
    ['unsettled', 'with a record of an older era', {recorded: 3}],
    ['unsettled', 'without a record', {}],
    ['settled', 'at the first start of the system', {isBootstrap: true}],
    [
      'unsettled',
      'at the first start with an older record',
      {recorded: 3, isBootstrap: true},
    ],
    ['settled', 'after failed calls', {recorded: 4, failures: 3}],
  ])('is %s %s', async (verdict, _where, options) => {
    const {clock, settledEra, seen} = createFixture(options);
    settledEra.lookUp();
    expect(settledEra.isSettled()).toBe(false);
    await clock.runFor(ALL_DONE_MS);
    expect(seen).toEqual([verdict]);
    expect(settledEra.isSettled()).toBe(verdict === 'settled');
  });
});

describe('the record of a settled era', () => {
  test('is written after operators had time to repeat lost writes', async () => {
    const {clock, settledEra, recorded} = createFixture({recorded: 3});
    settledEra.settleAfter(2_000);
    await clock.runFor(1_900);
    expect(recorded()).toBe(3);
    await clock.runFor(ALL_DONE_MS);
    expect(recorded()).toBe(4);
    expect(settledEra.isSettled()).toBe(true);
  });

  // The store was restored once more, and the writes that this lost have not
  // been repeated yet.
  test('is not written for an era that has ended', async () => {
    const {
      clock,
      settledEra,
      recorded,
      raiseEra: rise,
    } = createFixture({recorded: 3});
    settledEra.settleAfter(2_000);
    await clock.runFor(1_000);
    rise();
    await clock.runFor(ALL_DONE_MS);
    expect(recorded()).toBe(3);
    expect(settledEra.isSettled()).toBe(false);
  });

  // Guards against keys that entries refuse at each start until the next restore
  // since one error kept the era from being recorded.
  test('is written after an error', async () => {
    const options = {recorded: 3, errors: 2};
    const {clock, settledEra, recorded, reported} = createFixture(options);
    settledEra.settleAfter(2_000);
    await clock.runFor(ALL_DONE_MS);
    expect(recorded()).toBe(4);
    expect(reported).toHaveLength(2);
  });

  test('is never replaced by an older era', async () => {
    const {clock, settledEra, recorded} = createFixture({recorded: 5});
    settledEra.settleAfter(2_000);
    await clock.runFor(ALL_DONE_MS);
    expect(recorded()).toBe(5);
  });
});
