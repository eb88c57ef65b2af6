/**
 * Serves a request whose answer comes at once: at a plain service, or at an
 * engine without events. The answer is held until it is whole, so that a
 * replica that breaks off can be replaced before the caller saw a byte.
 */
import {DIRECT_EVENTS} from '../utils/events.js';
import {CALL_MS, chooseForCall} from './decide/choose_call.js';
import type {AnswerHead} from './dispatch.js';
import type {Exchange} from './exchange.js';
import {callWork} from './load_book.js';
import {
  candidatesOf,
  dispatchRequest,
  giveUp,
  judgeHead,
  loadsOf,
  mayTry,
  writeHead,
} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica} from './types.js';

/** Larger answers go on as they come, once so much of them is there. */
const HELD_BYTES = 1024 * 1024;

/** A whole answer. */
interface Answered {
  readonly kind: 'answered';
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** How one try ended. */
type CallOutcome =
  | Answered
  | {readonly kind: 'passed-on'}
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  | {readonly kind: 'not-sent'; readonly reason: string}
  | {readonly kind: 'broken'; readonly reason: string}
  | {readonly kind: 'ended'};

/** Serves the request to its final answer. */
export async function serveCall(
  ctx: ServeContext,
  exchange: Exchange,
): Promise<void> {
  const tried = new Set<string>();
  let failure: Answered | undefined;
  ctx.budget.onFirstAttempt(ctx.retryRatio);
  while (!exchange.signal.aborted) {
    const replica = choose(ctx, exchange, tried);
    if (replica === undefined || !mayTry(ctx, exchange)) {
      endUnserved(ctx, exchange, failure, replica);
      return;
    }
    logChoice(ctx, exchange, replica);
    tried.add(replica.id);
    const outcome = await tryOnce(ctx, exchange, replica);
    if (settle(ctx, exchange, replica, outcome)) return;
    if (outcome.kind === 'answered') failure = outcome;
  }
}

/** A replica's own failure is the caller's answer where no try is left. */
function endUnserved(
  ctx: ServeContext,
  exchange: Exchange,
  failure: Answered | undefined,
  replica: DirectReplica | undefined,
): void {
  if (failure !== undefined) {
    answer(ctx, exchange, failure.head, failure.body);
    return;
  }
  const none = replica === undefined;
  giveUp(ctx, exchange, none ? 'no replica left to try' : 'no more attempts');
}

function choose(
  ctx: ServeContext,
  exchange: Exchange,
  tried: ReadonlySet<string>,
): DirectReplica | undefined {
  const candidates = loadsOf(ctx, candidatesOf(ctx, exchange.service, tried));
  return chooseForCall(candidates, ctx.failureDomain, () => ctx.random.next())
    ?.replica;
}

function logChoice(
  ctx: ServeContext,
  exchange: Exchange,
  {id}: DirectReplica,
): void {
  ctx.log(DIRECT_EVENTS.dispatched, {
    requestId: exchange.id,
    replica: id,
    running: ctx.book.of(id).running,
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
    case 'not-run':
    case 'not-sent':
      logFailed(ctx, exchange, replica, outcome.kind);
      return false;
    case 'broken':
      logFailed(ctx, exchange, replica, outcome.reason);
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
): void {
  const elapsedMs = Math.round(exchange.elapsedMs());
  ctx.log(DIRECT_EVENTS.tryFailed, {
    requestId: exchange.id,
    replica: replica.id,
    reason,
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

function tryOnce(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
): Promise<CallOutcome> {
  const {health, losses, book, clock, metrics} = ctx;
  const startedAt = clock.now();
  const work = book.enter(callWork(replica.id, Infinity));
  exchange.sent++;
  return new Promise(resolve => {
    let head: AnswerHead | undefined;
    let held: Buffer[] = [];
    let bytes = 0;
    let passing = false;

    const finish = (outcome: CallOutcome) => {
      work.end();
      stopWatching();
      exchange.signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const onAbort = () => {
      exchange.mayHaveRun = true;
      dispatch.cancel();
      finish({kind: 'ended'});
    };
    const startPassing = (of: AnswerHead) => {
      passing = true;
      writeHead(ctx, exchange.res, of);
      for (const piece of held) exchange.res.write(piece);
      held = [];
    };
    const onHead = (came: AnswerHead) => {
      head = came;
      const verdict = judgeHead(ctx, exchange, came);
      if (verdict.kind === 'success' || verdict.kind === 'failure') return;
      dispatch.cancel();
      if (verdict.kind === 'not-run') {
        finish(verdict);
        return;
      }
      health.failed(replica.id);
      finish({kind: 'broken', reason: verdict.reason});
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      if (!passing) held.push(chunk);
      if (!passing && bytes > HELD_BYTES && head !== undefined) {
        startPassing(head);
        return;
      }
      if (!passing || exchange.res.write(chunk)) return;
      dispatch.pause();
      exchange.res.once('drain', () => dispatch.resume());
    };
    const onEnd = () => {
      if (passing) {
        exchange.res.end();
        finish({kind: 'passed-on'});
        return;
      }
      const tookMs = clock.now() - startedAt;
      health.answered(replica.id, tookMs, CALL_MS);
      metrics.observe('onyxloft_direct_call_ms', {}, tookMs);
      if (head === undefined) return;
      finish({kind: 'answered', head, body: Buffer.concat(held)});
    };
    const onBroken = (sent: boolean, reason: string) => {
      health.failed(replica.id);
      if (!sent) {
        exchange.sent--;
        finish({kind: 'not-sent', reason});
        return;
      }
      exchange.mayHaveRun = true;
      if (passing) exchange.res.destroy();
      finish({kind: passing ? 'passed-on' : 'broken', reason});
    };
    const spec = dispatchRequest(ctx, exchange, replica, undefined, []);
    const dispatch = ctx.dispatch(spec, clock, {
      onHead,
      onData,
      onEnd,
      onBroken,
    });
    // Its connection may stay silent without a reset.
    const stopWatching = losses.watch(replica.id, () => {
      dispatch.cancel();
      onBroken(true, 'the replica restarted');
    });
    exchange.signal.addEventListener('abort', onAbort);
  });
}
