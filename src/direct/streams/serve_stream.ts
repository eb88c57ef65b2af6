/**
 * Serves a request whose answer is a stream of events. When the stream of a
 * route of kind `resumable-stream` breaks or stalls, another replica resumes it
 * within the same answer, after the last event that was written to the caller.
 * On other routes a stream that breaks or stalls is given up.
 */
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {Exchange} from '../exchange.js';
import {placeRequest} from '../place_request.js';
import type {RequestPlacement} from '../request_placement.js';
import {
  giveUp,
  brokenRunDigest,
  mayAttempt,
  refuseQuarantined,
  writeHead,
  writeStreamHead,
} from '../serve_context.js';
import type {ServeContext} from '../serve_context.js';
import {attemptStream} from './stream_attempt.js';
import type {StreamOutcome} from './stream_attempt.js';
import {startProgress} from './stream_progress.js';
import type {StreamProgress} from './stream_progress.js';

/**
 * Serves the request until its final answer, until its time is up or until the
 * caller leaves.
 */
export async function serveStream(
  ctx: ServeContext,
  exchange: Exchange,
): Promise<void> {
  /** Ids of replicas that were chosen before; further attempts exclude them. */
  const tried = new Set<string>();
  const progress = startProgress(exchange);
  // Each request earns a share of a retry. `mayAttempt` takes one retry for each
  // attempt after the first, so that retries stay a share of all requests.
  ctx.budget.onFirstAttempt(ctx.retryRatio);
  while (!exchange.signal.aborted) {
    if (!mayAttempt(ctx, exchange)) {
      giveUp(ctx, exchange, 'no more attempts');
      return;
    }
    const result = await placeRequest(ctx, exchange, tried);
    if (result.kind === 'none') {
      const {reason, retryAfterMs} = result;
      if (!exchange.signal.aborted) giveUp(ctx, exchange, reason, retryAfterMs);
      return;
    }
    const {placement} = result;
    tried.add(placement.replica.id);
    const outcome = await attemptAtPlacement(
      ctx,
      exchange,
      placement,
      progress,
    );
    if (outcome.kind === 'withdrawn') tried.delete(placement.replica.id);
    if (handleOutcome(ctx, exchange, placement, outcome, progress)) return;
  }
}

/** Runs one attempt and closes its placement, also after an internal error. */
async function attemptAtPlacement(
  ctx: ServeContext,
  exchange: Exchange,
  placement: RequestPlacement,
  progress: StreamProgress,
): Promise<StreamOutcome> {
  try {
    if (exchange.signal.aborted) return {kind: 'ended'};
    return await attemptStream(ctx, exchange, placement, progress);
  } finally {
    placement.close();
  }
}

/**
 * Returns true when nothing is left to do: the final answer was sent, or the
 * request ended before it. Returns false when another attempt may follow.
 */
function handleOutcome(
  ctx: ServeContext,
  exchange: Exchange,
  placement: RequestPlacement,
  outcome: StreamOutcome,
  progress: StreamProgress,
): boolean {
  const {res, route} = exchange;
  switch (outcome.kind) {
    // The stream is complete. It is written to the caller up to its last event.
    case 'whole':
      logAnswered(ctx, exchange, 200, progress);
      // The headers are written with the first event. If there was no event,
      // they are not yet written.
      if (!res.headersSent) writeStreamHead(ctx, exchange, outcome.head);
      res.end();
      return true;
    // The request ended before its answer was complete: its time is up or the
    // caller left. No answer is written here.
    case 'ended':
      return true;
    case 'quarantined':
      refuseQuarantined(ctx, exchange);
      return true;
    case 'failure':
      // The replica answered with an error status, which is passed on to the
      // caller if nothing was written to it yet. If the caller already has part
      // of a stream, the error status cannot be sent to it. The attempt then
      // counts as failed and another may follow.
      if (res.headersSent) break;
      logAnswered(ctx, exchange, outcome.head.status, progress);
      writeHead(ctx, res, outcome.head, outcome.body.length);
      res.end(outcome.body);
      return true;
    // Every other outcome is a failed attempt and is handled below.
    default:
  }
  const reason = 'reason' in outcome ? outcome.reason : outcome.kind;
  ctx.log(DIRECT_EVENTS.tryFailed, {
    requestId: exchange.id,
    replica: placement.replica.id,
    reason,
    faultAt: 'faultAt' in outcome ? outcome.faultAt : undefined,
    events: progress.events,
    // Shows in the log which broken attempts were for equal requests.
    digest: brokenRunDigest(exchange, outcome.kind),
    elapsedMs: Math.round(exchange.elapsedMs()),
  });
  ctx.metrics.count('onyxloft_direct_tries_failed_total', {
    kind: outcome.kind,
  });
  // In these cases another replica may run the request: `not-run` is a
  // replica's refusal, `not-sent` is a connection that was never established,
  // and `withdrawn` is a request that was taken back before that.
  if (outcome.kind === 'not-run' || outcome.kind === 'not-sent') return false;
  if (outcome.kind === 'withdrawn') return false;
  if (route.kind === 'resumable-stream') return false;
  giveUp(ctx, exchange, 'the replica broke off');
  return true;
}

/** Logs the final answer of a request. */
function logAnswered(
  ctx: ServeContext,
  exchange: Exchange,
  status: number,
  progress: StreamProgress,
): void {
  ctx.log(DIRECT_EVENTS.answered, {
    requestId: exchange.id,
    status,
    events: progress.events,
    firstEventMs: Math.round(progress.firstEventMs),
    longestPauseMs: Math.round(progress.longestPauseMs),
    sent: exchange.attempts,
    elapsedMs: Math.round(exchange.elapsedMs()),
  });
}
