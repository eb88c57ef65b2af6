/** What serving a request needs of the entry, and steps that all kinds share. */
import type {ServerResponse} from 'node:http';
import type {RetryBudget} from '../limits/retry_budget.js';
import type {Clock, Log, Metrics, Random} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {HOP_BY_HOP, namedByConnection} from '../utils/hop_headers.js';
import type {CallTimes} from './call_times.js';
import type {CrashWatch} from './crash_watch.js';
import type {CallCandidate, CallRequest} from './decide/choose_call_replica.js';
import type {EngineCandidate} from './decide/score_engine.js';
import type {Fullness} from './decide/place_or_wait.js';
import type {RequestWeights} from './decide/request_weights.js';
import type {AnswerHead, DispatchRequest, OpenDispatch} from './dispatch.js';
import type {Exchange} from './exchange.js';
import type {ReplicaTable} from './replica_table.js';
import type {Groups} from './groups.js';
import type {LoadTracker} from './load_tracker.js';
import type {PlacementPollPace} from './placement_poll_pace.js';
import {sendLocalAnswer} from './local_answers.js';
import {shortDigest} from './request_digest.js';
import type {ReplicaHealth} from './replica_health.js';
import type {ReplicaLosses} from './replica_losses.js';
import {QUARANTINE_MS} from './suspects.js';
import type {
  DirectReplica,
  GroupMember,
  HeaderCodec,
  HeaderList,
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
  readonly losses: ReplicaLosses;
  readonly crashes: CrashWatch;
  readonly book: LoadTracker;
  readonly worth: RequestWeights;
  readonly fullness: Fullness | undefined;
  readonly callTimes: CallTimes;
  readonly pollPace: PlacementPollPace;
  readonly groups: Groups;
  readonly budget: RetryBudget;
  /** Share of the budget that each request adds. */
  readonly retryRatio: number;
  isDraining(): boolean;
}

/** Priority of a request that names none. */
const MOST_PRIORITY = 9;

/** Replicas for the next try: those that are well, or else any. */
export function candidatesOf(
  ctx: ServeContext,
  service: string,
  tried: ReadonlySet<string>,
): readonly DirectReplica[] {
  const untried = ctx.replicas
    .availableFor(service)
    .filter(({id}) => !tried.has(id));
  const well = untried.filter(({id}) => !ctx.health.isSuspect(id));
  return well.length > 0 ? well : untried;
}

/** The replicas with what is known of their load and their pace. */
export function withLoads(
  {book, health}: ServeContext,
  replicas: readonly DirectReplica[],
): readonly (EngineCandidate & CallCandidate)[] {
  return replicas.map(replica => ({
    replica,
    load: book.totalLoad(replica.id),
    slowness: health.slowness(replica.id),
    brokenShare: health.brokenShare(replica.id),
  }));
}

/** The request as the choice of a plain service's replica takes it. */
export function callRequestOf(
  {callTimes, failureDomain, random}: ServeContext,
  {route, service}: Exchange,
): CallRequest {
  return {
    failureDomain,
    usualMs: callTimes.meanMs(service),
    aimMs: route.aimMs,
    isOnce: route.kind === 'once',
    draw: () => random.next(),
  };
}

/**
 * For the log line of a try that broke off: requests that ask the same bear the
 * same digest under all their ids.
 */
export function brokenRunDigest(
  exchange: Exchange,
  outcome: string | undefined,
): string | undefined {
  return outcome === 'broken' ? shortDigest(exchange.digest()) : undefined;
}

/** Whether the request may be sent once more. */
export function mayAttempt(
  ctx: ServeContext,
  {attempts, route}: Exchange,
): boolean {
  if (attempts === 0) return true;
  return attempts < route.maxAttempts && ctx.budget.take();
}

/** The request as the replica gets it. */
export function buildDispatch(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
  lastEventId: string | undefined,
  helpers: readonly GroupMember[],
): DispatchRequest {
  const {req, body, route, owner} = exchange;
  const priority = owner?.priority ?? route.priority;
  const headers = ctx.codec.dispatchHeaders(req.rawHeaders, {
    replicaName: replica.name,
    organisation: owner?.organisation,
    timeLeftMs: exchange.timeLeftMs(),
    priority: Math.min(MOST_PRIORITY, Math.max(0, priority)),
    lastEventId,
    helpers,
  });
  const framed =
    body.length > 0 ||
    req.headers['content-length'] !== undefined ||
    req.headers['transfer-encoding'] !== undefined;
  return {
    address: replica.address,
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: framed
      ? [...headers, 'Content-Length', String(body.length)]
      : headers,
    body,
  };
}

