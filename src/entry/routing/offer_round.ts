/**
 * Offers a request to the candidates, best first, until one accepts or the
 * policy's maximum number of offers is reached.
 */
import type {ErrorDetails} from '../../types/errors.js';
import type {RequestSpec} from '../../types/services.js';
import type {RankedTarget} from '../../policy/routing.js';
import {sendOffer, withdrawOffer} from './send_offer.js';
import type {AcceptedOffer, OfferResult, OfferDeps} from './send_offer.js';
import {isFinished} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {refusalError} from './refusals.js';
import type {Refusal} from './refusals.js';

/** The accepted offer, or the failure when no candidate accepted. */
export type OfferRoundResult =
  | AcceptedOffer
  | {readonly kind: 'none'; readonly details: ErrorDetails}
  /** The request got its final event in the meantime. */
  | {readonly kind: 'over'};

export async function runOfferRound(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  ranked: readonly RankedTarget[],
): Promise<OfferRoundResult> {
  const refusals: Refusal[] = [];
  const {maxOffers} = spec.config.declarations.policy;
  for (const candidate of ranked.slice(0, maxOffers)) {
    deps.router.recordDecision(spec, open.lastAttempt + 1, candidate, ranked);
    const answer = await offerToCandidate(deps, open, spec, candidate);
    if (isFinished(open)) {
      if (answer.kind === 'accepted') withdrawOffer(deps, answer);
      return {kind: 'over'};
    }
    if (answer.kind === 'accepted') return answer;
    refusals.push(answer);
  }
  return {kind: 'none', details: refusalError(refusals)};
}

/**
 * Offers the request to one candidate, and once more if the candidate
 * restarted.
 */
async function offerToCandidate(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  candidate: RankedTarget,
): Promise<OfferResult> {
  const {priority} = spec;
  const {incarnation} = candidate.target.replica;
  const first = await sendOffer(deps, open, spec, {
    candidate,
    incarnation,
    priority,
  });
  if (first.kind === 'accepted' || first.incarnation === undefined) {
    return first;
  }
  if (isFinished(open)) return first;
  // The side has restarted since its last heartbeat. The refusal names its new
  // incarnation, which may accept the request.
  return sendOffer(deps, open, spec, {
    candidate,
    incarnation: first.incarnation,
    priority,
  });
}
