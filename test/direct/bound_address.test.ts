/** Attempts to bind an address, on a virtual clock. */
import {beforeEach, describe, expect, test} from 'vitest';
import {bindAddress} from '../../src/direct/listening/bound_address.js';
import type {Runtime} from '../../src/types/runtime.js';
import {createStepClock} from '../../src/process/contained_runtime.js';
import {KERNEL_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';

const PART = 'callers';
const UNBOUND_METRIC = 'onyxloft_address_unbound';

let recorded: RecordingRuntime;
/** Times of the attempts, in milliseconds. */
let attempts: number[];
/** Errors in steps. */
let errors: string[];
beforeEach(() => {
  recorded = createRecordingRuntime();
  attempts = [];
  errors = [];
});

/** Binds at the first attempt of which `fails` does not tell an error. */
function bind(
  fails: (attempt: number) => boolean,
  sinks: Partial<Runtime> = {},
) {
  const {runtime, clock} = recorded;
  const bound = bindAddress(
    {
      part: PART,
      address: '127.0.0.1:1',
      log: runtime.log,
      metrics: runtime.metrics,
      ...sinks,
      clock: createStepClock(clock, (err, callback) => {
        errors.push(`${callback}: ${String(err)}`);
      }),
    },
    async () => {
      attempts.push(clock.now());
      if (fails(attempts.length)) throw new Error('the address is taken');
    },
  );
  bound.attempted.catch((err: unknown) => void errors.push(String(err)));
  return bound;
}

describe('an address that can not be bound', () => {
  // Guards against an entry that nobody reaches since one attempt failed.
  test('is tried again until it can', async () => {
    const address = bind(attempt => attempt < 4);
    await recorded.clock.runFor(50);
    expect(address.isBound()).toBe(false);
    expect(recorded.metrics.value(UNBOUND_METRIC, {part: PART})).toBe(1);
    await recorded.clock.runFor(2_000);
    expect(address.isBound()).toBe(true);
    expect(attempts).toHaveLength(4);
    expect(recorded.metrics.value(UNBOUND_METRIC, {part: PART})).toBe(0);
    expect(recorded.eventsOf(KERNEL_EVENTS.addressTaken)).toHaveLength(1);
    expect(recorded.eventsOf(KERNEL_EVENTS.addressBound)).toHaveLength(1);
    expect(recorded.clock.pending()).toBe(0);
  });

  // Guards against attempts that take the processor, and against long pauses.
  test('is tried at pauses that double to a second', async () => {
    bind(() => true);
    await recorded.clock.runFor(10_000);
    const pauses = attempts.slice(1).map((at, i) => at - attempts[i]);
    expect(pauses.slice(0, 6)).toEqual([100, 200, 400, 800, 1_000, 1_000]);
    expect(Math.max(...pauses)).toBe(1_000);
  });

  // Guards against an entry that answers nobody since an error arose while it
  // took note of one failed attempt.
  test.each([
    {broken: 'its line', sinks: {log: onceBroken()}},
    {
      broken: 'its gauge',
      sinks: {
        metrics: {
          count: () => undefined,
          gauge: onceBroken(),
          observe: () => undefined,
          render: () => '',
        },
      },
    },
  ])('is tried again after an error in $broken', async ({sinks}) => {
    const address = bind(attempt => attempt === 1, sinks);
    await recorded.clock.runFor(2_000);
    expect(address.isBound()).toBe(true);
    expect(attempts.length).toBeGreaterThan(1);
    expect(errors).toHaveLength(1);
  });

  // Guards against an attempt beside one that is under way.
  test('is not tried while an attempt lasts', async () => {
    let finish = (): void => undefined;
    let begun = 0;
    const address = bindAddress(
      {part: PART, address: '127.0.0.1:1', ...recorded.runtime},
      () => {
        begun++;
        return new Promise<void>(resolve => (finish = resolve));
      },
    );
    await recorded.clock.runFor(3_000);
    expect(begun).toBe(1);
    finish();
    await address.attempted;
    expect(address.isBound()).toBe(true);
  });

  // Guards against an address that a stopped part binds later.
  test('is not tried again after the stop', async () => {
    const address = bind(() => true);
    await recorded.clock.runFor(500);
    address.stop();
    const before = attempts.length;
    await recorded.clock.runFor(5_000);
    expect(attempts).toHaveLength(before);
    expect(recorded.clock.pending()).toBe(0);
  });
});

/** Throws at its first call. */
function onceBroken(): () => void {
  let calls = 0;
  return () => {
    if (++calls === 1) throw new Error('broken once');
  };
}
