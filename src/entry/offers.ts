/**
 * A round of offers: best candidate first, on refusal the next, until one
 * accepts. No go is sent in here, so whatever the sides answer, or fail to,
 * nothing of this round has run.
 */
import type {ErrorDetails} from '../types/errors.js';
import type {DispatchId, Incarnation, NodeId} from '../types/ids.js';
import type {OfferReq, OfferRes} from '../types/peer_messages.js';
import type {Runtime} from '../types/runtime.js';
import type {MembershipMessage, RequestSpec} from '../types/services.js';
import type {Transport} from '../types/transport.js';
import type {RankedTarget} from '../policy/routing.js';
import {REQUEST_EVENTS, ROUTING_EVENTS} from '../utils/events.js';
import {abandonDispatch} from './abandon.js';
import {isOver} from './open_request.js';
import type {OpenRequest} from './open_request.js';
import {refusedBy} from './refusals.js';
import type {NotAccepted, Refusal} from './refusals.js';
import type {Router} from './router.js';
import type {RequestTiming} from './timing.js';

export interface OfferDeps extends Runtime {
  readonly transport: Transport;
  readonly timing: RequestTiming;
  readonly node: NodeId;
  readonly router: Router;
  readonly tellMembership: (message: MembershipMessage) => void;
}

export interface AcceptedOffer {
  readonly kind: 'accepted';
  readonly ranked: RankedTarget;
  readonly dispatchId: DispatchId;
  readonly incarnation: Incarnation;
  readonly predictedFirstTokenMs: number;
}

export type OfferOutcome =
  | AcceptedOffer
  | {readonly kind: 'none'; readonly details: ErrorDetails}
  /** The request got its final event meanwhile. */
  | {readonly kind: 'over'};

export async function offerRound(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  except: ReadonlySet<Incarnation>,
): Promise<OfferOutcome> {
  const ranked = deps.router.rank(spec, except);
  if (ranked.length === 0) {
    deps.log(ROUTING_EVENTS.noCandidate, {
      request: spec.id,
      model: spec.model,
      pool: spec.pool,
    });
  }
  const refusals: Refusal[] = [];
  const {maxOffers} = spec.config.declarations.policy;
  for (const candidate of ranked.slice(0, maxOffers)) {
    const outcome = await offerTo(deps, open, spec, candidate, ranked);
    if (isOver(open)) {
      if (outcome.kind === 'accepted') withdraw(deps, outcome);
      return {kind: 'over'};
    }
    if (outcome.kind === 'accepted') return outcome;
    refusals.push(outcome);
  }
  return {kind: 'none', details: refusedBy(refusals)};
}

interface OneRefusal extends Refusal {
  readonly kind: 'refused';
  /** Set when another incarnation of the side may take the request. */
  readonly incarnation?: Incarnation;
}

type OneAnswer = AcceptedOffer | OneRefusal;

async function offerTo(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  candidate: RankedTarget,
  ranked: readonly RankedTarget[],
): Promise<OneAnswer> {
  const {replica} = candidate.target;
  const first = await sendOffer(
    deps,
    open,
    spec,
    candidate,
    replica.incarnation,
    ranked,
  );
  if (first.kind === 'accepted' || first.incarnation === undefined) {
    return first;
  }
  // The side was restarted since its last heartbeat: the refusal names its
  // new incarnation, which may take the request.
  return sendOffer(deps, open, spec, candidate, first.incarnation, ranked);
}

async function sendOffer(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  candidate: RankedTarget,
  incarnation: Incarnation,
  ranked: readonly RankedTarget[],
): Promise<OneAnswer> {
  const side = candidate.target.replica.address;
  open.attempts++;
  const dispatchId = `${spec.id}.${open.attempts}`;
  deps.router.decided(spec, open.attempts, candidate, ranked);
  deps.router.assigned(spec, side, dispatchId);
  const req = offerOf(deps, spec, dispatchId, incarnation);
  const res = await deps.transport.call(
    side,
    'offer',
    req,
    Math.min(deps.timing.offerTimeoutMs, Math.max(1, req.timeLeftMs)),
  );
  return res.caseOf<OneAnswer>({
    Left: err => {
      deps.router.refused(side, dispatchId);
      deps.log(REQUEST_EVENTS.offerUnanswered, {
        dispatch: dispatchId,
        side,
        cause: err.message,
      });
      deps.tellMembership({
        kind: 'evidence',
        address: side,
        what: 'unreachable',
        incarnation,
      });
      // The offer may have been accepted unseen, or may still be on its way:
      // the tombstone frees the reservation and stops a late copy.
      void abandonDispatch(deps, {side, dispatchId, incarnation});
      return {kind: 'refused', side, reason: 'unanswered', retryAfterMs: 0};
    },
    Right: answer =>
      judge(deps, spec, candidate, dispatchId, incarnation, answer),
  });
}

function judge(
  deps: OfferDeps,
  spec: RequestSpec,
  candidate: RankedTarget,
  dispatchId: DispatchId,
  incarnation: Incarnation,
  answer: OfferRes,
): OneAnswer {
  const side = candidate.target.replica.address;
  if (answer.kind === 'accepted') {
    return {
      kind: 'accepted',
      ranked: candidate,
      dispatchId,
      incarnation: answer.incarnation,
      predictedFirstTokenMs: answer.predictedFirstTokenMs,
    };
  }
  deps.router.refused(side, dispatchId);
  deps.metrics.count('onyxloft_offer_refusals_total', {reason: answer.reason});
  deps.log(ROUTING_EVENTS.refused, {
    request: spec.id,
    dispatch: dispatchId,
    side,
    reason: answer.reason,
    retryAfterMs: answer.retryAfterMs,
  });
  const evidence = EVIDENCE[answer.reason];
  if (evidence !== undefined) {
    deps.tellMembership({
      kind: 'evidence',
      address: side,
      what: evidence,
      incarnation: answer.incarnation,
    });
  }
  const renewed =
    answer.reason === 'incarnation' && answer.incarnation !== incarnation;
  return {
    kind: 'refused',
    side,
    reason: answer.reason,
    retryAfterMs: answer.retryAfterMs,
    incarnation: renewed ? answer.incarnation : undefined,
  };
}

/** Refusals that say something of the side itself. */
const EVIDENCE: {
  readonly [reason in NotAccepted]?: 'leaving' | 'incarnation';
} = {leaving: 'leaving', incarnation: 'incarnation'};

function offerOf(
  deps: OfferDeps,
  spec: RequestSpec,
  dispatchId: DispatchId,
  incarnation: Incarnation,
): OfferReq {
  return {
    dispatchId,
    requestId: spec.id,
    organisation: spec.organisation,
    weight: spec.weight,
    entry: deps.node,
    incarnation,
    kind: spec.kind,
    model: spec.model,
    adapter: spec.adapter,
    priorityClass: spec.priorityClass,
    priority: spec.priority,
    timeLeftMs: Math.max(0, spec.deadlineAt - deps.clock.now()),
    promptTokens: spec.promptTokens,
    maxTokens: spec.maxTokens,
    repeatable: spec.repeatable,
    prefixHashes: spec.prefixHashes,
    configNumber: spec.config.number,
  };
}

/** Frees the reservation of an accepted offer whose request is over. */
function withdraw(deps: OfferDeps, offer: AcceptedOffer): void {
  const side = offer.ranked.target.replica.address;
  deps.router.refused(side, offer.dispatchId);
  void abandonDispatch(deps, {
    side,
    dispatchId: offer.dispatchId,
    incarnation: offer.incarnation,
  });
}
