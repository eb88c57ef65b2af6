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
import {callerTimeoutMs} from '../decide/caller_timeout.js';
import {DIAL_TIMED_OUT} from '../dispatch.js';
import type {Exchange} from '../exchange.js';
import {createUndialledReplicas} from '../health/undialled_replicas.js';
import type {UndialledReplicas} from '../health/undialled_replicas.js';
import {placeRequest} from '../place_request.js';
import type {ReplicaSearch} from '../place_request.js';
import {followNewerRoute} from '../routes/newer_route.js';
import {
  REPLICA_FAILED,
  giveUp,
  brokenRunDigest,
  isTooLateToBegin,
  refuseQuarantined,
  writeHead,
  writeStreamHead,
} from '../serve_context.js';
import type {ServeContext} from '../serve_context.js';
import {STOPPING_REASON, STOPPING_RETRY_MS} from '../stop/stop_guard.js';
import {createOpenRuns} from './open_runs.js';
import type {EndedRun, OpenRuns} from './open_runs.js';
import {isUnsent} from './stream_attempt.js';
import type {StreamOutcome} from './stream_attempt.js';
import {startProgress} from './stream_progress.js';
import type {StreamProgress} from './stream_progress.js';

/** What one request's runs share. */
interface StreamState {
  readonly progress: StreamProgress;
  readonly runs: OpenRuns;
  /** Ids of replicas that were chosen before; further attempts exclude them. */
  readonly tried: Set<string>;
  readonly undialled: UndialledReplicas;
  /** The last error that a replica answered while another run was open. */
  failure: ReplicaFailure | undefined;
}

type ReplicaFailure = Extract<StreamOutcome, {readonly kind: 'failure'}>;

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
  const state: StreamState = {
    progress,
    runs,
    tried: new Set(),
    undialled: createUndialledReplicas(ctx.clock),
    failure: undefined,
  };
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
      if (!sendFailure(ctx, exchange, state)) {
        giveUp(ctx, exchange, result.reason, result.retryAfterMs);
      }
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
  const choosable = choosableReplicas(ctx, exchange, state);
  const isRetry = exchange.attempts > 0;
  if (choosable === undefined || (isRetry && ctx.budget.left() < 1)) {
    return {kind: 'none', reason: 'no more attempts'};
  }
  if (runs.count() > 0 && ctx.crashes.isQuarantined(exchange)) {
    return {kind: 'none', reason: 'quarantined'};
  }
  const isNeeded = () => !exchange.signal.aborted && runs.needsAnother();
  const result = await placeRequest(ctx, exchange, {
    ...choosable,
    isNeeded,
    mayMove: () => runs.isIdle(),
  });
  if (!isNeeded()) {
    if (result.kind === 'place') result.placement.close();
    return {kind: 'not-needed'};
  }
  if (result.kind === 'none') return result;
  const {placement} = result;
  if (runs.isIdle() && isTooLateToBegin(ctx, exchange)) {
    placement.close();
    const retryAfterMs = STOPPING_RETRY_MS;
    return {kind: 'none', reason: STOPPING_REASON, retryAfterMs};
  }
  if (isRetry && !ctx.budget.take()) {
    placement.close();
    return {kind: 'none', reason: 'no more attempts'};
  }
  state.tried.add(placement.replica.id);
  state.undialled.dialling(placement.replica.id);
  runs.start(placement);
  return {kind: 'started'};
}

/**
 * The replicas that may be asked; undefined when none may. Where the route
 * allows no further replica, one that was asked before may be asked again.
 */
function choosableReplicas(
  ctx: ServeContext,
  exchange: Exchange,
  state: StreamState,
): Pick<ReplicaSearch, 'excluded' | 'isLastResort'> | undefined {
  const {attempts, route} = exchange;
  const {askable, uncountedReplicas} = state.runs;
  if (attempts + uncountedReplicas() < route.maxAttempts) {
    const isLastResort = (id: string) =>
      isDialledAgain(ctx, exchange, state, id);
    return {excluded: state.tried, isLastResort};
  }
  if (askable.size === 0) return undefined;
  const excluded = {has: (id: string) => !askable.has(id)};
  return {excluded, isLastResort: () => false};
}

/**
 * Whether the replica, whose host accepted no connection, is dialled again
 * where no other one is left. It is not once the caller has stopped waiting.
 */
function isDialledAgain(
  {clock}: ServeContext,
  exchange: Exchange,
  {progress, tried, undialled}: StreamState,
  replicaId: string,
): boolean {
  const waitedMs = clock.now() - progress.lastEventAt;
  return (
    tried.has(replicaId) &&
    waitedMs < callerTimeoutMs(exchange.route) &&
    undialled.mayDialAgain(replicaId, exchange.timeLeftMs())
  );
}

/**
 * Returns true when nothing is left to do: the final answer was sent, or the
 * request ended before it. Returns false when another run may deliver it.
 */
function handleOutcome(
  ctx: ServeContext,
  exchange: Exchange,
  state: StreamState,
  {replica, outcome}: EndedRun,
): boolean {
  const {progress, runs, tried, undialled} = state;
  const {res, route} = exchange;
  const timedOut =
    outcome.kind === 'not-sent' && outcome.reason === DIAL_TIMED_OUT;
  undialled.dialled(replica.id, timedOut);
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
      if (!sendFailure(ctx, exchange, state)) refuseQuarantined(ctx, exchange);
      return true;
    case 'failure':
      // The replica answered with an error status, which is passed on to the
      // caller if nothing was written to it yet and no other run can answer. If
      // the caller already has part of a stream, the error status cannot be sent
      // to it. The attempt then counts as failed and another may follow.
      state.failure = outcome;
      if (runs.count() > 0) break;
      if (sendFailure(ctx, exchange, state)) return true;
      break;
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
  const isWithheld = outcome.kind === 'withheld';
  const cause = isWithheld ? REPLICA_FAILED : 'the replica broke off';
  giveUp(ctx, exchange, cause);
  return true;
}

/**
 * Passes on the error that a replica answered. Returns false where there is none
 * or where the caller already has a part of a stream.
 */
function sendFailure(
  ctx: ServeContext,
  exchange: Exchange,
  {failure, progress}: StreamState,
): boolean {
  const {res} = exchange;
  if (failure === undefined || res.headersSent) return false;
  const {head, body} = failure;
  logAnswered(ctx, exchange, head.status, progress);
  writeHead(ctx, res, head, body.length);
  res.end(body);
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
