/**
 * Places a streaming request at a replica. For engines it polls the placement
 * decision: it places the request, refuses it, or waits and decides again.
 */
import {DIRECT_EVENTS} from '../utils/events.js';
import {chooseCallReplica} from './decide/choose_call_replica.js';
import {usesSingleEngine} from './decide/choose_engines.js';
import type {EnginePlan} from './decide/choose_engines.js';
import {prefillMs} from './decide/engine_timing.js';
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
import {
  choosePermitted,
  gateRequestOf,
  permittedOf,
  rejectionOf,
  takePermits,
  waitForOpening,
} from './permitted_choice.js';
import type {Rejection} from './permitted_choice.js';
import {placeOnPlainService, acquirePlacement} from './request_placement.js';
import type {RequestPlacement} from './request_placement.js';
import {hasNewerRoute} from './routes/newer_route.js';
import {callRequestOf, candidatesOf, withLoads} from './serve_context.js';
import type {
  CandidateGroups,
  ExcludedIds,
  ServeContext,
} from './serve_context.js';
import type {RequestShare} from './shares/request_shares.js';
import type {DirectReplica, EngineFigures} from './types.js';

/**
 * A request waits for memory for at most this share of the time that it has
 * left, then it is refused.
 */
const MEMORY_WAIT_SHARE = 0.3;
/**
 * Attempts to reserve a group before the request waits. A member may refuse
 * because other requests took its memory since the decision.
 */
const GROUP_ATTEMPTS = 4;
/** The request, and a question for the lead's state while it prefills. */
const REQUESTS_TO_LEAD = 2;
/** The part of the prompt, and the orders to reserve and release its memory. */
const REQUESTS_TO_HELPER = 3;
/**
 * Retry times are varied randomly by up to this share, earlier or later, so
 * that refused callers do not all retry at the same instant.
 */
const RETRY_SPREAD = 0.25;

/** The reason why a request was not placed. */
export interface NotPlaced {
  readonly kind: 'none';
  readonly reason: string;
  /** Time after which the caller should retry; undefined when unknown. */
  readonly retryAfterMs: number | undefined;
}

/** What a placement at engines costs, and what the request may pay. */
interface Pricing {
  readonly figures: EngineFigures;
  /** Undefined where organisations have no shares. */
  readonly share: RequestShare | undefined;
}

export type PlacementResult =
  {readonly kind: 'place'; readonly placement: RequestPlacement} | NotPlaced;

/** What a replica is sought for. */
export interface ReplicaSearch {
  /** Replicas that are not to be chosen. */
  readonly excluded: ExcludedIds;
  /** Whether the replica may be chosen where no other one may. */
  isLastResort(replicaId: string): boolean;
  /** Whether a replica is still needed; false once the request has ended. */
  isNeeded(): boolean;
  /** Whether the request may still go to another service. */
  mayMove(): boolean;
}

/**
 * Places the request at a replica that is not excluded. Resolves soon after none
 * is needed any more.
 */
export async function placeRequest(
  ctx: ServeContext,
  exchange: Exchange,
  search: ReplicaSearch,
): Promise<PlacementResult> {
  const figures = exchange.config.services.get(exchange.service)?.engine;
  if (figures === undefined) return placeAtPlainService(ctx, exchange, search);
  const stopWaiting = ctx.pollPace.startWaiting();
  const {promptTokens} = exchange.facts;
  // A request that was sent to a replica is a running one and pays no price.
  const share =
    exchange.attempts === 0
      ? ctx.shares?.open(exchange, prefillMs(figures, promptTokens, 1))
      : undefined;
  try {
    return await placeAtEngine(ctx, exchange, search, {figures, share});
  } finally {
    stopWaiting();
  }
}

async function placeAtPlainService(
  ctx: ServeContext,
  exchange: Exchange,
  search: ReplicaSearch,
): Promise<PlacementResult> {
  const choice = await choosePermitted(
    ctx,
    exchange,
    () => groupsOf(ctx, exchange, search),
    open =>
      chooseCallReplica(
        withLoads(ctx, sampled(ctx, open)),
        callRequestOf(ctx, exchange),
      ),
    search.isNeeded,
  );
  if (choice.kind === 'chosen') {
    const {replica} = choice.chosen;
    const placement = placeOnPlainService(ctx, exchange, replica);
    return {kind: 'place', placement};
  }
  return choice.rejection === undefined
    ? notPlaced('no replica is there')
    : rejected(choice.rejection);
}

