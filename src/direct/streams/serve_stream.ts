/**
 * Serves a request whose answer is a stream of events. When the stream of a
 * route of kind `resumable-stream` breaks or falls silent, another replica
 * resumes it within the same answer, after the last event that was written to
 * the caller. On other routes a stream that breaks is given up.
 *
 * A silent replica may be sound and go on a moment later. Its run is therefore
 * kept open while another replica is sought and until that one has sent an
 * event, so that the answer never depends on whether a second replica is found.
 */
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {Exchange} from '../exchange.js';
import {placeRequest} from '../place_request.js';
import {followNewerRoute} from '../routes/newer_route.js';
import {
  giveUp,
  brokenRunDigest,
  refuseQuarantined,
  writeHead,
  writeStreamHead,
} from '../serve_context.js';
import type {ExcludedIds, ServeContext} from '../serve_context.js';
import {createOpenRuns} from './open_runs.js';
import type {EndedRun, OpenRuns} from './open_runs.js';
import type {StreamOutcome} from './stream_attempt.js';
import {startProgress} from './stream_progress.js';
import type {StreamProgress} from './stream_progress.js';

/** What one request's runs share. */
interface StreamState {
  readonly progress: StreamProgress;
  readonly runs: OpenRuns;
  /** Ids of replicas that were chosen before; further attempts exclude them. */
  readonly tried: Set<string>;
}

/** What came of the search for a replica. */
type SearchResult =
  | {readonly kind: 'started'}
  /** A run has gone on meanwhile, or the request has ended. */
  | {readonly kind: 'not-needed'}
  | {
      readonly kind: 'none';
      readonly reason: string;
      readonly retryAfterMs?: number;
    };

/**
 * Serves the request until its final answer, until its time is up or until the
 * caller leaves.
 */
export async function serveStream(
  ctx: ServeContext,
  exchange: Exchange,
): Promise<void> {
  const progress = startProgress(exchange);
  const runs = createOpenRuns(ctx, exchange, progress);
  const state: StreamState = {progress, runs, tried: new Set()};
  let search: Promise<SearchResult> | undefined;
  // Each request earns a share of a retry, and each attempt after the first takes
  // one, so that retries stay a share of all requests.
  ctx.budget.onFirstAttempt(ctx.retryRatio);
  while (!exchange.signal.aborted) {
    const ended = runs.takeEnded();
    if (ended !== undefined) {
      if (handleOutcome(ctx, exchange, state, ended)) return;
      continue;
    }
    if (search === undefined && runs.takeDue()) {
      search = seekAnother(ctx, exchange, state);
    }
    const result = await Promise.race(
      search === undefined ? [runs.changed()] : [runs.changed(), search],
    );
    if (result === undefined) continue;
    search = undefined;
    if (result.kind !== 'none' || exchange.signal.aborted) continue;
    if (runs.isIdle()) {
      if (followNewerRoute(ctx, exchange)) {
        search = seekAnother(ctx, exchange, state);
        continue;
      }
      giveUp(ctx, exchange, result.reason, result.retryAfterMs);
      return;
    }
    runs.noteNoOther(result.reason);
  }
}

/**
 * Starts another run. Nobody waits for the search once the request has ended, so
 * an error after that is only logged.
 */
async function seekAnother(
  ctx: ServeContext,
  exchange: Exchange,
  state: StreamState,
): Promise<SearchResult> {
  try {
    return await startAnother(ctx, exchange, state);
  } catch (err) {
    if (!exchange.signal.aborted) throw err;
    const cause = String(err);
    ctx.log(DIRECT_EVENTS.faulted, {requestId: exchange.id, cause});
    return {kind: 'not-needed'};
  }
}

/** Seeks a replica for another run and starts the run there. */
async function startAnother(
  ctx: ServeContext,
  exchange: Exchange,
  state: StreamState,
): Promise<SearchResult> {
  const {runs} = state;
  if (runs.isIdle()) followNewerRoute(ctx, exchange);
  const excluded = excludedReplicas(exchange, state);
  const isRetry = exchange.attempts > 0;
  if (excluded === undefined || (isRetry && ctx.budget.left() < 1)) {
    return {kind: 'none', reason: 'no more attempts'};
  }
  if (runs.count() > 0 && ctx.crashes.isQuarantined(exchange)) {
    return {kind: 'none', reason: 'quarantined'};
  }
  const isNeeded = () => !exchange.signal.aborted && runs.needsAnother();
  const search = {excluded, isNeeded, mayMove: () => runs.isIdle()};
  const result = await placeRequest(ctx, exchange, search);
  if (!isNeeded()) {
    if (result.kind === 'place') result.placement.close();
    return {kind: 'not-needed'};
  }
  if (result.kind === 'none') return result;
  const {placement} = result;
  if (isRetry && !ctx.budget.take()) {
    placement.close();
    return {kind: 'none', reason: 'no more attempts'};
  }
  state.tried.add(placement.replica.id);
  runs.start(placement);
  return {kind: 'started'};
}

/**
 * The replicas that may not be asked; undefined when none may. Where the route
 * allows no further replica, one that was superseded may be asked again.
 */
function excludedReplicas(
  {attempts, route}: Exchange,
  {runs: {superseded}, tried}: StreamState,
): ExcludedIds | undefined {
  if (attempts + superseded.size < route.maxAttempts) return tried;
  return superseded.size > 0 ? {has: id => !superseded.has(id)} : undefined;
}

/**
 * Returns true when nothing is left to do: the final answer was sent, or the
 * request ended before it. Returns false when another run may deliver it.
 */
function handleOutcome(
  ctx: ServeContext,
  exchange: Exchange,
  {progress, runs, tried}: StreamState,
  {replica, outcome}: EndedRun,
): boolean {
  const {res, route} = exchange;
  switch (outcome.kind) {
    // The stream is complete. It is written to the caller up to its last event.
    case 'whole':
      runs.cancelAll();
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
      if (runs.count() > 0) break;
      refuseQuarantined(ctx, exchange);
      return true;
    case 'failure':
      // The replica answered with an error status, which is passed on to the
      // caller if nothing was written to it yet and no other run can answer. If
      // the caller already has part of a stream, the error status cannot be sent
      // to it. The attempt then counts as failed and another may follow.
      if (res.headersSent || runs.count() > 0) break;
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
    replica: replica.id,
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
  if (outcome.kind === 'withdrawn') tried.delete(replica.id);
  if (isUnsent(outcome)) {
    if (exchange.attempts > 0) ctx.budget.giveBack();
    return false;
  }
  if (outcome.kind === 'not-run') return false;
  if (route.kind === 'resumable-stream') return false;
  giveUp(ctx, exchange, 'the replica broke off');
  return true;
}

/** Whether the attempt sent nothing to its replica. */
function isUnsent({kind}: StreamOutcome): boolean {
  return kind === 'not-sent' || kind === 'withdrawn' || kind === 'quarantined';
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
