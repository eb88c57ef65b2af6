/**
 * A place for a request at one engine or at a group: chosen, entered in the
 * load book, and with its reservations held. Where no engine has the memory,
 * the request waits here for as long as that is worth it.
 */
import type {Cancel} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {chooseForCall} from './choose_call.js';
import {aimMargin, chooseEngines} from './choose_engines.js';
import type {EngineCandidate, EnginePlan} from './choose_engines.js';
import type {Exchange} from './exchange.js';
import type {Group} from './groups.js';
import {callWork} from './load_book.js';
import type {EnteredWork} from './load_book.js';
import {candidatesOf} from './serve_context.js';
import {patienceMs} from './patience.js';
import type {ServeContext} from './serve_context.js';
import type {DirectReplica, EngineFigures, GroupMember} from './types.js';

/** Between looks for memory while none is free. */
const LOOK_MS = 25;
/** A request waits for memory for this share of its time limit at most. */
const WAIT_SHARE = 0.3;
/** Tries to hold a group; its members may be taken in between. */
const GROUP_TRIES = 4;
/** First event of a stream without published figures. */
const UNKNOWN_FIRST_EVENT_MS = 200;
/** Tokens of an answer whose length nothing tells. */
const UNKNOWN_ANSWER_TOKENS = 512;

/** Why nothing more will come: sure where a member has started again. */
export type PlaceLoss = 'a member restarted' | 'the lead is silent';

export interface Place {
  readonly replica: DirectReplica;
  readonly helpers: readonly GroupMember[];
  /** Expected time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Something came from the replica. */
  heard(): void;
  /** `onLost` is called when no answer can come from here any more. */
  watchLoss(onLost: (loss: PlaceLoss) => void): Cancel;
  /** The first event came after `tookMs`. */
  hasRead(tookMs: number): void;
  /** The replica refused; `faultAt` is the member at fault, if it said so. */
  refused(faultAt: string | undefined): void;
  close(): void;
}

/** Undefined when there is no room in time, or the request has ended. */
export async function openPlace(
  ctx: ServeContext,
  exchange: Exchange,
  tried: ReadonlySet<string>,
): Promise<Place | undefined> {
  const {clock} = ctx;
  const waitUntil = clock.now() + exchange.timeLeftMs() * WAIT_SHARE;
  const avoided = new Set<string>();
  let groupTries = 0;
  while (!exchange.signal.aborted) {
    const figures = exchange.config.services.get(exchange.service)?.engine;
    const candidates = candidatesOf(ctx, exchange.service, tried)
      .filter(({address}) => !avoided.has(address))
      .map(replica => ({
        replica,
        load: ctx.book.of(replica.id),
        slowness: ctx.health.slowness(replica.id),
      }));
    if (figures === undefined) return plainPlace(ctx, exchange, candidates);
    const plan = planFor(ctx, figures, exchange, candidates);
    const isNew = exchange.sent === 0;
    if (isNew && plan !== undefined && comesTooLate(exchange, plan)) {
      return undefined;
    }
    if (plan !== undefined) {
      const place = await take(ctx, exchange, plan);
      if ('firstEventMs' in place) return place;
      avoided.add(place.refusedBy);
      if (++groupTries < GROUP_TRIES) continue;
    }
    if (clock.now() > waitUntil) return undefined;
    avoided.clear();
    await new Promise<void>(resolve => void clock.after(LOOK_MS, resolve));
  }
  return undefined;
}

/**
 * Whether the caller would have left before its first event. Queued all the
 * same, it takes a place for an answer that nobody reads; refused at once, it
 * may come back when there is room.
 */
function comesTooLate(
  {route, elapsedMs}: Exchange,
  {firstEventMs}: EnginePlan,
): boolean {
  return elapsedMs() + firstEventMs > patienceMs(route);
}

function planFor(
  ctx: ServeContext,
  figures: EngineFigures,
  exchange: Exchange,
  candidates: readonly EngineCandidate[],
): EnginePlan | undefined {
  const {facts, route} = exchange;
  const req = {
    promptTokens: facts.promptTokens,
    weight: exchange.weight,
    answerTokens: answerTokens(exchange),
    aimMs: route.aimMs,
    pauseAimMs: route.pauseAimMs,
    elapsedMs: exchange.elapsedMs(),
    draw: () => ctx.random.next(),
  };
  return chooseEngines(figures, req, candidates);
}

function answerTokens({facts}: Exchange): number {
  return facts.maxTokens || facts.expectedTokens || UNKNOWN_ANSWER_TOKENS;
}

