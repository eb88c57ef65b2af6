/**
 * Takes over a run that another entry started, because the caller resumes its
 * request here. Attaching to the run makes this entry its owner; this entry's
 * heartbeats then keep the run alive.
 */
import type {Address, Incarnation} from '../../types/ids.js';
import {REQUEST_EVENTS} from '../../utils/events.js';
import type {AttemptOutcome} from '../run/attempt.js';
import type {ExecuteDeps} from '../run/execute_request.js';
import type {LocatedRun} from './locate_run.js';
import {failedEvent, isFinished, isTakenOver} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {decideAfterAttempt} from '../run/attempt_decision.js';
import {runAttempt} from '../run/run_attempt.js';

/** The run to take over, and the request that it belongs to. */
export interface AdoptRunOptions {
  readonly open: OpenRequest;
  readonly located: LocatedRun;
  /** Sequence number of the first chunk that the caller wants. */
  readonly fromSeq: number;
  /** Incarnation of the side; empty when it is not known. */
  readonly incarnation: Incarnation;
}

/** Resolves when the run is over. */
export async function adoptRun(
  deps: ExecuteDeps,
  options: AdoptRunOptions,
): Promise<void> {
  const {open, located} = options;
  const {side} = located;
  const {dispatchId} = located.res;
  open.side = side;
  open.dispatchId = dispatchId;
  deps.log(REQUEST_EVENTS.adopted, {
    requestId: open.id,
    dispatchId,
    side,
    fromSeq: options.fromSeq,
  });
  deps.sendToMembership({kind: 'own', address: side, dispatchId});
  open.answerLog.setPlacement({kind: 'placed', dispatchId, side});
  // First tries to attach from chunk 0. If the side still has that chunk, the
  // digest is checked over the whole answer and not only over the chunks that
  // the caller lacks.
  let outcome = await attachToRun(deps, options);
  if (lacksFirstChunks(outcome) && options.fromSeq > 0 && !isFinished(open)) {
    open.answerLog.startAt(options.fromSeq);
    outcome = await attachToRun(deps, options);
  }
  deps.sendToMembership({kind: 'disown', address: side, dispatchId});
  finishRequest(deps, open, side, outcome);
}

/** Attaches to the run and waits for the attempt's outcome. */
function attachToRun(
  deps: ExecuteDeps,
  options: AdoptRunOptions,
): Promise<AttemptOutcome> {
  const {open, located} = options;
  return runAttempt(deps, open, {
    side: located.side,
    dispatchId: located.res.dispatchId,
    incarnation: options.incarnation,
    organisation: open.organisation,
  });
}

/**
 * True when the side no longer has the first chunks, because the previous owner
 * acknowledged them.
 */
function lacksFirstChunks(outcome: AttemptOutcome): boolean {
  return (
    outcome.kind === 'failed' && outcome.failed.code === 'answer-incomplete'
  );
}

/**
 * Gives the request its final event. An adopted run is never retried elsewhere,
 * because this entry does not have its prompt.
 */
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
    // Even if this attempt did not run, earlier attempts may have. Only the
    // entry that made them knows.
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
