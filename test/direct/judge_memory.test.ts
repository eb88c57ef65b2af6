/** When the memory of a group is released, decided without a network. */
import {describe, expect, test} from 'vitest';
import {
  judgeMemory,
  memoryDeadline,
} from '../../src/direct/decide/judge_memory.js';
import type {MemoryEvidence} from '../../src/direct/decide/judge_memory.js';

const BOUNDS = {holdMs: 3_500, unusedMs: 2_000};
const BEGAN_AT = 10_000;

function judgeAfter(ms: number, known: Partial<MemoryEvidence> = {}) {
  const evidence: MemoryEvidence = {
    now: BEGAN_AT + ms,
    lead: 'alive',
    use: 'used',
    lastUseAt: BEGAN_AT,
    leadBackAt: BEGAN_AT,
    leasesEndAt: BEGAN_AT + BOUNDS.holdMs,
    ...known,
  };
  return judgeMemory(evidence, BOUNDS);
}

describe('the memory of a group', () => {
  // An unanswered status request was taken for the lead's end.
  test('is kept while the lead is silent, until the leases end', () => {
    expect(judgeAfter(3_499, {lead: 'silent'})).toBe('unsure');
    expect(judgeAfter(3_500, {lead: 'silent'})).toBe('the lead is silent');
  });

  // Members that answer nothing were taken to report no use.
  test('is kept while members are silent, until a lease after its last use', () => {
    const leasesEndAt = BEGAN_AT + 6_000;
    const known = {use: undefined, leasesEndAt};
    expect(judgeAfter(3_499, known)).toBe('unsure');
    expect(judgeAfter(3_500, known)).toBe('the memory is unused');
  });

  test('is released when a member reports for too long that it is unused', () => {
    expect(judgeAfter(2_000, {use: 'unused'})).toBe('keep');
    expect(judgeAfter(2_001, {use: 'unused'})).toBe('the memory is unused');
  });

  // A lead that was silent had no time to start the request.
  test('is kept while the lead has just gone on', () => {
    const known = {use: 'unused', leadBackAt: BEGAN_AT + 1_500} as const;
    expect(judgeAfter(2_500, known)).toBe('unsure');
    expect(judgeAfter(3_500, known)).not.toBe('unsure');
  });

  test('is released at once when the lead has restarted', () => {
    const verdict = judgeAfter(10, {lead: 'restarted'});
    expect(verdict).toBe('the lead has restarted');
  });

  test('is released at the earlier of its two bounds', () => {
    const deadline = (lastUseAt: number, leasesEndAt: number) =>
      memoryDeadline({lastUseAt, leasesEndAt}, BOUNDS);
    expect(deadline(1_000, 5_000)).toBe(4_500);
    expect(deadline(2_000, 5_000)).toBe(5_000);
  });
});
