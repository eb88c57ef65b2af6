/** Judges how requests on kept connections ended beside stops of entries. */
import {DEADLINE_MS} from './pipelining_caller.js';
import type {PipelinedOutcome} from './pipelining_caller.js';

/** A request that is written so shortly before the end crosses the close. */
const CROSSING_MS = 200;

export interface OutcomeReport {
  readonly violations: readonly string[];
  /** Requests whose time was over in or behind an answer that had begun. */
  readonly outOfTime: number;
}

/** A request that has been read whole gets an answer, also at a stop. */
export function judgeOutcomes(
  outcomes: readonly PipelinedOutcome[],
  runs: (id: string) => number,
): OutcomeReport {
  // An answer that has begun can only be cut short when its time is over. Its
  // connection closes with it, and the time of those behind it is over, too.
  const cutShort = new Set(
    outcomes
      .filter(({id, firstId}) => id === firstId)
      .filter(it => it.hasBegun && isOutOfTime(it))
      .map(({id}) => id),
  );
  const isExcused = (it: PipelinedOutcome) =>
    isOutOfTime(it) && cutShort.has(it.firstId);
  const violations = outcomes.flatMap(outcome => {
    const {id, status, writtenAt, endedAt} = outcome;
    if (status === 503 && runs(id) > 0) return [`${id} got 503 and ran`];
    if (status !== undefined || isExcused(outcome)) return [];
    const tookMs = Math.round(endedAt - writtenAt);
    const ran = runs(id);
    return ran > 0 || tookMs > CROSSING_MS
      ? [
          `${id} got no answer, ${tookMs} ms after it was sent, ran ${ran} times`,
        ]
      : [];
  });
  return {violations, outOfTime: outcomes.filter(isExcused).length};
}

/** It has no whole answer, and its deadline is over. */
function isOutOfTime({status, writtenAt, endedAt}: PipelinedOutcome): boolean {
  return status === undefined && endedAt - writtenAt >= DEADLINE_MS;
}
