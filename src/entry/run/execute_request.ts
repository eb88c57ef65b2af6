/**
 * Drives one admitted request: offers, the attempt on the side that accepted,
 * and other attempts where the rules, the budget and the time allow them.
 */
import type {ErrorDetails} from '../../types/errors.js';
import type {Incarnation} from '../../types/ids.js';
import type {RequestSpec} from '../../types/services.js';
import {REQUEST_EVENTS, ROUTING_EVENTS} from '../../utils/events.js';
import type {FinalEvent} from './answer_log.js';
import {startAttempt} from './attempt.js';
import type {AttemptOutcome} from './attempt.js';
import {planGroup} from '../groups/group_plan.js';
import {reserveGroup} from '../groups/group_reserve.js';
import type {ReservedPart} from '../groups/group_reserve.js';
import {runGroup} from '../groups/group_run.js';
import type {AcceptedOffer, OfferDeps} from '../routing/send_offer.js';
import {offerRound} from '../routing/offer_round.js';
import {
  failedEvent,
  isOver,
  isTakenOver,
  strongerRan,
} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {RETRY_AFTER_MS} from '../routing/refusals.js';
import type {RetryBudget} from '../../limits/retry_budget.js';
import {judgeOutcome} from './attempt_decision.js';
import type {Verdict} from './attempt_decision.js';

export interface DriveDeps extends OfferDeps {
  readonly budget: RetryBudget;
  /** Gives the request its final event, unless it has one. */
  readonly finish: (open: OpenRequest, event: FinalEvent) => void;
}

/** What was tried so far. */
interface Past {
  readonly tries: number;
  /** Incarnations on which an attempt failed. */
  readonly lost: ReadonlySet<Incarnation>;
}

/** Resolves when the request is over. Does not throw for the request's sake. */
export async function driveRequest(
  deps: DriveDeps,
  open: OpenRequest,
  spec: RequestSpec,
): Promise<void> {
  const lost = new Set<Incarnation>();
  deps.budget.onFirstAttempt(spec.config.declarations.policy.retryRatio);
  for (let tries = 1; !isOver(open); tries++) {
    const placed = await place(deps, open, spec, lost);
    if (placed.kind === 'over') return;
    if (placed.kind === 'none') {
      deps.finish(open, failedEvent(open, placed.details));
      return;
    }
    assertMayRun(deps, open, spec);
    const outcome =
      placed.kind === 'reserved'
        ? await runGroup(deps, open, spec, placed.parts)
        : await runOn(deps, open, spec, placed);
    // A group is gathered anew from all that answer: which of its members
    // failed is the membership's to say.
    if (placed.kind === 'accepted') lost.add(placed.incarnation);
    open.takenOver = isTakenOver(outcome);
    const verdict = judgeOutcome(outcome, {
      side: open.side,
      repeatable: spec.repeatable,
      received: open.answer.nextSeq(),
      delivered: open.answer.delivered(),
    });
    if (verdict === undefined || isOver(open)) return;
    if (!(await goesOn(deps, open, spec, verdict, {tries, lost}))) return;
  }
}

type Placed =
  | AcceptedOffer
  | {readonly kind: 'reserved'; readonly parts: readonly ReservedPart[]}
  | {readonly kind: 'none'; readonly details: ErrorDetails}
  | {readonly kind: 'over'};

/** Gets the request a place on one engine, or on a group where it needs one. */
function place(
  deps: DriveDeps,
  open: OpenRequest,
  spec: RequestSpec,
  lost: ReadonlySet<Incarnation>,
): Promise<Placed> {
  const rank = () => deps.router.rank(spec, lost);
  const ranked = rank();
  if (ranked.length === 0) {
    deps.log(ROUTING_EVENTS.noCandidate, {
      requestId: spec.id,
      model: spec.model,
      pool: spec.pool,
    });
  }
  return planGroup(spec, ranked).kind === 'single'
    ? offerRound(deps, open, spec, ranked)
    : reserveGroup(deps, open, spec, rank);
}

