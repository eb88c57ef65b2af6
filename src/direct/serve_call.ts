/**
 * Serves a request whose answer comes at once: at a plain service, or at an
 * engine without events. The answer is held until it is whole, so that a
 * replica that breaks off can be replaced before the caller saw a byte.
 */
import {DIRECT_EVENTS} from '../utils/events.js';
import {attemptCall} from './call_attempt.js';
import type {BufferedAnswer, CallOutcome} from './call_attempt.js';
import {chooseCallReplica} from './decide/choose_call_replica.js';
import type {AnswerHead} from './dispatch.js';
import type {Exchange} from './exchange.js';
import {
  callRequestOf,
  candidatesOf,
  giveUp,
  withLoads,
  brokenRunDigest,
  mayAttempt,
  refuseQuarantined,
  writeHead,
} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica} from './types.js';

/** Replicas that were tried, and those among them that were sent the request. */
interface Tried {
  readonly any: Set<string>;
  readonly sent: Set<string>;
}

/** Serves the request to its final answer. */
export async function serveCall(
  ctx: ServeContext,
  exchange: Exchange,
): Promise<void> {
  const tried: Tried = {any: new Set(), sent: new Set()};
  let failure: BufferedAnswer | undefined;
  ctx.budget.onFirstAttempt(ctx.retryRatio);
  while (!exchange.signal.aborted) {
    const replica = choose(ctx, exchange, tried);
    if (replica === undefined || !mayAttempt(ctx, exchange)) {
      endUnserved(ctx, exchange, failure, replica);
      return;
    }
    logChoice(ctx, exchange, replica);
    tried.any.add(replica.id);
    const outcome = await attemptCall(ctx, exchange, replica);
    if (outcome.kind !== 'not-sent') tried.sent.add(replica.id);
    if (settle(ctx, exchange, replica, outcome)) return;
    if (outcome.kind === 'answered') failure = outcome;
  }
}

/** A replica's own failure is the caller's answer where no try is left. */
function endUnserved(
  ctx: ServeContext,
  exchange: Exchange,
  failure: BufferedAnswer | undefined,
  replica: DirectReplica | undefined,
): void {
  if (failure !== undefined) {
    answer(ctx, exchange, failure.head, failure.body);
    return;
  }
  const none = replica === undefined;
  giveUp(ctx, exchange, none ? 'no replica left to try' : 'no more attempts');
}

/**
 * A replica that has not had the request; where there is none, one that had it
 * and may get it again. What failed by itself once is often answered at the
 * second try, at the same replica as well, and seldom at a third.
 */
function choose(
  ctx: ServeContext,
  exchange: Exchange,
  {any, sent}: Tried,
): DirectReplica | undefined {
  const {service, route} = exchange;
  const untried = candidatesOf(ctx, service, any);
  const candidates =
    untried.length > 0 || route.kind !== 'idempotent'
      ? untried
      : ctx.replicas.availableFor(service).filter(({id}) => sent.has(id));
  const req = callRequestOf(ctx, exchange);
  return chooseCallReplica(withLoads(ctx, candidates), req)?.replica;
}

function logChoice(
  ctx: ServeContext,
  exchange: Exchange,
  {id}: DirectReplica,
): void {
  ctx.log(DIRECT_EVENTS.dispatched, {
    requestId: exchange.id,
    replica: id,
    running: ctx.book.totalLoad(id).running,
    slowness: ctx.health.slowness(id),
    config: exchange.config.version,
  });
}

/** True when the request has its final answer, or needs none. */
function settle(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
  outcome: CallOutcome,
): boolean {
  switch (outcome.kind) {
    case 'answered':
      if (isRetriable(exchange, outcome.head)) {
        logFailed(ctx, exchange, replica, `status ${outcome.head.status}`);
        return false;
      }
      answer(ctx, exchange, outcome.head, outcome.body);
      return true;
    case 'passed-on':
    case 'ended':
      return true;
    case 'quarantined':
      refuseQuarantined(ctx, exchange);
      return true;
    case 'not-run':
    case 'not-sent':
      logFailed(ctx, exchange, replica, outcome.kind);
      return false;
    case 'broken':
      logFailed(ctx, exchange, replica, outcome.reason, outcome.kind);
      if (exchange.route.kind === 'idempotent') return false;
      giveUp(ctx, exchange, 'the replica broke off');
      return true;
  }
}

/** A replica's own failure may be that replica's alone. */
function isRetriable(exchange: Exchange, {status}: AnswerHead): boolean {
  return status >= 500 && exchange.route.kind === 'idempotent';
}

function logFailed(
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

function answer(
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
