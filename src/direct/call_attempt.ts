/**
 * One try of a call at one replica. The answer is held until it is whole, but
 * for large ones, which are passed on as they come.
 */
import type {AnswerHead} from './dispatch.js';
import type {Exchange} from './exchange.js';
import {plainCallAssignment} from './load_tracker.js';
import {dispatchRequest, judgeHead, writeHead} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica} from './types.js';

/** Larger answers go on as they come, once so much of them is there. */
const HELD_BYTES = 1024 * 1024;

/** A whole answer. */
export interface Answered {
  readonly kind: 'answered';
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** How one try ended. */
export type CallOutcome =
  | Answered
  | {readonly kind: 'passed-on'}
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  | {readonly kind: 'not-sent'; readonly reason: string}
  | {readonly kind: 'broken'; readonly reason: string}
  /** Requests like it crash replicas: it was not sent. */
  | {readonly kind: 'quarantined'}
  | {readonly kind: 'ended'};

/** Sends the request and takes its answer until the try ends. */
export function tryCall(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
): Promise<CallOutcome> {
  const {isTrial} = exchange;
  if (!ctx.crashes.maySend(exchange)) {
    return Promise.resolve({kind: 'quarantined'});
  }
  const {health, losses, book, clock, metrics, callTimes} = ctx;
  const {service} = exchange;
  const startedAt = clock.now();
  const work = book.assign(plainCallAssignment(replica.id, Infinity));
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
      ctx.crashes.left(exchange, replica);
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
        ctx.crashes.ranWell(exchange);
        exchange.res.end();
        finish({kind: 'passed-on'});
        return;
      }
      if (head !== undefined && head.status < 500) {
        ctx.crashes.ranWell(exchange);
      }
      const tookMs = clock.now() - startedAt;
      health.answered(replica.id, tookMs, callTimes.usualMs(service));
      callTimes.took(service, tookMs);
      metrics.observe('onyxloft_direct_call_ms', {}, tookMs);
      if (head === undefined) return;
      finish({kind: 'answered', head, body: Buffer.concat(held)});
    };
    const onBroken = (sent: boolean, reason: string) => {
      health.failed(replica.id);
      if (!sent) {
        exchange.sent--;
        exchange.isTrial = isTrial;
        finish({kind: 'not-sent', reason});
        return;
      }
      exchange.mayHaveRun = true;
      ctx.crashes.broke(exchange, replica);
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