async function runOn(
  deps: DriveDeps,
  open: OpenRequest,
  spec: RequestSpec,
  offer: AcceptedOffer,
): Promise<AttemptOutcome> {
  const side = offer.ranked.target.replica.address;
  const {dispatchId} = offer;
  open.side = side;
  open.dispatchId = dispatchId;
  deps.tellMembership({kind: 'own', address: side, dispatchId});
  open.answer.placed({kind: 'placed', dispatchId, side});
  const attempt = startAttempt(deps, {
    side,
    dispatchId,
    incarnation: offer.incarnation,
    organisation: spec.organisation,
    go: {body: spec.body, call: spec.call, deadlineAt: spec.deadlineAt},
    answer: open.answer,
    onEvidence: (what, incarnation) =>
      deps.tellMembership({kind: 'evidence', address: side, what, incarnation}),
  });
  open.stopAttempt = attempt.stop;
  open.attemptRan = attempt.ran;
  const outcome = await attempt.outcome;
  open.stopAttempt = undefined;
  open.attemptRan = undefined;
  deps.tellMembership({kind: 'disown', address: side, dispatchId});
  deps.router.attemptOver(side, dispatchId);
  return outcome;
}

function assertMayRun(
  deps: DriveDeps,
  open: OpenRequest,
  spec: RequestSpec,
): void {
  deps.invariant(
    spec.repeatable || open.ran === 'no',
    'not-repeatable-runs-once',
    {requestId: spec.id, ran: open.ran},
  );
  deps.invariant(open.answer.nextSeq() === 0, 'answers-never-mixed', {
    requestId: spec.id,
    delivered: open.answer.nextSeq(),
  });
}

/** Applies the verdict; true when another attempt is to be made. */
async function goesOn(
  deps: DriveDeps,
  open: OpenRequest,
  spec: RequestSpec,
  verdict: Verdict,
  past: Past,
): Promise<boolean> {
  if (verdict.kind === 'end') {
    const {end} = verdict.outcome;
    deps.router.ended(spec, end.cachedTokens);
    deps.finish(open, {
      kind: 'end',
      count: end.count,
      tokens: open.answer.tokens(),
      finishReason: end.finishReason,
      cachedTokens: end.cachedTokens,
    });
    return false;
  }
  open.ran = strongerRan(open.ran, verdict.ran);
  deps.log(REQUEST_EVENTS.attemptLost, {
    dispatchId: open.dispatchId,
    side: open.side,
    ran: verdict.ran,
    cause: verdict.details.message,
  });
  if (verdict.kind === 'retry' && mayRetry(deps, spec, verdict, past)) {
    // Before the pause: a caller that joins during it must not be shown chunks
    // of the run that was given up.
    open.answer.restart();
    deps.metrics.count('onyxloft_retries_total', {ran: verdict.ran});
    deps.log(REQUEST_EVENTS.retried, {
      requestId: spec.id,
      tries: past.tries,
    });
    await pause(deps, past.tries);
    return !isOver(open);
  }
  const retryAfterMs =
    verdict.details.retryAfterMs ??
    (verdict.kind === 'retry' ? RETRY_AFTER_MS : undefined);
  deps.finish(open, failedEvent(open, {...verdict.details, retryAfterMs}));
  return false;
}

function mayRetry(
  deps: DriveDeps,
  spec: RequestSpec,
  verdict: Verdict & {kind: 'retry'},
  past: Past,
): boolean {
  if (past.tries >= spec.config.declarations.policy.maxOffers) return false;
  // Work that did not run adds no load when it runs elsewhere, and an offer
  // costs little: whether there is time for it is the sides' to say.
  if (verdict.ran === 'no') return true;
  const best = deps.router.rank(spec, past.lost)[0];
  if (best === undefined) return false;
  const timeLeftMs = spec.deadlineAt - deps.clock.now();
  // It could only end late: the caller is better served by the failure now.
  if (best.predictedFirstTokenMs >= timeLeftMs) return false;
  return deps.budget.take();
}

function pause(deps: DriveDeps, tries: number): Promise<void> {
  const jitter = 0.5 + deps.random.next();
  const delayMs = deps.timing.retryPauseMs * 2 ** (tries - 1) * jitter;
  return new Promise(resolve => deps.clock.after(delayMs, resolve));
}