/** What the head of an answer says of the request. */
export type HeadVerdict =
  | {readonly kind: 'success'}
  | {readonly kind: 'failure'}
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  /** Not this request's answer, or none that may be passed on. */
  | {readonly kind: 'foreign'; readonly reason: string};

/** Judges a head; but for a refusal, the request may have run. */
export function classifyHead(
  {codec}: ServeContext,
  exchange: Exchange,
  {status, headers}: AnswerHead,
): HeadVerdict {
  const facts = codec.readAnswer(status, headers);
  const isOurs = facts.requestId === exchange.id && !facts.encoded;
  if (isOurs && facts.notRun) return {kind: 'not-run', faultAt: facts.faultAt};
  exchange.mayHaveRun = true;
  if (!isOurs) return {kind: 'foreign', reason: 'an answer to another request'};
  if (status >= 300) return {kind: 'failure'};
  return facts.signed
    ? {kind: 'success'}
    : {kind: 'foreign', reason: 'an unsigned success'};
}

/** Sends a replica's status and headers to the caller. */
export function writeHead(
  ctx: ServeContext,
  res: ServerResponse,
  head: AnswerHead,
  length?: number,
): void {
  const headers = [...keptHeaders(head)];
  const {'content-length': declared, 'transfer-encoding': coding} =
    head.headers;
  // An answer without a length ends with its connection, and so one that a
  // replica breaks off looks whole. Given a length or chunks here, the caller
  // would take half an answer for all of it; it keeps the replica's framing.
  const unframed = declared === undefined && coding === undefined;
  if (unframed) res.removeHeader('Transfer-Encoding');
  else if (declared === undefined && length !== undefined) {
    headers.push('Content-Length', String(length));
  }
  if (ctx.isDraining() || unframed) headers.push('Connection', 'close');
  res.writeHead(head.status, headers);
}

/** All but what concerns the replica's connection. */
function keptHeaders({rawHeaders}: AnswerHead): HeaderList {
  const dropped = namedByConnection(rawHeaders);
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at].toLowerCase();
    if (HOP_BY_HOP.has(name) || dropped.has(name)) continue;
    kept.push(rawHeaders[at], rawHeaders[at + 1]);
  }
  return kept;
}

/** Ends a request of a kind that crashes replicas; it is not sent on. */
export function refuseQuarantined(ctx: ServeContext, exchange: Exchange): void {
  const reason = 'requests like this one crash replicas';
  if (exchange.mayHaveRun) {
    giveUp(ctx, exchange, reason);
    return;
  }
  ctx.log(DIRECT_EVENTS.quarantineRefused, {
    requestId: exchange.id,
    digest: shortDigest(exchange.digest()),
  });
  ctx.metrics.count('onyxloft_direct_quarantine_refused_total', {});
  exchange.end('answered');
  sendLocalAnswer(exchange.res, {
    status: 429,
    message: reason,
    close: ctx.isDraining(),
    retryAfterMs: QUARANTINE_MS,
  });
}

/** Ends a request that no replica answered. */
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
    reason,
    ran,
    sent: exchange.attempts,
    elapsedMs: Math.round(exchange.elapsedMs()),
    comeBackMs: retryAfterMs && Math.round(retryAfterMs),
  });
  ctx.metrics.count('onyxloft_direct_given_up_total', {ran, reason});
  const timeUp = exchange.signal.reason === 'time is up';
  exchange.end('answered');
  if (res.headersSent) {
    // A cut that the caller sees; an end would look like a whole answer.
    res.destroy();
    return;
  }
  const failed = timeUp ? 504 : 502;
  sendLocalAnswer(res, {
    status: exchange.mayHaveRun ? failed : 503,
    message: reason,
    close: ctx.isDraining(),
    retryAfterMs,
  });
}
