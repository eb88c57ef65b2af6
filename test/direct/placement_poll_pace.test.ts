/** How soon requests that wait look again. */
import {describe, expect, test} from 'vitest';
import {createPlacementPollPace} from '../../src/direct/placement_poll_pace.js';

const MIDDLE_DRAW = 0.5;

describe('requests that wait', () => {
  test('look again within a pass where a look costs little', () => {
    const pace = createPlacementPollPace();
    pace.startWaiting();
    pace.recordPoll(0.1);
    expect(pace.pauseMs(MIDDLE_DRAW)).toBe(25);
  });

  // Ten long prompts wait at an entry with a quarter of a core, and a look
  // takes 8 ms there. Each looking every 25 ms, they would need three times the
  // entry, and short prompts that it could serve would wait for it.
  test('take a tenth of the entry together', () => {
    const pace = createPlacementPollPace();
    const costMs = 8;
    const leaves = Array.from({length: 10}, () => pace.startWaiting());
    for (let look = 0; look < 50; look++) pace.recordPoll(costMs);
    const looksPerMs = leaves.length / pace.pauseMs(MIDDLE_DRAW);
    expect(looksPerMs * costMs).toBeLessThanOrEqual(0.101);
    leaves.forEach(leave => leave());
    expect(pace.pauseMs(MIDDLE_DRAW)).toBe(25);
  });

  // A garbage collection falls into the only look of a short prompt. Its aim is
  // 300 ms, so it has to look again well before.
  test('look again soon after one look that was held up', () => {
    const pace = createPlacementPollPace();
    pace.startWaiting();
    pace.recordPoll(400);
    expect(pace.pauseMs(MIDDLE_DRAW)).toBeLessThan(75);
  });
});
