/** Load on the object API that must not grow with the fleet. */
import {describe, expect, it} from 'vitest';
import {countCalls} from '../bench/object_calls.js';

describe('calls to the object API', () => {
  // Each entry that waits for the placer's lease reads it; with all of a large
  // fleet doing so the store would bear mostly that. After an outage all would
  // come back at once.
  it('for the lease and after an outage stay few with twelve entries', async () => {
    const counted = await countCalls(12, 3, {
      warmUpMs: 15_000,
      restMs: 30_000,
      loadMs: 1_000,
      outageMs: 30_000,
      afterMs: 20_000,
    });
    const lease = counted.atRestPerSec.lease ?? {reads: 9, writes: 9};
    expect(lease.reads).toBeLessThan(1.2);
    expect(lease.writes).toBeLessThan(0.5);
    expect(counted.mostInASecondAfterOutage).toBeLessThanOrEqual(12);
  });
});
