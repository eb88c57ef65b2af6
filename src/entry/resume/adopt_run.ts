/**
 * Takes up a run that another entry started and that its caller resumes here.
 * Attaching makes this entry the owner; its heartbeats keep the run alive.
 */
import type {Address, Incarnation} from '../../types/ids.js';
import {REQUEST_EVENTS} from '../../utils/events.js';
import {startAttempt} from '../run/attempt.js';
import type {AttemptOutcome} from '../run/attempt.js';
import type {DriveDeps} from '../run/execute_request.js';
import type {Located} from './locate_run.js';
import {failedEvent, isOver, isTakenOver} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {judgeOutcome} from '../run/attempt_decision.js';

export interface Adoption {
  readonly open: OpenRequest;
  readonly located: Located;
  /** First chunk that the caller wants. */
  readonly fromSeq: number;
  /** Incarnation of the side, as far as known; may be empty. */
  readonly incarnation: Incarnation;
}

/** Resolves when the run is over. */
export async function adoptRun(
  deps: DriveDeps,
  adoption: Adoption,
): Promise<void> {
  const {open, located} = adoption;
  const {side} = located;
  const {dispatchId} = located.res;
  open.side = side;
  open.dispatchId = dispatchId;
  deps.log(REQUEST_EVENTS.adopted, {
    requestId: open.id,
    dispatchId,
    side,
    fromSeq: adoption.fromSeq,
  });
  deps.tellMembership({kind: 'own', address: side, dispatchId});
  open.answer.placed({kind: 'placed', dispatchId, side});
  // From the first chunk where the side still has it: then the digest holds
  // over the whole answer, not only over what the caller lacks.
  let outcome = await attachTo(deps, adoption);
  if (isPastTheStart(outcome) && adoption.fromSeq > 0 && !isOver(open)) {
    open.answer.beginAt(adoption.fromSeq);
    outcome = await attachTo(deps, adoption);
  }
  deps.tellMembership({kind: 'disown', address: side, dispatchId});
  conclude(deps, open, side, outcome);
}

async function attachTo(
  deps: DriveDeps,
  adoption: Adoption,
): Promise<AttemptOutcome> {
  const {open, located} = adoption;
  const attempt = startAttempt(deps, {
    side: located.side,
    dispatchId: located.res.dispatchId,
    incarnation: adoption.incarnation,
    organisation: open.organisation,
    answer: open.answer,
    onEvidence: (what, incarnation) =>
      deps.tellMembership({
        kind: 'evidence',
        address: located.side,
        what,
        incarnation,
      }),
  });
  open.stopAttempt = attempt.stop;
  open.attemptRan = attempt.ran;
  const outcome = await attempt.outcome;
  open.stopAttempt = undefined;
  open.attemptRan = undefined;
  return outcome;
}

/** The side has let go of the chunks that the first owner acknowledged. */
function isPastTheStart(outcome: AttemptOutcome): boolean {
  return (
    outcome.kind === 'failed' && outcome.failed.code === 'answer-incomplete'
  );
}

/** An adopted run is never tried elsewhere: its prompt is not here. */
function conclude(
  deps: DriveDeps,
  open: OpenRequest,
  side: Address,
  outcome: AttemptOutcome,
): void {
  open.takenOver = isTakenOver(outcome);
  const verdict = judgeOutcome(outcome, {
    side,
    repeatable: false,
    received: open.answer.nextSeq(),
    delivered: open.answer.delivered(),
  });
  if (verdict === undefined || isOver(open)) return;
  if (verdict.kind !== 'end') {
    // That this attempt did not run says nothing of the others, which the
    // entry that made them knew of and this one does not.
    const ran = verdict.ran === 'no' ? 'unknown' : verdict.ran;
    const {details} = verdict;
    deps.finish(open, failedEvent(open, {...details, ran}));
    return;
  }
  const {end} = verdict.outcome;
  deps.finish(open, {
    kind: 'end',
    count: end.count,
    tokens: open.answer.tokens(),
    finishReason: end.finishReason,
    cachedTokens: end.cachedTokens,
  });
}
