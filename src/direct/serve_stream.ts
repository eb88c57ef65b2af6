/**
 * Serves a request whose answer is a series of events. Only whole events are
 * handed on. A stream that breaks or falls silent goes on at another replica
 * from the event after the last one that the caller has, inside the same
 * answer.
 */
import {DIRECT_EVENTS} from '../utils/events.js';
import {openDispatch} from './dispatch.js';
import type {AnswerHead} from './dispatch.js';
import {createEventSplitter} from './event_splitter.js';
import type {StreamEvent} from './event_splitter.js';
import type {Exchange} from './exchange.js';
import {patienceMs} from './patience.js';
import {openPlace} from './place.js';
import type {Place} from './place.js';
import {dispatchRequest, giveUp, mayTry, writeHead} from './serve_context.js';
import type {ServeContext} from './serve_context.js';

/** A failure's body is small; more of it is not kept. */
const FAILURE_BYTES = 64 * 1024;
/** Silence is waited for so many times as long as is expected. */
const PATIENCE = 4;
/** Added to it, for pauses that others' work brings. */
const GRACE_MS = 300;

/** Share of the caller's patience that a known long read may use up. */
const PATIENCE_SHARE = 0.8;

/** How one try ended. */
type StreamOutcome =
  | {readonly kind: 'whole'}
  | {readonly kind: 'failure'; readonly head: AnswerHead; readonly body: Buffer}
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  | {readonly kind: 'not-sent'; readonly reason: string}
  | {readonly kind: 'broken'; readonly reason: string}
  | {readonly kind: 'ended'};

/** What of the stream the caller has. */
interface Progress {
  lastId: number | undefined;
  events: number;
  lastEventAt: number;
  firstEventMs: number;
  longestPauseMs: number;
}

/** Serves the request to its final answer. */
export async function serveStream(
  ctx: ServeContext,
  exchange: Exchange,
): Promise<void> {
  const tried = new Set<string>();
  const progress = startOf(exchange);
  ctx.budget.onFirstAttempt(ctx.retryRatio);
  while (!exchange.signal.aborted) {
    if (!mayTry(ctx, exchange)) {
      giveUp(ctx, exchange, 'no more attempts');
      return;
    }
    const place = await openPlace(ctx, exchange, tried);
    if (place === undefined) {
      if (!exchange.signal.aborted) giveUp(ctx, exchange, 'no room in time');
      return;
    }
    if (exchange.signal.aborted) {
      place.close();
      return;
    }
    const outcome = await tryOnce(ctx, exchange, place, progress);
    place.close();
    tried.add(place.replica.id);
    if (settle(ctx, exchange, place, outcome, progress)) return;
  }
}

function startOf({facts, arrivedAt}: Exchange): Progress {
  const lastId = Number(facts.lastEventId);
  return {
    lastId: Number.isInteger(lastId) ? lastId : undefined,
    events: 0,
    lastEventAt: arrivedAt,
    firstEventMs: 0,
    longestPauseMs: 0,
  };
}

/** True when the request has its final answer, or needs none. */
function settle(
  ctx: ServeContext,
  exchange: Exchange,
  place: Place,
  outcome: StreamOutcome,
  progress: Progress,
): boolean {
  const {res, route} = exchange;
  switch (outcome.kind) {
    case 'whole':
      logAnswered(ctx, exchange, 200, progress);
      res.end();
      return true;
    case 'ended':
      return true;
    case 'failure':
      if (res.headersSent) break;
      logAnswered(ctx, exchange, outcome.head.status, progress);
      writeHead(ctx, res, outcome.head, outcome.body.length);
      res.end(outcome.body);
      return true;
    default:
  }
  const reason = 'reason' in outcome ? outcome.reason : outcome.kind;
  ctx.log(DIRECT_EVENTS.tryFailed, {
    requestId: exchange.id,
    replica: place.replica.id,
    reason,
    faultAt: 'faultAt' in outcome ? outcome.faultAt : undefined,
    events: progress.events,
    elapsedMs: Math.round(exchange.elapsedMs()),
  });
  ctx.metrics.count('onyxloft_direct_tries_failed_total', {
    kind: outcome.kind,
  });
  if (outcome.kind === 'not-run' || outcome.kind === 'not-sent') return false;
  if (route.kind === 'resumable-stream') return false;
  giveUp(ctx, exchange, 'the replica broke off');
  return true;
}

function logAnswered(
  ctx: ServeContext,
  exchange: Exchange,
  status: number,
  progress: Progress,
): void {
  ctx.log(DIRECT_EVENTS.answered, {
    requestId: exchange.id,
    status,
    events: progress.events,
    firstEventMs: Math.round(progress.firstEventMs),
    longestPauseMs: Math.round(progress.longestPauseMs),
    sent: exchange.sent,
    elapsedMs: Math.round(exchange.elapsedMs()),
  });
}

