/**
 * Takes up a run that another entry started and that its caller resumes here.
 * Attaching makes this entry the owner; its heartbeats keep the run alive.
 */
import type {Address, Incarnation} from '../../types/ids.js';
import {REQUEST_EVENTS} from '../../utils/events.js';
import {startAttempt} from '../run/attempt.js';
import type {AttemptOutcome} from '../run/attempt.js';
import type {ExecuteDeps} from '../run/execute_request.js';
import type {LocatedRun} from './locate_run.js';
import {failedEvent, isFinished, isTakenOver} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {decideAfterAttempt} from '../run/attempt_decision.js';

export interface AdoptRunOptions {
  readonly open: OpenRequest;
  readonly located: LocatedRun;
  /** First chunk that the caller wants. */
  readonly fromSeq: number;
  /** Incarnation of the side, as far as known; may be empty. */
  readonly incarnation: Incarnation;
}

/** Resolves when the run is over. */
export async function adoptRun(
  deps: ExecuteDeps,
  adoption: AdoptRunOptions,
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
  deps.sendToMembership({kind: 'own', address: side, dispatchId});
  open.answerLog.setPlacement({kind: 'placed', dispatchId, side});
  // From the first chunk where the side still has it: then the digest holds
  // over the whole answer, not only over what the caller lacks.
  let outcome = await attachToRun(deps, adoption);
  if (lacksFirstChunks(outcome) && adoption.fromSeq > 0 && !isFinished(open)) {
    open.answerLog.startAt(adoption.fromSeq);
    outcome = await attachToRun(deps, adoption);
  }
  deps.sendToMembership({kind: 'disown', address: side, dispatchId});
  finishRequest(deps, open, side, outcome);
}

async function attachToRun(
  deps: ExecuteDeps,
  adoption: AdoptRunOptions,
): Promise<AttemptOutcome> {
  const {open, located} = adoption;
  const attempt = startAttempt(deps, {
    side: located.side,
    dispatchId: located.res.dispatchId,
    incarnation: adoption.incarnation,
    organisation: open.organisation,
    answerLog: open.answerLog,
    onEvidence: (what, incarnation) =>
      deps.sendToMembership({
        kind: 'evidence',
        address: located.side,
        what,
        incarnation,
      }),
  });
  open.stopCurrentAttempt = attempt.stop;
  open.currentAttemptRan = attempt.ran;
  const outcome = await attempt.outcome;
  open.stopCurrentAttempt = undefined;
  open.currentAttemptRan = undefined;
  return outcome;
}

/** The side has let go of the chunks that the first owner acknowledged. */
function lacksFirstChunks(outcome: AttemptOutcome): boolean {
  return (
    outcome.kind === 'failed' && outcome.failed.code === 'answer-incomplete'
  );
}

/** An adopted run is never tried elsewhere: its prompt is not here. */
function finishRequest(
  deps: ExecuteDeps,
  open: OpenRequest,
  side: Address,
  outcome: AttemptOutcome,
): void {
  open.takenOver = isTakenOver(outcome);
  const decision = decideAfterAttempt(outcome, {
    side,
    repeatable: false,
    receivedChunks: open.answerLog.nextSeq(),
    deliveredChunks: open.answerLog.deliveredSeq(),
  });
  if (decision === undefined || isFinished(open)) return;
  if (decision.kind !== 'end') {
    // That this attempt did not run says nothing of the others, which the
    // entry that made them knew of and this one does not.
    const ran = decision.ran === 'no' ? 'unknown' : decision.ran;
    const {details} = decision;
    deps.finish(open, failedEvent(open, {...details, ran}));
    return;
  }
  const {end} = decision.outcome;
  deps.finish(open, {
    kind: 'end',
    count: end.count,
    tokens: open.answerLog.tokens(),
    finishReason: end.finishReason,
    cachedTokens: end.cachedTokens,
  });
}
