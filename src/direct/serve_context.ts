/** State of the entry that serving a request needs, and shared steps of it. */
import type {ServerResponse} from 'node:http';
import type {RetryBudget} from '../limits/retry_budget.js';
import type {Clock, Log, Metrics, Random} from '../types/runtime.js';
import {answerEnd, isTransferCoded} from '../utils/answer_end.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {
  NO_FINAL_STATUS,
  isFinalStatus,
  isSuccess,
} from '../utils/final_status.js';
import {
  canPassOn,
  callerHeaders,
  endToEndHeaders,
  readsChunks,
  withoutLength,
} from './answers/answer_head.js';
import {isFalsePromise} from './answers/false_promise.js';
import {connectionOf} from './callers/connection_name.js';
import {beforeSending} from './callers/unsent_error.js';
import type {ColdReplicas} from './cold/cold_replicas.js';
import type {CrashWatch} from './crashes/crash_watch.js';
import type {CallCandidate, CallRequest} from './decide/choose_call_replica.js';
import type {EngineCandidate} from './decide/score_engine.js';
import type {Fullness} from './decide/place_or_wait.js';
import type {RequestWeights} from './decide/request_weights.js';
import type {
  AnswerHead,
  Dispatch,
  DispatchRequest,
  OpenDispatch,
} from './dispatch.js';
import type {Exchange} from './exchange.js';
import type {ReplicaGate} from './gate/replica_gate.js';
import type {ReplicaTable} from './replica_table.js';
import type {Groups} from './groups.js';
import type {LoadTracker} from './load_tracker.js';
import type {PlacementPollPace} from './placement_poll_pace.js';
import type {CallTimes} from './health/call_times.js';
import {sendLocalAnswer} from './local_answers.js';
import {STOPPING_REASON, STOPPING_RETRY_MS} from './stop/stop_guard.js';
import type {StopGuard} from './stop/stop_guard.js';
import {shortDigest} from './crashes/request_digest.js';
import type {ReplicaHealth} from './replica_health.js';
import type {ReplicaLimits} from './limits/replica_limits.js';
import type {RequestPermits} from './limits/request_permits.js';
import type {ReplicaLosses} from './replica_losses.js';
import type {RequestShares} from './shares/request_shares.js';
import {QUARANTINE_MS} from './crashes/suspect_table.js';
import type {
  DirectConfig,
  DirectReplica,
  GroupMember,
  HeaderCodec,
} from './types.js';

export interface ServeContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly codec: HeaderCodec;
  readonly dispatch: OpenDispatch;
  readonly failureDomain: string;
  readonly replicas: ReplicaTable;
  readonly health: ReplicaHealth;
  readonly limits: ReplicaLimits;
  readonly permits: RequestPermits;
  readonly gate: ReplicaGate;
  readonly cold: ColdReplicas;
  readonly losses: ReplicaLosses;
  readonly crashes: CrashWatch;
  readonly loadTracker: LoadTracker;
  readonly requestWeights: RequestWeights;
  readonly fullness: Fullness | undefined;
  /** Undefined where organisations have no shares. */
  readonly shares: RequestShares | undefined;
  /** Durations of calls to services of engines. */
  readonly callTimes: CallTimes;
  readonly pollPace: PlacementPollPace;
  readonly groups: Groups;
  readonly budget: RetryBudget;
  /** Retries that each request adds to the budget. */
  readonly retryRatio: number;
  readonly stop: StopGuard;
  /** Undefined while there is none. */
  newestConfig(): DirectConfig | undefined;
  /** Whether the connection closes after this answer. */
  closesAfter(res: ServerResponse): boolean;
}

/**
 * Largest priority value, the least urgent, which also counts for a request
 * that names none. Larger values are sent as this.
 */
const MAX_PRIORITY = 9;

/** Reason of an end where the replica's own failure can't be passed on. */
export const REPLICA_FAILED = 'the replica failed';

/** Replicas that may be chosen, in groups by order of preference. */
export type CandidateGroups = ReadonlyArray<readonly DirectReplica[]>;

