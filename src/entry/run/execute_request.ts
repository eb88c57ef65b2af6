/**
 * Runs one admitted request: it makes offers, starts an attempt on the side
 * that accepted, and makes further attempts where the rules, the retry budget
 * and the remaining time allow.
 */
import type {ErrorDetails} from '../../types/errors.js';
import type {Incarnation} from '../../types/ids.js';
import type {RequestSpec} from '../../types/services.js';
import {REQUEST_EVENTS, ROUTING_EVENTS} from '../../utils/events.js';
import type {FinalEvent} from './answer_log.js';
import type {AttemptOutcome} from './attempt.js';
import {planGroup} from '../groups/group_plan.js';
import {reserveGroup} from '../groups/group_reserve.js';
import type {ReservedPart} from '../groups/group_reserve.js';
import {runGroup} from '../groups/group_run.js';
import type {AcceptedOffer, OfferDeps} from '../routing/send_offer.js';
import {runOfferRound} from '../routing/offer_round.js';
import {
  failedEvent,
  isFinished,
  isTakenOver,
  mergeRan,
} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {RETRY_AFTER_MS} from '../routing/refusals.js';
import type {RetryBudget} from '../../limits/retry_budget.js';
import {decideAfterAttempt} from './attempt_decision.js';
import type {AttemptDecision} from './attempt_decision.js';
import {runAttempt} from './run_attempt.js';

export interface ExecuteDeps extends OfferDeps {
  readonly retryBudget: RetryBudget;
  /** Gives the request its final event, unless it has one already. */
  readonly finish: (open: OpenRequest, event: FinalEvent) => void;
}

/** The attempts made so far. */
interface AttemptHistory {
  readonly tries: number;
  /** Incarnations on which an attempt failed. */
  readonly failedOn: ReadonlySet<Incarnation>;
}

/**
 * Resolves when the request is over. A failure of the request is reported by
 * `finish` and not thrown.
 */
export async function executeRequest(
  deps: ExecuteDeps,
  open: OpenRequest,
  spec: RequestSpec,
): Promise<void> {
  const failedOn = new Set<Incarnation>();
  let lost: ErrorDetails | undefined;
  deps.retryBudget.onFirstAttempt(spec.config.declarations.policy.retryRatio);
  for (let tries = 1; !isFinished(open); tries++) {
    const result = await placeRequest(deps, open, spec, failedOn);
    if (result.kind === 'over') return;
    if (result.kind === 'none') {
      const details = failureOf(result.details, lost);
      deps.finish(open, failedEvent(open, details));
      return;
    }
    checkMayRun(deps, open, spec);
    const outcome =
      result.kind === 'reserved'
        ? await runGroup(deps, open, spec, result.parts)
        : await runOnSide(deps, open, spec, result);
    // A group is reserved anew from all engines that answer. The membership
    // decides which of its members failed.
    if (result.kind === 'accepted') failedOn.add(result.incarnation);
    open.takenOver = isTakenOver(outcome);
    const next = decideAfterAttempt(outcome, {
      side: open.side,
      repeatable: spec.repeatable,
      receivedChunks: open.answerLog.nextSeq(),
      deliveredChunks: open.answerLog.deliveredSeq(),
    });
    if (next === undefined || isFinished(open)) return;
    if (!(await endOrRetry(deps, open, spec, next, {tries, failedOn}))) return;
    if (next.kind === 'retry' && next.ran !== 'no') lost = next.details;
  }
}

/**
 * The failure for the caller when no engine takes the request. The code of a
 * refusal says that it did not run, so after a run that may have run, the caller
 * gets that run's failure, with the refusal's retry time.
 */
function failureOf(
  refused: ErrorDetails,
  lost: ErrorDetails | undefined,
): ErrorDetails {
  if (lost === undefined) return refused;
  return {...lost, retryAfterMs: refused.retryAfterMs ?? RETRY_AFTER_MS};
}

/** The result of reserving engines. `over`: the request ended meanwhile. */
type PlacementResult =
  | AcceptedOffer
  | {readonly kind: 'reserved'; readonly parts: readonly ReservedPart[]}
  | {readonly kind: 'none'; readonly details: ErrorDetails}
  | {readonly kind: 'over'};

/**
 * Reserves one engine for the request, or a group of engines if it needs one.
 */
function placeRequest(
  deps: ExecuteDeps,
  open: OpenRequest,
  spec: RequestSpec,
  failedOn: ReadonlySet<Incarnation>,
): Promise<PlacementResult> {
  const rankCandidates = () => deps.router.rank(spec, failedOn);
  const ranked = rankCandidates();
  if (ranked.length === 0) {
    deps.log(ROUTING_EVENTS.noCandidate, {
      requestId: spec.id,
      model: spec.model,
      pool: spec.pool,
    });
  }
  return planGroup(spec, ranked).kind === 'single'
    ? runOfferRound(deps, open, spec, ranked)
    : reserveGroup(deps, open, spec, rankCandidates);
}

