/**
 * Carries out what is decided about a request that is to be placed: waits and
 * looks again, refuses, or takes the place.
 */
import {DIRECT_EVENTS} from '../utils/events.js';
import {isReadAlone} from './decide/choose_engines.js';
import {drawCandidates} from './decide/draw_candidates.js';
import {patienceMs} from './decide/patience.js';
import {placeOrWait} from './decide/place_or_wait.js';
import type {
  PlacingDecision,
  PlacingRequest,
  WaitReason,
} from './decide/place_or_wait.js';
import {answerTokens} from './exchange.js';
import type {Exchange} from './exchange.js';
import {plainPlace, takePlace} from './place.js';
import type {Place} from './place.js';
import {candidatesOf, loadsOf} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica, EngineFigures} from './types.js';

/** A request waits for memory for this share of its time limit at most. */
const MEMORY_WAIT_SHARE = 0.3;
/** Tries to hold a group; its members may be taken in between. */
const GROUP_TRIES = 4;
/** Refused callers come back drawn apart by this share, earlier or later. */
const COME_BACK_SPREAD = 0.25;

/** Why there is no place. */
export interface NoPlace {
  readonly kind: 'none';
  readonly reason: string;
  /** When the caller should come back, where that is known. */
  readonly comeBackMs: number | undefined;
}

export type Opened = {readonly kind: 'place'; readonly place: Place} | NoPlace;

/** Ends with the request's own end at the latest. */
export async function openPlace(
  ctx: ServeContext,
  exchange: Exchange,
  tried: ReadonlySet<string>,
): Promise<Opened> {
  const figures = exchange.config.services.get(exchange.service)?.engine;
  if (figures === undefined) return openPlainPlace(ctx, exchange, tried);
  const leave = ctx.looks.startWaiting();
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
): Opened {
  const there = candidatesOf(ctx, exchange.service, tried);
  const place = plainPlace(ctx, exchange, loadsOf(ctx, drawn(ctx, there)));
  return place === undefined
    ? none('no replica is there')
    : {kind: 'place', place};
}

async function openEnginePlace(
  ctx: ServeContext,
  exchange: Exchange,
  tried: ReadonlySet<string>,
  figures: EngineFigures,
): Promise<Opened> {
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
      const place = await takePlace(ctx, exchange, decision.plan);
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
    await pause(ctx, ctx.looks.pauseMs(ctx.random.next()));
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
  const looked = isReadAlone(figures, req) ? drawn(ctx, there) : there;
  const candidates = loadsOf(ctx, looked);
  const pool = {
    figures,
    candidates,
    weightPerReadMs: ctx.worth.weightPerReadMs(),
    fullness: ctx.fullness,
  };
  const decision = placeOrWait(pool, req);
  ctx.looks.recordPoll(ctx.clock.now() - startedAt);
  return decision;
}

function drawn(
  {failureDomain, random}: ServeContext,
  replicas: readonly DirectReplica[],
): readonly DirectReplica[] {
  return drawCandidates(replicas, failureDomain, () => random.next());
}

function requestOf(ctx: ServeContext, exchange: Exchange): PlacingRequest {
  const {facts, route, weight} = exchange;
  return {
    isNew: exchange.sent === 0,
    promptTokens: facts.promptTokens,
    weight,
    answerTokens: answerTokens(facts),
    aimMs: route.aimMs,
    pauseAimMs: route.pauseAimMs,
    patienceMs: patienceMs(route),
    elapsedMs: exchange.elapsedMs(),
    draw: () => ctx.random.next(),
  };
}

function none(reason: string, comeBackMs?: number): NoPlace {
  return {kind: 'none', reason, comeBackMs};
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
