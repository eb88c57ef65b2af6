/**
 * Carries out what is decided about a request that is to be placed: waits and
 * looks again, refuses, or takes the place.
 */
import {DIRECT_EVENTS} from '../utils/events.js';
import {usesSingleEngine} from './decide/choose_engines.js';
import {sampleCandidates} from './decide/sample_candidates.js';
import {callerTimeoutMs} from './decide/caller_timeout.js';
import {placeOrWait} from './decide/place_or_wait.js';
import type {
  PlacingDecision,
  PlacingRequest,
  WaitReason,
} from './decide/place_or_wait.js';
import {answerTokens} from './exchange.js';
import type {Exchange} from './exchange.js';
import {placeOnPlainService, acquirePlacement} from './request_placement.js';
import type {RequestPlacement} from './request_placement.js';
import {candidatesOf, withLoads} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica, EngineFigures} from './types.js';

/** A request waits for memory for this share of its time limit at most. */
const MEMORY_WAIT_SHARE = 0.3;
/** Tries to hold a group; its members may be taken in between. */
const GROUP_TRIES = 4;
/** Refused callers come back drawn apart by this share, earlier or later. */
const COME_BACK_SPREAD = 0.25;

/** Why there is no place. */
export interface NotPlaced {
  readonly kind: 'none';
  readonly reason: string;
  /** When the caller should come back, where that is known. */
  readonly retryAfterMs: number | undefined;
}

export type PlacementResult =
  {readonly kind: 'place'; readonly place: RequestPlacement} | NotPlaced;

/** Ends with the request's own end at the latest. */
export async function placeRequest(
  ctx: ServeContext,
  exchange: Exchange,
  tried: ReadonlySet<string>,
): Promise<PlacementResult> {
  const figures = exchange.config.services.get(exchange.service)?.engine;
  if (figures === undefined) return openPlainPlace(ctx, exchange, tried);
  const leave = ctx.pollPace.startWaiting();
  try {
    return await openEnginePlace(ctx, exchange, tried, figures);
  } finally {
    leave();
  }
}

function openPlainPlace(
  ctx: ServeContext,
  exchange: Exchange,
  tried: ReadonlySet<string>,
): PlacementResult {
  const there = candidatesOf(ctx, exchange.service, tried);
  const place = placeOnPlainService(
    ctx,
    exchange,
    withLoads(ctx, drawn(ctx, there)),
  );
  return place === undefined
    ? none('no replica is there')
    : {kind: 'place', place};
}

async function openEnginePlace(
  ctx: ServeContext,
  exchange: Exchange,
  tried: ReadonlySet<string>,
  figures: EngineFigures,
): Promise<PlacementResult> {
  const {clock} = ctx;
  const memoryUntil = clock.now() + exchange.timeLeftMs() * MEMORY_WAIT_SHARE;
  const refusing = new Set<string>();
  const noteWait = createWaitLog(ctx, exchange);
  let groupTries = 0;
  while (!exchange.signal.aborted) {
    const there = candidatesOf(ctx, exchange.service, tried).filter(
      ({address}) => !refusing.has(address),
    );
    const decision = decide(ctx, exchange, figures, there);
    if (decision.kind === 'refuse') {
      return none(decision.reason, drawnApart(ctx, decision.comeBackMs));
    }
    if (decision.kind === 'place') {
      const place = await acquirePlacement(ctx, exchange, decision.plan);
      if ('replica' in place) return {kind: 'place', place};
      refusing.add(place.refusedBy);
      if (++groupTries < GROUP_TRIES) continue;
    }
    const reason = decision.kind === 'wait' ? decision.reason : 'no memory';
    noteWait(reason);
    if (reason === 'no memory' && clock.now() > memoryUntil) {
      return none('no room in time');
    }
    refusing.clear();
    await pause(ctx, ctx.pollPace.pauseMs(ctx.random.next()));
  }
  return none('the request has ended');
}

/** One look at the engines, and what it says. */
function decide(
  ctx: ServeContext,
  exchange: Exchange,
  figures: EngineFigures,
  there: readonly DirectReplica[],
): PlacingDecision {
  const startedAt = ctx.clock.now();
  const req = requestOf(ctx, exchange);
  const looked = usesSingleEngine(figures, req) ? drawn(ctx, there) : there;
  const candidates = withLoads(ctx, looked);
  const pool = {
    figures,
    candidates,
    weightPerPrefillMs: ctx.worth.weightPerPrefillMs(),
    fullness: ctx.fullness,
  };
  const decision = placeOrWait(pool, req);
  ctx.pollPace.recordPoll(ctx.clock.now() - startedAt);
  return decision;
}

function drawn(
  {failureDomain, random}: ServeContext,
  replicas: readonly DirectReplica[],
): readonly DirectReplica[] {
  return sampleCandidates(replicas, failureDomain, () => random.next());
}

function requestOf(ctx: ServeContext, exchange: Exchange): PlacingRequest {
  const {facts, route, weight} = exchange;
  return {
    isNew: exchange.attempts === 0,
    promptTokens: facts.promptTokens,
    weight,
    answerTokens: answerTokens(facts),
    aimMs: route.aimMs,
    pauseAimMs: route.pauseAimMs,
    callerTimeoutMs: callerTimeoutMs(route),
    elapsedMs: exchange.elapsedMs(),
    draw: () => ctx.random.next(),
  };
}

function none(reason: string, retryAfterMs?: number): NotPlaced {
  return {kind: 'none', reason, retryAfterMs};
}

function drawnApart({random}: ServeContext, ms: number): number {
  return ms * (1 + COME_BACK_SPREAD * (2 * random.next() - 1));
}

function pause({clock}: ServeContext, ms: number): Promise<void> {
  return new Promise(resolve => void clock.after(ms, resolve));
}

/** One line when a request begins to wait, and when the reason changes. */
function createWaitLog({log}: ServeContext, {id, elapsedMs}: Exchange) {
  let told: WaitReason | undefined;
  return (reason: WaitReason): void => {
    if (reason === told) return;
    told = reason;
    const waitedMs = Math.round(elapsedMs());
    log(DIRECT_EVENTS.waiting, {requestId: id, reason, waitedMs});
  };
}
