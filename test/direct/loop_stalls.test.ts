/** The measurement of stalls of the event loop. */
import {expect, test} from 'vitest';
import {watchLoopStalls} from '../../src/direct/loop_stalls.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createMetrics} from '../../src/utils/metrics.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {until} from '../support/direct_fleet.js';

test('a stall of the event loop is logged with its length', async () => {
  const recorded = createRecordingRuntime();
  const {log} = recorded.runtime;
  const metrics = createMetrics();
  const cancel = watchLoopStalls(createProcessClock(), log, metrics);
  const block = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(block, 0, 0, 600);
  const stalls = () => recorded.eventsOf(DIRECT_EVENTS.loopStalled);
  await until(() => stalls().length > 0);
  cancel();
  expect(stalls()[0].fields['stalledMs']).toBeGreaterThan(450);
  expect(metrics.render()).toContain('onyxloft_loop_stall_ms');
});
