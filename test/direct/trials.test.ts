/** When the trials of a refused part are due. */
import {expect, test} from 'vitest';
import {createTrials} from '../../src/direct/crashes/trials.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';

// Guards against a trial that is lost as it became unused during the claim of
// the next one.
test('a trial that becomes unused during a claim is taken again', async () => {
  const clock = createVirtualClock();
  const trials = createTrials(clock, 'part');
  await clock.runFor(1_000);
  expect(trials.claim(0)).toBe(0);
  trials.settled(true);
  await clock.runFor(3_000);
  expect(trials.claim(0)).toBe(1);
  trials.unused();
  trials.settled(true);
  expect(trials.takeUnused(0)).toBe(true);
});

// Guards against a trial that reaches two replicas, since it was handed out again
// while the store was asked for it.
test('a trial is not claimed again while its claim is under way', async () => {
  const clock = createVirtualClock();
  const trials = createTrials(clock, 'part');
  await clock.runFor(1_000);
  expect(trials.claim(0)).toBe(0);
  trials.settled(true);
  await clock.runFor(3_000);
  expect(trials.claim(0)).toBe(1);
  trials.unused();
  expect(trials.takeUnused(0)).toBe(true);
  expect(trials.claim(0)).toBeUndefined();
});

// Guards against a sound part that stays refused because both of its trials, of
// which the first was taken late, run at the same moment at the same replica.
test('the last trial is not due at once after a late first one', async () => {
  const clock = createVirtualClock();
  const trials = createTrials(clock, 'part');
  await clock.runFor(8_000);
  expect(trials.claim(0)).toBe(0);
  trials.settled(true);
  await clock.runFor(60);
  expect(trials.claim(0)).toBe(undefined);
});
