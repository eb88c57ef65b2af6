/** How soon waiting requests poll for a place again. */
import {describe, expect, test} from 'vitest';
import {createPlacementPollPace} from '../../src/direct/placement_poll_pace.js';

const MIDDLE_DRAW = 0.5;

describe('waiting requests', () => {
  test('poll again within a pass where a poll takes little time', () => {
    const pace = createPlacementPollPace();
    pace.startWaiting();
    pace.recordPoll(0.1);
    expect(pace.pauseMs(MIDDLE_DRAW)).toBe(25);
  });

  // Ten long prompts wait at an entry with a quarter of a core, and a poll
  // takes 8 ms. Polls every 25 ms would need three times the entry.
  test("together take a tenth of the entry's time", () => {
    const pace = createPlacementPollPace();
    const pollMs = 8;
    const stopWaitings = Array.from({length: 10}, () => pace.startWaiting());
    for (let look = 0; look < 50; look++) pace.recordPoll(pollMs);
    const looksPerMs = stopWaitings.length / pace.pauseMs(MIDDLE_DRAW);
    expect(looksPerMs * pollMs).toBeLessThanOrEqual(0.101);
    stopWaitings.forEach(stopWaiting => stopWaiting());
    expect(pace.pauseMs(MIDDLE_DRAW)).toBe(25);
  });

  // A garbage collection delays the only poll of a short prompt. Its latency
  // objective is 300 ms, so it has to poll again well before.
  test('poll again soon after one poll that was delayed', () => {
    const pace = createPlacementPollPace();
    pace.startWaiting();
    pace.recordPoll(400);
    expect(pace.pauseMs(MIDDLE_DRAW)).toBeLessThan(75);
  });
});
