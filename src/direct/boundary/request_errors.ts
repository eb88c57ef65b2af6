/**
 * The boundary of a request: an error of the entry in one of its callbacks ends
 * this request and no other. Its caller gets an answer, or a visible cut where a
 * part of one was sent. Each step of the end runs though another one fails.
 */
import type {ServerResponse} from 'node:http';
import {createGuard} from '../../utils/callback_guard.js';
import type {Guard} from '../../utils/callback_guard.js';
import {runEach} from '../../utils/run_each.js';
import {UnsentError} from '../callers/unsent_error.js';
import type {Exchange} from '../exchange.js';
import {giveUp} from '../serve_context.js';
import type {ServeContext} from '../serve_context.js';
import {ERROR_REASON, reportRequestError} from './error_report.js';

/** Stands for the code that a request's own promise runs. */
const SERVING = 'serving';

/** Ends a request that met an error outside of its attempts at replicas. */
export function endFailedRequest(
  ctx: ServeContext,
  exchange: Exchange,
  err: unknown,
  callback = SERVING,
): void {
  reportRequestError(ctx, {requestId: exchange.id, callback}, err);
  const isUnsent = exchange.attempts === 0 || err instanceof UnsentError;
  exchange.mayHaveRun ||= !isUnsent;
  endRequest(ctx, exchange);
}

function endRequest(ctx: ServeContext, exchange: Exchange): void {
  const {res} = exchange;
  // The whole answer has been written.
  if (res.writableEnded) return;
  const isWell = runEach([() => giveUp(ctx, exchange, ERROR_REASON)]);
  if (!isWell) runEach([() => exchange.end('answered'), () => cut(res)]);
}

function cut(res: ServerResponse): void {
  if (res.socket) res.socket.resetAndDestroy();
  else res.destroy();
}

/** One attempt at a replica, as its guard ends it. */
export interface GuardedAttempt {
  readonly replicaId: string;
  /** Of the replica's answer, if it has begun. */
  status(): number | undefined;
  /** Ends the run at the replica. */
  cancelRun(): void;
  /**
   * Ends the attempt without an answer, though it may have ended already: an
   * error may have kept its end from the request.
   */
  settle(): void;
}

/**
 * Guard of the callbacks of one attempt. The replica may be at fault, by an
 * answer that the entry can't handle, so its health is told. Where nothing was
 * sent to the caller, another attempt may follow. Otherwise the answer is cut:
 * it is not known which of its events the caller has.
 */
export function createAttemptGuard(
  ctx: ServeContext,
  exchange: Exchange,
  attempt: GuardedAttempt,
): Guard {
  return createGuard((err, callback) => {
    const {replicaId} = attempt;
    const place = {
      requestId: exchange.id,
      callback,
      replica: replicaId,
      status: attempt.status(),
    };
    reportRequestError(ctx, place, err);
    exchange.mayHaveRun = true;
    runEach([
      () => ctx.health.failed(replicaId),
      () => exchange.res.headersSent && endRequest(ctx, exchange),
      attempt.cancelRun,
      attempt.settle,
    ]);
  });
}
