/** One attempt of an open request, from its start to its outcome. */
import type {Address} from '../../types/ids.js';
import type {OpenRequest} from '../open_request.js';
import type {OfferDeps} from '../routing/send_offer.js';
import {startAttempt} from './attempt.js';
import type {AttemptOutcome, AttemptSpec} from './attempt.js';

/** Tells the membership what an attempt shows of the side. */
export function reportEvidence(
  deps: Pick<OfferDeps, 'sendToMembership'>,
  side: Address,
): AttemptSpec['onEvidence'] {
  return (what, incarnation) =>
    deps.sendToMembership({
      kind: 'evidence',
      address: side,
      what,
      incarnation,
    });
}

/**
 * Starts an attempt whose chunks go to the caller, and waits for its outcome.
 * Meanwhile it is the request's current attempt.
 */
export async function runAttempt(
  deps: OfferDeps,
  open: OpenRequest,
  spec: Omit<AttemptSpec, 'answerLog' | 'onStarted' | 'onEvidence'>,
): Promise<AttemptOutcome> {
  const attempt = startAttempt(deps, {
    ...spec,
    answerLog: open.answerLog,
    onEvidence: reportEvidence(deps, spec.side),
  });
  open.stopCurrentAttempt = attempt.stop;
  open.currentAttemptRan = attempt.ran;
  const outcome = await attempt.outcome;
  open.stopCurrentAttempt = undefined;
  open.currentAttemptRan = undefined;
  return outcome;
}
