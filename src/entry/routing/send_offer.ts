/**
 * Sends one offer to one side and reports what the answer shows about the side.
 * This module sends no go, so an offer has not run, whether the side answers or
 * not.
 */
import type {OnyxError} from '../../types/errors.js';
import type {DispatchId, Incarnation, NodeId} from '../../types/ids.js';
import type {GroupRole, OfferReq, OfferRes} from '../../types/peer_messages.js';
import type {Runtime} from '../../types/runtime.js';
import type {MembershipMessage, RequestSpec} from '../../types/services.js';
import type {Transport} from '../../types/transport.js';
import type {RankedTarget} from '../../policy/routing.js';
import {REQUEST_EVENTS, ROUTING_EVENTS} from '../../utils/events.js';
import {abandonDispatch} from '../run/abandon.js';
import type {OpenRequest} from '../open_request.js';
import type {OfferFailureReason, Refusal} from './refusals.js';
import type {Router} from './router.js';
import type {RequestTiming} from '../timing.js';

export interface OfferDeps extends Runtime {
  readonly transport: Transport;
  readonly timing: RequestTiming;
  readonly node: NodeId;
  readonly router: Router;
  readonly sendToMembership: (message: MembershipMessage) => void;
}

/** The terms of an offer to one side. */
export interface OfferTerms {
  readonly candidate: RankedTarget;
  /** Incarnation of the side that the offer is meant for. */
  readonly incarnation: Incarnation;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Set for a member of a group. */
  readonly group?: GroupRole;
}

/** A reservation at a side, ready for its go. */
export interface AcceptedOffer {
  readonly kind: 'accepted';
  readonly ranked: RankedTarget;
  readonly dispatchId: DispatchId;
  readonly incarnation: Incarnation;
  readonly predictedFirstTokenMs: number;
  /** Time in milliseconds after which the reservation lapses without a go. */
  readonly lapseMs: number;
}

/** An offer that was refused or not answered. */
export interface RefusedOffer extends Refusal {
  readonly kind: 'refused';
  /** Set when another incarnation of the side may accept the request. */
  readonly incarnation?: Incarnation;
}

export type OfferResult = AcceptedOffer | RefusedOffer;

/**
 * Refusal reasons that are evidence about the side itself, for the membership.
 */
const EVIDENCE_BY_REASON: {
  readonly [reason in OfferFailureReason]?: 'leaving' | 'incarnation';
} = {leaving: 'leaving', incarnation: 'incarnation'};

/** Sends an offer under the request's next attempt number. */
export async function sendOffer(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  terms: OfferTerms,
): Promise<OfferResult> {
  const side = terms.candidate.target.replica.address;
  open.lastAttempt++;
  const dispatchId = `${spec.id}.${open.lastAttempt}`;
  deps.router.recordAssignment(spec, side, dispatchId);
  const req = buildOffer(deps, spec, dispatchId, terms);
  const waitMs = Math.min(deps.timing.offerTimeoutMs, req.timeLeftMs);
  const res = await deps.transport.call(side, 'offer', req, waitMs);
  return res.caseOf<OfferResult>({
    Left: err => {
      handleNoAnswer(deps, terms, dispatchId, err);
      return {kind: 'refused', side, reason: 'unanswered', retryAfterMs: 0};
    },
    Right: answer => handleAnswer(deps, spec, terms, dispatchId, answer),
  });
}

/** Releases the reservation of an accepted offer that is no longer needed. */
export function withdrawOffer(deps: OfferDeps, offer: AcceptedOffer): void {
  const {dispatchId, incarnation} = offer;
  const side = offer.ranked.target.replica.address;
  deps.router.removeAssignment(side, dispatchId);
  void abandonDispatch(deps, {side, dispatchId, incarnation});
}

/**
 * Handles an offer without an answer: logs it, reports it and withdraws the
 * offer.
 */
function handleNoAnswer(
  deps: OfferDeps,
  terms: OfferTerms,
  dispatchId: DispatchId,
  err: OnyxError,
): void {
  const {incarnation} = terms;
  const side = terms.candidate.target.replica.address;
  deps.router.removeAssignment(side, dispatchId);
  deps.log(REQUEST_EVENTS.offerUnanswered, {
    dispatchId,
    side,
    cause: err.message,
  });
  // After an error of the side's handler the side is reachable.
  if (err.code !== 'internal') {
    deps.sendToMembership({
      kind: 'evidence',
      address: side,
      what: 'unreachable',
      incarnation,
    });
  }
  // The side may have accepted the offer, or the offer may still be on its way.
  // The tombstone releases the reservation and stops a late copy.
  void abandonDispatch(deps, {side, dispatchId, incarnation});
}

/**
 * Handles a side's answer: logs a refusal and reports what it shows of the
 * side.
 */
function handleAnswer(
  deps: OfferDeps,
  spec: RequestSpec,
  terms: OfferTerms,
  dispatchId: DispatchId,
  answer: OfferRes,
): OfferResult {
  const {candidate} = terms;
  if (answer.kind === 'accepted') {
    return {...answer, ranked: candidate, dispatchId};
  }
  const {reason, incarnation, retryAfterMs} = answer;
  const side = candidate.target.replica.address;
  deps.router.removeAssignment(side, dispatchId);
  deps.metrics.count('onyxloft_offer_refusals_total', {reason});
  deps.log(ROUTING_EVENTS.refused, {
    requestId: spec.id,
    dispatchId,
    side,
    reason,
    retryAfterMs,
  });
  const what = EVIDENCE_BY_REASON[reason];
  if (what !== undefined) {
    deps.sendToMembership({kind: 'evidence', address: side, what, incarnation});
  }
  const wasRestarted =
    reason === 'incarnation' && incarnation !== terms.incarnation;
  return {
    kind: 'refused',
    side,
    reason,
    retryAfterMs,
    incarnation: wasRestarted ? incarnation : undefined,
  };
}

function buildOffer(
  deps: OfferDeps,
  spec: RequestSpec,
  dispatchId: DispatchId,
  terms: OfferTerms,
): OfferReq {
  return {
    dispatchId,
    requestId: spec.id,
    organisation: spec.organisation,
    weight: spec.weight,
    entry: deps.node,
    incarnation: terms.incarnation,
    kind: spec.kind,
    model: spec.model,
    adapter: spec.adapter,
    priorityClass: spec.priorityClass,
    priority: terms.priority,
    timeLeftMs: Math.max(1, spec.deadlineAt - deps.clock.now()),
    promptTokens: spec.promptTokens,
    maxTokens: spec.maxTokens,
    repeatable: spec.repeatable,
    prefixHashes: spec.prefixHashes,
    configNumber: spec.config.number,
    group: terms.group,
  };
}