/**
 * Where so many engines name no request limit, groups are of these alone. A
 * group costs a helper three requests: two for its memory, and the part.
 */
const MIN_UNLIMITED_FOR_GROUPS = 8;

/** Tells which replicas may not be chosen, by their ids. */
export type ExcludedIds = Pick<ReadonlySet<string>, 'has'>;

/** Replicas for the next attempt: healthy ones, and then the others. */
export function candidatesOf(
  {replicas, health}: ServeContext,
  service: string,
  excluded: ExcludedIds,
): CandidateGroups {
  const eligible = replicas
    .availableFor(service)
    .filter(({id}) => !excluded.has(id));
  return [
    eligible.filter(({id}) => !health.isSuspect(id)),
    eligible.filter(({id}) => health.isSuspect(id)),
  ];
}

/** Adds to each replica its known load, slowness and share of failures. */
export function withLoads(
  {loadTracker, health, limits, gate}: ServeContext,
  replicas: readonly DirectReplica[],
): readonly (EngineCandidate & CallCandidate)[] {
  const isUnlimited = ({id}: DirectReplica) => limits.limitOf(id) === undefined;
  const unlimited = replicas.filter(isUnlimited);
  const hasGroup = unlimited.length >= MIN_UNLIMITED_FOR_GROUPS;
  return replicas.map(replica => ({
    replica,
    load: loadTracker.totalLoad(replica.id),
    slowness: health.slowness(replica.id),
    brokenShare: health.brokenShare(replica.id),
    // A helper that is shutting down refuses its part.
    joinsGroups:
      (!hasGroup || isUnlimited(replica)) && !gate.isLeaving(replica.id),
  }));
}

/** The request's parameters for choosing a replica for a call. */
export function callRequestOf(
  {callTimes, failureDomain, random}: ServeContext,
  {route, service}: Exchange,
): CallRequest {
  return {
    failureDomain,
    usualMs: callTimes.usualMs(service),
    aimMs: route.aimMs,
    isOnce: route.kind === 'once',
    draw: () => random.next(),
  };
}

/**
 * The digest for the log line of a broken attempt; undefined for other
 * outcomes. Equal requests have the same digest under all their ids.
 */
export function brokenRunDigest(
  exchange: Exchange,
  outcome: string | undefined,
): string | undefined {
  return outcome === 'broken' ? shortDigest(exchange.digest()) : undefined;
}

/**
 * Whether the request may be sent to a replica. Each attempt after the first
 * takes a retry from the budget.
 */
export function mayAttempt(
  ctx: ServeContext,
  {attempts, route}: Exchange,
): boolean {
  if (attempts === 0) return true;
  return attempts < route.maxAttempts && ctx.budget.take();
}

/**
 * Whether the request, which no replica has run, would not end before this entry
 * does.
 */
export function isTooLateToBegin(ctx: ServeContext, exchange: Exchange) {
  return !exchange.mayHaveRun && ctx.stop.refuses(exchange);
}

/** Refuses a request that would not end before this entry does. */
export function refuseAtStop(ctx: ServeContext, exchange: Exchange): void {
  giveUp(ctx, exchange, STOPPING_REASON, STOPPING_RETRY_MS);
}

/** Builds the request that is sent to the replica. */
export function buildDispatch(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
  lastEventId: string | undefined,
  helpers: readonly GroupMember[],
): DispatchRequest {
  const {req, body, route, owner} = exchange;
  const priority = owner?.priority ?? route.priority;
  const facts = {
    replicaName: replica.name,
    organisation: owner?.organisation,
    timeLeftMs: exchange.timeLeftMs(),
    priority: Math.min(MAX_PRIORITY, Math.max(0, priority)),
    lastEventId,
    helpers,
  };
  const headers = beforeSending(() =>
    ctx.codec.dispatchHeaders(req.rawHeaders, facts),
  );
  const needsContentLength =
    body.length > 0 ||
    req.headers['content-length'] !== undefined ||
    req.headers['transfer-encoding'] !== undefined;
  return {
    address: replica.address,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: needsContentLength
      ? [...headers, 'Content-Length', String(body.length)]
      : headers,
    body,
  };
}