async function placeAtEngine(
  ctx: ServeContext,
  exchange: Exchange,
  search: ReplicaSearch,
  pricing: Pricing,
): Promise<PlacementResult> {
  const {clock} = ctx;
  const {isNeeded, mayMove} = search;
  const {share} = pricing;
  const repeat = share?.repeatAnswer(() =>
    withLoads(ctx, ctx.replicas.availableFor(exchange.service)),
  );
  if (repeat !== undefined) {
    return notPlaced(repeat.reason, share?.rejected(repeat.comeBackMs));
  }
  const waitEndsAt = memoryWaitEndsAt(ctx, exchange);
  const refusedAddresses = new Set<string>();
  const logWait = createWaitLog(ctx, exchange);
  let groupAttempts = 0;
  while (isNeeded()) {
    const candidates = groupsOf(ctx, exchange, search).map(group =>
      group.filter(({address}) => !refusedAddresses.has(address)),
    );
    const {open, closed} = permittedOf(ctx, exchange, candidates);
    if (open.length === 0 && closed !== undefined) {
      if (await waitForOpening(ctx, exchange, closed)) continue;
      return rejected(rejectionOf(ctx, closed));
    }
    const decision = decide(ctx, exchange, pricing, open);
    share?.decided(decision);
    if (decision.kind === 'refuse') {
      const {reason, comeBackMs} = decision;
      return notPlaced(
        reason,
        share?.rejected(comeBackMs) ?? withRetrySpread(ctx, comeBackMs),
      );
    }
    if (decision.kind === 'place') {
      if (!(await takePlanPermits(ctx, exchange, decision.plan))) continue;
      if (!isNeeded()) break;
      // A member may have stated something while its permits were awaited.
      if (!maySendTo(ctx, exchange, decision.plan)) continue;
      const placement = await acquirePlacement(ctx, exchange, decision.plan);
      if ('replica' in placement) {
        share?.placed(decision.plan.ownLoss);
        return {kind: 'place', placement};
      }
      refusedAddresses.add(placement.refusedBy);
      if (++groupAttempts < GROUP_ATTEMPTS) continue;
    }
    const reason = decision.kind === 'wait' ? decision.reason : 'no memory';
    logWait(reason);
    if (mayMove() && hasNewerRoute(ctx, exchange)) {
      const {service} = exchange;
      interruptedWaits.set(exchange, {service, endsAt: waitEndsAt});
      return notPlaced('its route leads elsewhere by now');
    }
    if (reason === 'no memory' && clock.now() > waitEndsAt) {
      return notPlaced('no room in time');
    }
    refusedAddresses.clear();
    await pause(ctx, ctx.pollPace.pauseMs(ctx.random.next()));
  }
  return notPlaced('no replica is needed any more');
}

interface MemoryWait {
  readonly service: string;
  readonly endsAt: number;
}

/** Waits of searches that ended for a newer configuration. */
const interruptedWaits = new WeakMap<Exchange, MemoryWait>();

/**
 * When the request stops waiting for memory. A search that begins again by
 * other figures of the same service does not extend the wait. Any other search
 * has a wait of its own: an earlier one, beside a silent run, may have waited
 * in vain before that run broke off.
 */
function memoryWaitEndsAt({clock}: ServeContext, exchange: Exchange): number {
  const interrupted = interruptedWaits.get(exchange);
  interruptedWaits.delete(exchange);
  return interrupted?.service === exchange.service
    ? interrupted.endsAt
    : clock.now() + exchange.timeLeftMs() * MEMORY_WAIT_SHARE;
}

/** The replicas to choose from, those of last resort at the end. */
function groupsOf(
  ctx: ServeContext,
  {service}: Exchange,
  {excluded, isLastResort}: ReplicaSearch,
): CandidateGroups {
  const lastResorts = ctx.replicas
    .availableFor(service)
    .filter(({id}) => excluded.has(id) && isLastResort(id));
  return [...candidatesOf(ctx, service, excluded), lastResorts];
}

function maySendTo(
  {gate}: ServeContext,
  exchange: Exchange,
  {lead, helpers}: EnginePlan,
): boolean {
  const req = gateRequestOf(exchange);
  return [lead, ...helpers].every(({replica}) => gate.maySend(replica.id, req));
}

/** Takes permits for the members that name a request limit. */
async function takePlanPermits(
  ctx: ServeContext,
  exchange: Exchange,
  {lead, helpers}: EnginePlan,
): Promise<boolean> {
  const needs = [
    {
      replicaId: lead.replica.id,
      count: helpers.length > 0 ? REQUESTS_TO_LEAD : 1,
    },
    ...helpers.map(({replica}) => ({
      replicaId: replica.id,
      count: REQUESTS_TO_HELPER,
    })),
  ].filter(({replicaId}) => ctx.limits.limitOf(replicaId) !== undefined);
  return needs.length === 0 || takePermits(ctx, exchange, needs);
}

/** Decides once, by the engines' current load. */
function decide(
  ctx: ServeContext,
  exchange: Exchange,
  {figures, share}: Pricing,
  replicas: readonly DirectReplica[],
): PlacingDecision {
  const startedAt = ctx.clock.now();
  const req = {...requestOf(ctx, exchange), sharePrice: share?.price()};
  const considered = usesSingleEngine(figures, req)
    ? sampled(ctx, replicas)
    : replicas;
  const candidates = withLoads(ctx, considered);
  const pool = {
    figures,
    candidates,
    weightPerPrefillMs: ctx.requestWeights.weightPerPrefillMs(),
    fullness: ctx.fullness,
  };
  const decision = placeOrWait(pool, req);
  ctx.pollPace.recordPoll(ctx.clock.now() - startedAt);
  return decision;
}

function sampled(
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

function notPlaced(reason: string, retryAfterMs?: number): NotPlaced {
  return {kind: 'none', reason, retryAfterMs};
}

function rejected({reason, retryAfterMs}: Rejection): NotPlaced {
  return notPlaced(reason, retryAfterMs);
}

function withRetrySpread({random}: ServeContext, ms: number): number {
  return ms * (1 + RETRY_SPREAD * (2 * random.next() - 1));
}

function pause({clock}: ServeContext, ms: number): Promise<void> {
  return new Promise(resolve => void clock.after(ms, resolve));
}

/** Logs a line when a request begins to wait and when the reason changes. */
function createWaitLog({log}: ServeContext, {id, elapsedMs}: Exchange) {
  let lastReason: WaitReason | undefined;
  return (reason: WaitReason): void => {
    if (reason === lastReason) return;
    lastReason = reason;
    const waitedMs = Math.round(elapsedMs());
    log(DIRECT_EVENTS.waiting, {requestId: id, reason, waitedMs});
  };
}
