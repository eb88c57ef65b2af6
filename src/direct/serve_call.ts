/**
 * Serves a request whose answer is not a stream of events, at a plain service
 * or at an engine. The answer is buffered until it is complete, so that another
 * replica can be tried after a failure before the caller has received a byte.
 */
import {DIRECT_EVENTS} from '../utils/events.js';
import {attemptCall} from './call_attempt.js';
import type {BufferedAnswer, CallOutcome} from './call_attempt.js';
import {loggedParts} from './crashes/request_digest.js';
import {chooseCallReplica} from './decide/choose_call_replica.js';
import type {CallCandidate} from './decide/choose_call_replica.js';
import {DIAL_TIMED_OUT} from './dispatch.js';
import type {AnswerHead} from './dispatch.js';
import type {Exchange} from './exchange.js';
import {createUndialledReplicas} from './health/undialled_replicas.js';
import type {UndialledReplicas} from './health/undialled_replicas.js';
import {
  WITHDRAWN_REASONS,
  choosePermitted,
  passedOver,
} from './permitted_choice.js';
import type {PermittedChoice} from './permitted_choice.js';
import {followNewerRoute} from './routes/newer_route.js';
import {
  callRequestOf,
  candidatesOf,
  REPLICA_FAILED,
  giveUp,
  withLoads,
  brokenRunDigest,
  isTooLateToBegin,
  mayAttempt,
  refuseAtStop,
  refuseQuarantined,
  writeHead,
} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica} from './types.js';

/** Ids of replicas that were tried. */
interface TriedReplicas {
  readonly all: Set<string>;
  /** Those that got the request, and have refused no connection since. */
  readonly sent: Set<string>;
  readonly undialled: UndialledReplicas;
}

/** Serves the request until its final answer. */
export async function serveCall(
  ctx: ServeContext,
  exchange: Exchange,
): Promise<void> {
  const tried: TriedReplicas = {
    all: new Set(),
    sent: new Set(),
    undialled: createUndialledReplicas(ctx.clock),
  };
  let failure: BufferedAnswer | undefined;
  ctx.budget.onFirstAttempt(ctx.retryRatio);
  while (!exchange.signal.aborted) {
    followNewerRoute(ctx, exchange);
    const choice = await chooseReplica(ctx, exchange, tried);
    // The request may have ended while the replica's permit was awaited.
    if (exchange.signal.aborted) return;
    if (isTooLateToBegin(ctx, exchange)) {
      refuseAtStop(ctx, exchange);
      return;
    }
    if (choice.kind === 'none' || !mayAttempt(ctx, exchange)) {
      const isLast = failure === undefined && choice.kind === 'none';
      if (followNewerRoute(ctx, exchange, isLast)) continue;
      endWithoutAttempt(ctx, exchange, failure, choice);
      return;
    }
    const {replica} = choice.chosen;
    logChoice(ctx, exchange, replica);
    tried.all.add(replica.id);
    tried.undialled.dialling(replica.id);
    const isRetry = exchange.attempts > 0;
    const outcome = await attemptCall(ctx, exchange, replica);
    if (isRetry && outcome.kind === 'not-sent') ctx.budget.giveBack();
    noteDial(tried, replica, outcome);
    if (handleOutcome(ctx, exchange, replica, outcome)) return;
    if (outcome.kind === 'answered') failure = outcome;
  }
}

function noteDial(
  {sent, undialled}: TriedReplicas,
  {id}: DirectReplica,
  outcome: CallOutcome,
): void {
  const isUnsent = outcome.kind === 'not-sent';
  if (!isUnsent) sent.add(id);
  // Its port is closed. Nothing was sent, so nothing else bounds the attempts.
  else if (!WITHDRAWN_REASONS.has(outcome.reason)) sent.delete(id);
  undialled.dialled(id, isUnsent && outcome.reason === DIAL_TIMED_OUT);
}

/**
 * Ends a request that has no attempt left. The caller gets the failure that a
 * replica answered with, if there is one.
 */
function endWithoutAttempt(
  ctx: ServeContext,
  exchange: Exchange,
  failure: BufferedAnswer | undefined,
  choice: PermittedChoice<CallCandidate>,
): void {
  if (failure !== undefined) {
    sendAnswer(ctx, exchange, failure.head, failure.body);
    return;
  }
  if (choice.kind === 'chosen') {
    giveUp(ctx, exchange, 'no more attempts');
    return;
  }
  const {rejection} = choice;
  if (rejection === undefined) {
    giveUp(ctx, exchange, 'no replica left to try');
  } else {
    giveUp(ctx, exchange, rejection.reason, rejection.retryAfterMs);
  }
}