/** Class of an answer, by its status and headers. */
export type HeadVerdict =
  | {readonly kind: 'success'}
  | {readonly kind: 'failure'}
  /** The replica states that it did not run the request. */
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  /**
   * An answer to another request, one without a final status, or another one that
   * must not be forwarded.
   */
  | {readonly kind: 'foreign'; readonly reason: string}
  /** A failure whose status must not reach the caller; see `false_promise.ts`. */
  | {readonly kind: 'withheld'; readonly reason: string};

/** The replica that a request was sent to, and when. */
export interface SentTo {
  readonly replicaId: string;
  /** On this process's clock, in milliseconds. */
  readonly sentAt: number;
}

/**
 * Classifies an answer by its head. Unless the replica states that it did not
 * run the request, the request is marked as possibly run. An answer without a
 * final status states nothing.
 */
export function classifyHead(
  {codec, limits, gate, cold}: ServeContext,
  exchange: Exchange,
  {replicaId, sentAt}: SentTo,
  head: AnswerHead,
): HeadVerdict {
  const {status, headers} = head;
  if (!isFinalStatus(status)) {
    exchange.mayHaveRun = true;
    return {kind: 'foreign', reason: NO_FINAL_STATUS};
  }
  const facts = codec.readAnswer(status, headers);
  const isFromReplica = facts.requestId === exchange.id;
  // An encoded body is not the replica's, but its headers are.
  if (isFromReplica && facts.notices !== undefined) {
    const answer = {sentAt, isTurnedAway: facts.notRun};
    gate.answered(replicaId, answer, facts.notices);
    const {cold: stated = {kind: 'none'}} = facts.notices;
    cold.answered(replicaId, sentAt, stated);
  }
  const isOwn = isFromReplica && !facts.encoded;
  if (isOwn && facts.requestLimit !== undefined) {
    limits.answered(replicaId, sentAt, facts.requestLimit);
  }
  if (isOwn && facts.notRun) return {kind: 'not-run', faultAt: facts.faultAt};
  exchange.mayHaveRun = true;
  if (!isOwn) return {kind: 'foreign', reason: 'an answer to another request'};
  // The caller gets only plain bytes: with the coding's name dropped, as that of
  // one connection, it would take these for them.
  if (isTransferCoded(exchange.req.method, head)) {
    return {kind: 'foreign', reason: 'an answer in a transfer coding'};
  }
  if (!canPassOn(head)) {
    return {kind: 'foreign', reason: 'headers that cannot be passed on'};
  }
  if (isFalsePromise(exchange, status)) {
    return {kind: 'withheld', reason: `status ${status} behind a run`};
  }
  if (!isSuccess(status)) return {kind: 'failure'};
  return facts.signed
    ? {kind: 'success'}
    : {kind: 'foreign', reason: 'an unsigned success'};
}

/**
 * Sends a replica's status and headers to the caller. `length` is the length of
 * a complete body, in bytes.
 */
export function writeHead(
  ctx: ServeContext,
  res: ServerResponse,
  head: AnswerHead,
  length?: number,
): void {
  const headers = [...callerHeaders(head)];
  const end = answerEnd(res.req.method, head);
  // An answer without a length ends when its connection closes, so a truncated
  // one looks complete. If a length or chunked coding were added here, the
  // caller would trust a truncated answer. The replica's framing is kept.
  const endsWithConnection = end === 'connection';
  if (endsWithConnection) res.removeHeader('Transfer-Encoding');
  else if (end === 'chunks' && length !== undefined) {
    headers.push('Content-Length', String(length));
  }
  if (ctx.closesAfter(res) || endsWithConnection) {
    headers.push('Connection', 'close');
  }
  res.writeHead(head.status, headers);
}

/**
 * Sends the status and headers of a stream. One without a length, or whose
 * length may change, is sent in chunks: its events show whether it is complete,
 * and its last chunk is written only then. Otherwise a stream would look complete if this process were killed
 * in the middle.
 */