function tryOnce(
  ctx: ServeContext,
  exchange: Exchange,
  place: Place,
  progress: Progress,
): Promise<StreamOutcome> {
  const {codec, health, clock, metrics} = ctx;
  const {res, route} = exchange;
  const {replica} = place;
  const startedAt = clock.now();
  const splitter = createEventSplitter();
  exchange.sent++;

  return new Promise(resolve => {
    let head: AnswerHead | undefined;
    let failure: Buffer[] | undefined;
    let eventsHere = 0;
    let cancelSilence = () => {};

    const finish = (outcome: StreamOutcome) => {
      cancelSilence();
      exchange.signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const breakOff = (reason: string) => {
      dispatch.cancel();
      health.failed(replica.id);
      finish({kind: 'broken', reason});
    };
    const onAbort = () => {
      exchange.mayHaveRun = true;
      dispatch.cancel();
      finish({kind: 'ended'});
    };
    const watchSilence = (limitMs: number, since = clock.now()) => {
      cancelSilence();
      const leftMs = since + limitMs - clock.now();
      cancelSilence = clock.after(leftMs, () => {
        // A last attempt may still come; silence alone ends no answer.
        const last = exchange.sent >= route.maxAttempts;
        if (last || route.kind !== 'resumable-stream') return;
        const allowedMs = allowedSilence(ctx, exchange, replica.id, limitMs);
        if (clock.now() - since < allowedMs) {
          watchSilence(allowedMs, since);
          return;
        }
        exchange.mayHaveRun = true;
        breakOff('silent');
      });
    };
    const onHead = (came: AnswerHead) => {
      const facts = codec.readAnswer(came.status, came.headers);
      if (facts.requestId !== exchange.id || facts.encoded) {
        exchange.mayHaveRun = true;
        breakOff('an answer to another request');
        return;
      }
      if (facts.notRun) {
        dispatch.cancel();
        place.refused(facts.faultAt);
        finish({kind: 'not-run', faultAt: facts.faultAt});
        return;
      }
      exchange.mayHaveRun = true;
      head = came;
      if (came.status === 200 && facts.signed) return;
      if (came.status < 300) {
        breakOff('an unsigned success');
        return;
      }
      failure = [];
    };
    const writeEvent = ({bytes, id}: StreamEvent) => {
      if (id !== undefined && progress.lastId !== undefined) {
        if (id <= progress.lastId) return;
      }
      if (!res.headersSent && head !== undefined) {
        writeHead(ctx, res, head);
      }
      progress.lastId = id ?? progress.lastId;
      progress.events++;
      observeEvent(metrics, exchange, progress, clock.now());
      if (res.write(bytes)) return;
      dispatch.pause();
      res.once('drain', () => dispatch.resume());
    };
    const onData = (chunk: Buffer) => {
      if (failure !== undefined) {
        if (failure.length * chunk.length < FAILURE_BYTES) failure.push(chunk);
        return;
      }
      for (const event of splitter.push(chunk)) {
        if (eventsHere++ === 0) place.hasRead(clock.now() - startedAt);
        writeEvent(event);
      }
      watchSilence(route.pauseAimMs * 2 + GRACE_MS);
    };
    const onEnd = () => {
      if (head === undefined) return;
      if (failure !== undefined) {
        health.failed(replica.id);
        finish({kind: 'failure', head, body: Buffer.concat(failure)});
        return;
      }
      if (splitter.rest() > 0) {
        breakOff('ended within an event');
        return;
      }
      finish({kind: 'whole'});
    };
    const onBroken = (sent: boolean, reason: string) => {
      health.failed(replica.id);
      if (!sent) {
        exchange.sent--;
        finish({kind: 'not-sent', reason});
        return;
      }
      exchange.mayHaveRun = true;
      finish({kind: 'broken', reason});
    };
    const lastEventId =
      progress.events > 0 ? String(progress.lastId) : undefined;
    const dispatch = openDispatch(
      dispatchRequest(ctx, exchange, replica, lastEventId, place.helpers),
      clock,
      {onHead, onData, onEnd, onBroken},
    );
    exchange.signal.addEventListener('abort', onAbort);
    watchSilence(
      Math.max(PATIENCE * place.firstEventMs, 2 * route.aimMs) + GRACE_MS,
    );
  });
}

/**
 * A replica that reads a long prompt is silent to all that write there. Given
 * up for that, their streams would be read anew elsewhere and gain nothing, so
 * what is known to be read there is waited for, as long as the caller does.
 */
function allowedSilence(
  ctx: ServeContext,
  {route}: Exchange,
  replicaId: string,
  limitMs: number,
): number {
  const readMs = ctx.book.of(replicaId).readMs;
  const mostMs = patienceMs(route) * PATIENCE_SHARE;
  return Math.max(limitMs, Math.min(limitMs + readMs, mostMs));
}

function observeEvent(
  metrics: ServeContext['metrics'],
  exchange: Exchange,
  progress: Progress,
  now: number,
): void {
  const {promptTokens} = exchange.facts;
  const length = lengthLabel(promptTokens);
  const ms = now - progress.lastEventAt;
  const name =
    progress.events === 1
      ? 'onyxloft_direct_first_event_ms'
      : 'onyxloft_direct_pause_ms';
  metrics.observe(name, {length}, ms);
  if (progress.events === 1) progress.firstEventMs = ms;
  else progress.longestPauseMs = Math.max(progress.longestPauseMs, ms);
  progress.lastEventAt = now;
}

/** Bounds of the lengths by which latency is shown, in prompt tokens. */
const LENGTHS: readonly (readonly [number, string])[] = [
  [10_000, 'to-10k'],
  [50_000, 'to-50k'],
  [200_000, 'to-200k'],
];

function lengthLabel(promptTokens: number): string {
  const found = LENGTHS.find(([most]) => promptTokens <= most);
  return found?.[1] ?? 'over-200k';
}