/** Runs the request on one side and waits for the attempt's outcome. */
async function runOnSide(
  deps: ExecuteDeps,
  open: OpenRequest,
  spec: RequestSpec,
  offer: AcceptedOffer,
): Promise<AttemptOutcome> {
  const side = offer.ranked.target.replica.address;
  const {dispatchId} = offer;
  open.side = side;
  open.dispatchId = dispatchId;
  deps.sendToMembership({kind: 'own', address: side, dispatchId});
  open.answerLog.setPlacement({kind: 'placed', dispatchId, side});
  const outcome = await runAttempt(deps, open, {
    side,
    dispatchId,
    incarnation: offer.incarnation,
    organisation: spec.organisation,
    go: {body: spec.body, call: spec.call, deadlineAt: spec.deadlineAt},
  });
  deps.sendToMembership({kind: 'disown', address: side, dispatchId});
  deps.router.endAssignment(side, dispatchId);
  return outcome;
}

/**
 * Checks that a request that must not be repeated has not run, and that no
 * chunk of an earlier attempt is left.
 */
function checkMayRun(
  deps: ExecuteDeps,
  open: OpenRequest,
  spec: RequestSpec,
): void {
  deps.invariant(
    spec.repeatable || open.ran === 'no',
    'not-repeatable-runs-once',
    {requestId: spec.id, ran: open.ran},
  );
  deps.invariant(open.answerLog.nextSeq() === 0, 'answers-never-mixed', {
    requestId: spec.id,
    delivered: open.answerLog.nextSeq(),
  });
}

/**
 * Applies the decision. Resolves with true when another attempt is to be made.
 */
async function endOrRetry(
  deps: ExecuteDeps,
  open: OpenRequest,
  spec: RequestSpec,
  decision: AttemptDecision,
  history: AttemptHistory,
): Promise<boolean> {
  if (decision.kind === 'end') {
    const {end} = decision.outcome;
    deps.router.recordCachedTokens(spec, end.cachedTokens);
    deps.finish(open, {
      kind: 'end',
      count: end.count,
      tokens: open.answerLog.tokens(),
      finishReason: end.finishReason,
      cachedTokens: end.cachedTokens,
    });
    return false;
  }
  open.ran = mergeRan(open.ran, decision.ran);
  deps.log(REQUEST_EVENTS.attemptLost, {
    dispatchId: open.dispatchId,
    side: open.side,
    ran: decision.ran,
    cause: decision.details.message,
  });
  if (decision.kind === 'retry' && mayRetry(deps, spec, decision, history)) {
    // Chunks are discarded before the delay, so that a caller that connects
    // during it does not get chunks of the abandoned run.
    open.answerLog.discardChunks();
    deps.metrics.count('onyxloft_retries_total', {ran: decision.ran});
    deps.log(REQUEST_EVENTS.retried, {
      requestId: spec.id,
      tries: history.tries,
    });
    await waitBeforeRetry(deps, history.tries);
    return !isFinished(open);
  }
  const retryAfterMs =
    decision.details.retryAfterMs ??
    (decision.kind === 'retry' ? RETRY_AFTER_MS : undefined);
  deps.finish(open, failedEvent(open, {...decision.details, retryAfterMs}));
  return false;
}

/** True when attempts, time and retry budget allow a retry. */
function mayRetry(
  deps: ExecuteDeps,
  spec: RequestSpec,
  decision: AttemptDecision & {kind: 'retry'},
  history: AttemptHistory,
): boolean {
  if (history.tries >= spec.config.declarations.policy.maxOffers) return false;
  // Work that did not run adds no load when it runs elsewhere, and an offer is
  // cheap. The sides decide whether enough time is left for it.
  if (decision.ran === 'no') return true;
  const best = deps.router.rank(spec, history.failedOn)[0];
  if (best === undefined) return false;
  const timeLeftMs = spec.deadlineAt - deps.clock.now();
  // A retry could only end too late, so the caller gets the failure now.
  if (best.predictedFirstTokenMs >= timeLeftMs) return false;
  return deps.retryBudget.take();
}

function waitBeforeRetry(deps: ExecuteDeps, tries: number): Promise<void> {
  const jitter = 0.5 + deps.random.next();
  const delayMs = deps.timing.retryBackoffMs * 2 ** (tries - 1) * jitter;
  return new Promise(resolve => deps.clock.after(delayMs, resolve));
}
