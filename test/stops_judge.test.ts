/** What the soak of stops holds entries to, without a network. */
import {describe, expect, test} from 'vitest';
import {judgeOutcomes} from '../fault_soak/stops_and_records/stops_judge.js';
import type {PipelinedOutcome} from '../fault_soak/stops_and_records/pipelining_caller.js';

const SENT_AT = 60_000;
const DEADLINE_MS = 4_000;

/** A stream and a request behind it, whose connection ended so long after. */
function cutAfter(ms: number, isStreamBegun: boolean) {
  const ends = {entry: 0, firstId: 'stream', status: undefined};
  const times = {writtenAt: SENT_AT, endedAt: SENT_AT + ms};
  const stream = {...ends, ...times, id: 'stream', hasBegun: isStreamBegun};
  const behind = {...ends, ...times, id: 'behind', hasBegun: false};
  return [stream, behind];
}

const brokenOf = (outcomes: readonly PipelinedOutcome[]) =>
  judgeOutcomes(outcomes, id => (id === 'stream' ? 1 : 0)).violations.length;

// Guards against a judge that blames an entry for an answer that ends at the
// request's own deadline, and against one that excuses more than that.
describe('a connection that ends without all its answers', () => {
  test('is excused where the deadline cuts an answer short', () => {
    expect(brokenOf(cutAfter(DEADLINE_MS, true))).toBe(0);
  });
  test('is not excused before the deadline', () => {
    expect(brokenOf(cutAfter(DEADLINE_MS - 1, true))).toBe(2);
  });
  test('is not excused where no answer had begun', () => {
    expect(brokenOf(cutAfter(DEADLINE_MS, false))).toBe(2);
  });
  test('is not excused behind a whole answer', () => {
    const [stream, behind] = cutAfter(DEADLINE_MS, true);
    const whole = {...stream, status: 200};
    expect(brokenOf([whole, behind])).toBe(1);
  });
});
