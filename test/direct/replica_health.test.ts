/** How long a replica gets no new work after a failed attempt. */
import {expect, test} from 'vitest';
import {createReplicaHealth} from '../../src/direct/replica_health.js';
import {createVirtualClock} from '../support/virtual_clock.js';

// Guards against the next request that pays for the same flood.
test('a replica that sent bytes without end is left alone for longer', () => {
  const clock = createVirtualClock();
  const health = createReplicaHealth(clock);
  health.failed('failing');
  health.failed('flooding');
  health.flooded('flooding');
  clock.advance(5_000);
  expect(health.isSuspect('failing')).toBe(false);
  expect(health.isSuspect('flooding')).toBe(true);
  // Another failure does not shorten it.
  health.failed('flooding');
  clock.advance(4_500);
  expect(health.isSuspect('flooding')).toBe(true);
  clock.advance(1_000);
  expect(health.isSuspect('flooding')).toBe(false);
});