/**
 * Chooses a replica that was not tried yet. If none of them may get it now, an
 * idempotent request may go to a replica that got it before: a request that
 * failed once often succeeds at the second attempt, even at the same replica,
 * and seldom only at a third. Last come replicas whose host accepted no
 * connection: they may be paused, and nothing was sent to them.
 */
function chooseReplica(
  ctx: ServeContext,
  exchange: Exchange,
  {all, sent, undialled}: TriedReplicas,
): Promise<PermittedChoice<CallCandidate>> {
  const {service, route} = exchange;
  const isDialledAgain = ({id}: DirectReplica): boolean =>
    undialled.mayDialAgain(id, exchange.timeLeftMs());
  const candidates = () => {
    const available = ctx.replicas.availableFor(service);
    const isRepeatable = route.kind === 'idempotent';
    return [
      ...candidatesOf(ctx, service, all),
      available.filter(({id}) => isRepeatable && sent.has(id)),
      available.filter(isDialledAgain),
    ];
  };
  const req = callRequestOf(ctx, exchange);
  return choosePermitted(ctx, exchange, candidates, open =>
    chooseCallReplica(withLoads(ctx, open), req),
  );
}

function logChoice(
  ctx: ServeContext,
  exchange: Exchange,
  {id}: DirectReplica,
): void {
  ctx.log(DIRECT_EVENTS.dispatched, {
    requestId: exchange.id,
    replica: id,
    running: ctx.loadTracker.totalLoad(id).running,
    slowness: ctx.health.slowness(id),
    limit: ctx.limits.limitOf(id),
    ...ctx.gate.dispatchNotices(id),
    passedOver: passedOver(ctx, exchange, id),
    config: exchange.config.version,
    parts: loggedParts(exchange.partDigests()),
  });
}

/**
 * Returns true when nothing is left to do: the final answer was sent, or the
 * request ended before it. Returns false when another attempt may follow.
 */
function handleOutcome(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
  outcome: CallOutcome,
): boolean {
  switch (outcome.kind) {
    case 'answered':
      if (isRetriable(exchange, outcome.head)) {
        logFailedAttempt(
          ctx,
          exchange,
          replica,
          `status ${outcome.head.status}`,
        );
        return false;
      }
      sendAnswer(ctx, exchange, outcome.head, outcome.body);
      return true;
    case 'passed-on':
    case 'ended':
      return true;
    case 'quarantined':
      refuseQuarantined(ctx, exchange);
      return true;
    case 'not-run':
    case 'not-sent':
      logFailedAttempt(ctx, exchange, replica, outcome.kind);
      return false;
    case 'withheld':
      logFailedAttempt(ctx, exchange, replica, outcome.reason);
      giveUp(ctx, exchange, REPLICA_FAILED);
      return true;
    case 'broken':
      logFailedAttempt(ctx, exchange, replica, outcome.reason, outcome.kind);
      if (exchange.route.kind === 'idempotent') return false;
      giveUp(ctx, exchange, 'the replica broke off');
      return true;
  }
}

/** A server error may concern this replica only, so another one is tried. */
function isRetriable(exchange: Exchange, {status}: AnswerHead): boolean {
  return status >= 500 && exchange.route.kind === 'idempotent';
}

function logFailedAttempt(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
  reason: string,
  kind?: CallOutcome['kind'],
): void {
  const elapsedMs = Math.round(exchange.elapsedMs());
  ctx.log(DIRECT_EVENTS.tryFailed, {
    requestId: exchange.id,
    replica: replica.id,
    reason,
    digest: brokenRunDigest(exchange, kind),
    elapsedMs,
  });
}

function sendAnswer(
  ctx: ServeContext,
  exchange: Exchange,
  head: AnswerHead,
  body: Buffer,
): void {
  const {res} = exchange;
  ctx.log(DIRECT_EVENTS.answered, {
    requestId: exchange.id,
    status: head.status,
    elapsedMs: Math.round(exchange.elapsedMs()),
  });
  writeHead(ctx, res, head, body.length);
  res.end(body);
}
