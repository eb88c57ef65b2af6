/** Errors of the entry itself at the records of entries and of eras. */
import {Right} from 'purify-ts/Either';
import {expect, test} from 'vitest';
import {keepEntryRecords} from '../../src/direct/peers/entry_records.js';
import type {EntryRecordsOptions} from '../../src/direct/peers/entry_records.js';
import {createSettledEra} from '../../src/direct/settled_era.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';

const LONG_MS = 30_000;
const ERA = 4;

// Guards against a read of the entries' records that ends the process.
test('an error in a read of the entries is followed by the next read', async () => {
  const {runtime, clock, random, metrics, eventsOf} = createRecordingRuntime();
  let reads = 0;
  const options = {
    clock,
    random,
    metrics,
    log: runtime.log,
    self: {node: 'a', incarnation: 'i', ip: '127.0.0.1', port: 1},
    store: {
      listEntries: () => {
        if (++reads === 1) throw new Error('no read');
        return Promise.resolve(Right([]));
      },
    },
    peers: {add: () => undefined, silentFor: () => []},
    isDraining: () => false,
    own: () => undefined,
  } as unknown as EntryRecordsOptions;
  keepEntryRecords(options);
  await clock.runFor(LONG_MS);
  expect(reads).toBeGreaterThan(1);
  const lines = eventsOf(DIRECT_EVENTS.stepFailed);
  expect(lines.map(({fields}) => fields['callback'])).toEqual([
    'refresh entries',
  ]);
});

// Guards against a record of an era that ends the process.
test('an error in the settling of an era ends that step only', async () => {
  const {runtime, clock, random} = createRecordingRuntime();
  const callbacks: string[] = [];
  let records = 0;
  const settledEra = createSettledEra({
    clock,
    random,
    log: runtime.log,
    isBootstrap: false,
    onError: (_err, callback) => void callbacks.push(callback),
    store: {
      settledEra: () => Promise.resolve(Right({era: undefined})),
      recordSettledEra: () => {
        if (++records === 1) throw new Error('no record');
        return Promise.resolve(Right(undefined));
      },
    },
    currentEra: () => ERA,
    onSettled: () => undefined,
    onUnsettled: () => undefined,
  });
  settledEra.settleAfter(0);
  await clock.runFor(LONG_MS);
  expect(callbacks).toEqual(['settling of an era']);
  expect(records).toBe(2);
  expect(settledEra.isSettled()).toBe(true);
});
