/** Errors in the stop of a process, on a virtual clock. */
import {beforeEach, describe, expect, test} from 'vitest';
import {createServiceStop} from '../src/process/service_stop.js';
import type {ServiceStop} from '../src/process/service_stop.js';
import {KERNEL_EVENTS} from '../src/utils/events.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';
import type {RecordingRuntime} from '../standins/recording_runtime.js';

const GRACE_MS = 8_000;
const {drainRepeated, drainStarted} = KERNEL_EVENTS;

interface End {
  readonly endClass: string;
  readonly atMs: number;
}

let recorded: RecordingRuntime;
let end: End | undefined;
let drains: number;
beforeEach(() => {
  recorded = createRecordingRuntime();
  end = undefined;
  drains = 0;
});

function createStop(): ServiceStop {
  const {clock, log} = recorded.runtime;
  return createServiceStop({
    clock,
    log,
    limitMs: GRACE_MS,
    // Only the first call counts, as at the end of a process.
    end: endClass => {
      if (end === undefined) end = {endClass, atMs: clock.now()};
    },
  });
}

/** Services whose drain fails while `fails` tells so of the attempt. */
const services = (fails: (attempt: number) => boolean) => ({
  drain: async () => {
    if (fails(++drains)) throw new Error('no drain');
  },
  openRequests: async () => 0,
});

describe('an error in the drain', () => {
  // Guards against a process that ends at once, with the requests that it has.
  test('is followed by another drain, and by an end without a failure', async () => {
    const stop = createStop();
    stop.started(services(attempt => attempt <= 3));
    stop.request('SIGTERM');
    await recorded.clock.runFor(2 * GRACE_MS);
    expect(drains).toBe(4);
    expect(end?.endClass).toBe('stopped');
    expect(end?.atMs).toBeLessThan(1_000);
    const lines = recorded.eventsOf(drainRepeated);
    expect(lines).toHaveLength(3);
    expect(drainRepeated).toMatchObject({number: 124, level: 'error'});
    expect(String(lines[0].fields['cause'])).toContain('no drain');
  });

  // Guards against a process that never ends, or that the host has to kill.
  test('that lasts ends the process by its limit', async () => {
    const stop = createStop();
    stop.started(services(() => true));
    stop.request('SIGTERM');
    await recorded.clock.runFor(GRACE_MS);
    expect(end?.endClass).toBe('drain-limit');
    expect(end?.atMs).toBeGreaterThan(GRACE_MS / 2);
    expect(end?.atMs).toBeLessThan(GRACE_MS);
    expect(recorded.eventsOf(drainRepeated).length).toBeGreaterThan(10);
  });

  // Guards against a count of open requests that fails and ends the drain.
  test('is also one in the count of what is open', async () => {
    const stop = createStop();
    let counts = 0;
    stop.started({
      ...services(() => false),
      openRequests: async () => {
        if (++counts === 1) throw new Error('no count');
        return 0;
      },
    });
    stop.request('SIGTERM');
    await recorded.clock.runFor(GRACE_MS);
    expect(end?.endClass).toBe('stopped');
    expect(recorded.eventsOf(drainRepeated)).toHaveLength(1);
  });

  // Guards against a signal before the services run that a failed drain forgets.
  test('is repeated also where the signal came before the services', async () => {
    const stop = createStop();
    stop.request('SIGTERM');
    await recorded.clock.runFor(500);
    expect(drains).toBe(0);
    stop.started(services(attempt => attempt === 1));
    await recorded.clock.runFor(GRACE_MS);
    expect(drains).toBe(2);
    expect(end?.endClass).toBe('stopped');
  });
});

// Guards against a second signal that cuts the answers of the first one's drain.
test('a further signal begins no further drain', async () => {
  const stop = createStop();
  stop.started(services(() => false));
  stop.request('SIGTERM');
  stop.request('SIGINT');
  await recorded.clock.runFor(2 * GRACE_MS);
  expect(drains).toBe(1);
  expect(recorded.eventsOf(drainStarted)).toHaveLength(1);
  expect(end?.endClass).toBe('stopped');
});