/** Holds the plan's place; a refusal names the member's address. */
async function take(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): Promise<Place | {readonly refusedBy: string}> {
  const {helpers, partTokens, first} = plan;
  const works = enterWorks(ctx, exchange, plan);
  const endWorks = () => works.forEach(work => work.end());
  let group: Group | undefined;
  if (partTokens > 0 && helpers.length > 0) {
    const opened = await ctx.groups.open({
      requestId: exchange.id,
      lead: first.replica,
      helpers: helpers.map(({replica}) => replica),
      tokens: partTokens,
    });
    if ('refusedBy' in opened) {
      endWorks();
      return opened;
    }
    group = opened;
  }
  logPlan(ctx, exchange, plan);
  const addresses = helpers.map(({replica}) => replica.address);
  return {
    replica: first.replica,
    heard: () => group?.heard(),
    watchLoss: onLost => {
      group?.watchLead(() => {
        ctx.health.failed(first.replica.id);
        onLost('the lead is silent');
      });
      return watchRestarts(ctx, [first, ...helpers], onLost);
    },
    helpers:
      group?.members ??
      addresses.map(address => ({address, reservation: undefined})),
    firstEventMs: plan.firstEventMs,
    hasRead: tookMs => {
      works.forEach(work => work.hasRead());
      if (helpers.length > 0) return;
      ctx.health.answered(first.replica.id, tookMs, plan.firstEventMs);
    },
    refused: faultAt => {
      const helper = helpers.find(it => it.replica.address === faultAt);
      if (helper !== undefined) ctx.health.failed(helper.replica.id);
    },
    close: () => {
      endWorks();
      group?.close();
    },
  };
}

function watchRestarts(
  ctx: ServeContext,
  members: readonly Pick<EngineCandidate, 'replica'>[],
  onLost: (loss: PlaceLoss) => void,
): Cancel {
  const cancels = members.map(({replica}) =>
    ctx.losses.watch(replica.id, () => onLost('a member restarted')),
  );
  return () => cancels.forEach(cancel => cancel());
}

function enterWorks(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): readonly EnteredWork[] {
  const {facts, route} = exchange;
  const {first, helpers, partReadMs, partTokens} = plan;
  const total = facts.promptTokens + answerTokens(exchange);
  const shared = {
    readMs: partReadMs,
    expectedMs: plan.firstEventMs,
    aimLeftMs: route.aimMs - exchange.elapsedMs(),
    aimMarginMs: aimMargin(route.aimMs),
    pauseAimMs: route.pauseAimMs,
  };
  const main = ctx.book.enter({
    ...shared,
    replicaId: first.replica.id,
    places: 1,
    tokens: total - partTokens * helpers.length,
    weight: exchange.weight,
  });
  const parts = helpers.map(({replica}) =>
    ctx.book.enter({
      ...shared,
      replicaId: replica.id,
      places: 0,
      tokens: partTokens,
      // Most of a group's delay is seen at each member that is held up.
      weight: exchange.weight / Math.sqrt(1 + helpers.length),
    }),
  );
  return [main, ...parts];
}

function logPlan(
  ctx: ServeContext,
  exchange: Exchange,
  plan: EnginePlan,
): void {
  const {first, helpers} = plan;
  ctx.log(DIRECT_EVENTS.dispatched, {
    requestId: exchange.id,
    replica: first.replica.id,
    helpers: helpers.map(({replica}) => replica.id),
    promptTokens: exchange.facts.promptTokens,
    partTokens: plan.partTokens,
    firstEventMs: Math.round(plan.firstEventMs),
    running: first.load.running,
    readMsAhead: Math.round(first.load.readMs),
    loss: Math.round(plan.loss),
    config: exchange.config.version,
  });
}

function plainPlace(
  ctx: ServeContext,
  exchange: Exchange,
  candidates: readonly EngineCandidate[],
): Place | undefined {
  const chosen = chooseForCall(candidates, ctx.failureDomain, () =>
    ctx.random.next(),
  );
  if (chosen === undefined) return undefined;
  const {replica} = chosen;
  const {pauseAimMs} = exchange.route;
  const work = ctx.book.enter(callWork(replica.id, pauseAimMs));
  return {
    replica,
    heard: () => undefined,
    watchLoss: onLost => watchRestarts(ctx, [chosen], onLost),
    helpers: [],
    firstEventMs: UNKNOWN_FIRST_EVENT_MS,
    hasRead: tookMs =>
      ctx.health.answered(replica.id, tookMs, UNKNOWN_FIRST_EVENT_MS),
    refused: () => undefined,
    close: () => work.end(),
  };
}