export function writeStreamHead(
  ctx: ServeContext,
  {req, res, route}: Exchange,
  head: AnswerHead,
): void {
  const end = answerEnd(req.method, head);
  // Another replica, which may go on with it, sends other bytes than the length
  // counts.
  const mayBeResumed = route.kind === 'resumable-stream';
  const isChunkedHere =
    end === 'connection' || (end === 'length' && mayBeResumed);
  if (!isChunkedHere || !readsChunks(req)) {
    writeHead(ctx, res, head);
    return;
  }
  chunkedHere.add(res);
  const headers = [...withoutLength(endToEndHeaders(head))];
  if (ctx.closesAfter(res)) headers.push('Connection', 'close');
  res.writeHead(head.status, headers);
}

/** Answers whose chunks are not the replica's. */
const chunkedHere = new WeakSet<ServerResponse>();

/** Refuses a quarantined request, which is not sent to a replica. */
export function refuseQuarantined(ctx: ServeContext, exchange: Exchange): void {
  const reason = 'requests like this one crash replicas';
  if (exchange.mayHaveRun) {
    giveUp(ctx, exchange, reason);
    return;
  }
  const refusal = ctx.crashes.refusalOf(exchange);
  const kind = refusal?.subject.type.kind ?? 'request';
  ctx.log(DIRECT_EVENTS.quarantineRefused, {
    requestId: exchange.id,
    digest: shortDigest(refusal?.subject.digest ?? exchange.digest()),
    kind,
  });
  ctx.metrics.count('onyxloft_direct_quarantine_refused_total', {kind});
  exchange.end('answered');
  sendLocalAnswer(exchange.res, {
    status: 429,
    message: reason,
    close: ctx.closesAfter(exchange.res),
    retryAfterMs: refusal?.retryAfterMs ?? QUARANTINE_MS,
  });
}

/**
 * Cuts an answer off, since a normal end would look like a whole one. Where the
 * replica's answer has no chunks, the connection is reset.
 */
export function cutAnswer(res: ServerResponse): void {
  const hasChunks = res.chunkedEncoding && !chunkedHere.has(res);
  if (hasChunks || !res.socket) res.destroy();
  else res.socket.resetAndDestroy();
}

/**
 * Notes a replica whose answer was so much work that it did not come whole in the
 * time that the request had.
 */
export function noteIfTooLate(
  {health}: ServeContext,
  {signal}: Exchange,
  replicaId: string,
  dispatch: Pick<Dispatch, 'isInTurns'>,
): void {
  if (signal.reason !== 'time is up' || !dispatch.isInTurns?.()) return;
  health.failed(replicaId);
  health.flooded(replicaId);
}

/**
 * Ends a request that no replica answered. Sends an error to the caller, or
 * closes the connection if a part of an answer has been sent.
 */
export function giveUp(
  ctx: ServeContext,
  exchange: Exchange,
  reason: string,
  retryAfterMs?: number,
): void {
  const {res, id} = exchange;
  const ran = exchange.mayHaveRun ? 'unknown' : 'no';
  ctx.log(DIRECT_EVENTS.givenUp, {
    requestId: id,
    // The answer is broken off.
    connection: res.headersSent ? connectionOf(res.socket) : undefined,
    reason,
    ran,
    sent: exchange.attempts,
    elapsedMs: Math.round(exchange.elapsedMs()),
    comeBackMs: retryAfterMs && Math.round(retryAfterMs),
  });
  ctx.metrics.count('onyxloft_direct_given_up_total', {ran, reason});
  const isTimeUp = exchange.signal.reason === 'time is up';
  exchange.end('answered');
  if (res.headersSent) {
    cutAnswer(res);
    return;
  }
  const errorStatus = isTimeUp ? 504 : 502;
  sendLocalAnswer(res, {
    status: exchange.mayHaveRun ? errorStatus : 503,
    message: reason,
    close: ctx.closesAfter(res),
    retryAfterMs,
  });
}
