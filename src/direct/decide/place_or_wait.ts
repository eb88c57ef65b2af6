/**
 * Decides whether a request is placed on engines now, waits at its entry, or is
 * refused.
 *
 * Under overload, bursts of long prompts meet short streams on the same engines.
 * If each request were placed on arrival, a prompt of 400,000 tokens without free
 * engines would be prefilled beside twenty short streams for seconds. All of them
 * would be late, and so would the prompt. A request is therefore not placed while
 * it would cost others more than it gains its own caller, or while it would cost
 * less a moment later, after the current prefills. A request that costs too much
 * and would be late even on idle engines is refused at once, so that its caller
 * can retry later, when engines may be free.
 *
 * The longest prompts miss their latency objective even on idle engines, and one
 * of them takes more engine time than a hundred short ones. At any price of
 * engine time they would be refused whenever anything else is prefilled, also
 * under a light load, and again on each retry. Engine time therefore costs
 * nothing while enough engines are free.
 */
import type {EngineFigures} from '../types.js';
import {emptyLoad} from '../replica_load.js';
import {MAX_GROUP_SIZE, chooseEngines, minLoss} from './choose_engines.js';
import type {EnginePlan} from './choose_engines.js';
import type {EngineCandidate, EngineRequest} from './score_engine.js';
import {shareFullness} from './share_price.js';
import type {ShareCause, SharePrice} from './share_price.js';

/**
 * Delays for which a later placement is evaluated, in milliseconds. The shortest
 * is about one interval of the placement polls. The longest is the prefill of
 * a long prompt's parts on a few engines; a longer wait costs a long prompt more
 * of its latency objective than it gains.
 */
const LATER_DELAYS_MS = [50, 200, 800] as const;
/**
 * Added to each of these delays, in milliseconds. A later placement happens at
 * the next poll, with load reports that are slightly old, and competes with other
 * requests that wait for the same engines. Without this addition, short prompts
 * would wait until they are late.
 */
const POLL_LATENESS_MS = 40;
/**
 * A request waits for a later placement only if that saves more than this share
 * of its weight.
 */
const MIN_WAIT_GAIN = 0.01;
/**
 * Price of one millisecond of engine time on full engines, as a share of the
 * requests' usual weight per millisecond of prefill. At this price, the engine
 * time of a late prompt of 100,000 tokens or more costs more than the weight
 * that its placement still saves, and that of a late short prompt costs far
 * less. Without the price, fewer short prompts are in time when the load
 * exceeds the capacity.
 */
const ENGINE_TIME_PRICE_SHARE = 0.2;
/**
 * Prefill backlog at which an engine counts as fully busy, in milliseconds. A
 * short prompt behind that backlog would miss its latency objective, or would
 * make a stream on the engine pause too long.
 */
const BUSY_BACKLOG_MS = 300;
/** Shortest time after which a refused caller should retry, in milliseconds. */
const MIN_COME_BACK_MS = 250;
/**
 * A request that is held back by its share price waits for at most this share
 * of its latency objective. Its caller is then told when to come back.
 */
const HELD_AIM_SHARE = 1 / 8;
/**
 * Such a request does not wait where its placement costs more than this many
 * times what it gains: the price does not fall that far within the wait.
 */
const NO_PROSPECT = 2;

/** Properties of the request that the decision depends on. */
export interface PlacingRequest extends EngineRequest {
  /** It was sent to no replica yet, so it may be refused as not run. */
  readonly isNew: boolean;
  /** Undefined where engine time has its usual price. */
  readonly sharePrice?: SharePrice;
}

/** How full the engines are, from 0 to 1; the price of engine time follows it. */
export type Fullness = (candidates: readonly EngineCandidate[]) => number;

/** The engines of a service, and the price of their time. */
export interface EnginePool {
  /** Published figures, the same for all engines of the service. */
  readonly figures: EngineFigures;
  readonly candidates: readonly EngineCandidate[];
  /** Usual weight per millisecond of prefill; see `RequestWeights`. */
  readonly weightPerPrefillMs: number;
  /** @default defaultFullness */
  readonly fullness?: Fullness;
}

/** What happens to the request now. */
export type PlacingDecision =
  | {readonly kind: 'place'; readonly plan: EnginePlan}
  | {readonly kind: 'wait'; readonly reason: WaitReason}
  | {
      readonly kind: 'refuse';
      readonly reason: PlacingRefusalReason;
      /** Time from now until engines may be free, in milliseconds. */
      readonly comeBackMs: number;
    };

/** Why a request waits; logged. */
export type WaitReason =
  'no memory' | 'costs others more' | 'better later' | ShareCause;
/** Why a request is refused; logged. */
export type PlacingRefusalReason =
  'the caller would leave' | 'late for its cost' | ShareCause;

/** The decision on the request with the current load of the engines. */
export function placeOrWait(
  pool: EnginePool,
  req: PlacingRequest,
): PlacingDecision {
  const plan = chooseEngines(pool.figures, req, pool.candidates);
  if (plan === undefined) return {kind: 'wait', reason: 'no memory'};
  // A request that has run elsewhere must go on: a part of its answer was sent.
  if (!req.isNew) return {kind: 'place', plan};
  if (req.elapsedMs + plan.firstEventMs > req.callerTimeoutMs) {
    return refusal(pool, 'the caller would leave');
  }
  if (costToOthers(pool, plan, req) > req.weight * (1 - plan.ownLoss)) {
    return isLateOnIdleEngines(pool, req)
      ? refusal(pool, 'late for its cost')
      : {kind: 'wait', reason: 'costs others more'};
  }
  if (req.sharePrice !== undefined) {
    const held = heldBack(pool, req, plan, req.sharePrice);
    if (held !== undefined) return held;
  }
  return isBetterLater(pool, req, plan)
    ? {kind: 'wait', reason: 'better later'}
    : {kind: 'place', plan};
}

/**
 * Expected loss of other requests: those on the engines now, and, by the price of
 * engine time, those that arrive during the prefill.
 */
function costToOthers(
  pool: EnginePool,
  plan: EnginePlan,
  {sharePrice}: PlacingRequest,
): number {
  if (sharePrice?.isShort) return plan.harm;
  const {candidates, fullness = defaultFullness} = pool;
  return plan.harm + fullPrice(pool, plan) * fullness(candidates);
}

/** Price of the plan's engine time on full engines. */
function fullPrice({weightPerPrefillMs}: EnginePool, plan: EnginePlan): number {
  const engineMs = plan.partPrefillMs * (1 + plan.helpers.length);
  return ENGINE_TIME_PRICE_SHARE * weightPerPrefillMs * engineMs;
}

/**
 * The decision on a request for which engine time costs more than usual;
 * undefined where its placement gains more than it costs.
 */
function heldBack(
  pool: EnginePool,
  req: PlacingRequest,
  plan: EnginePlan,
  {factor, cause}: SharePrice,
): PlacingDecision | undefined {
  const surcharge =
    fullPrice(pool, plan) * (factor - 1) * shareFullness(pool.candidates);
  const gain = req.weight * (1 - plan.ownLoss);
  const cost = costToOthers(pool, plan, req) + surcharge;
  if (cause === undefined || surcharge === 0 || cost <= gain) return undefined;
  const hasProspect =
    cost <= NO_PROSPECT * gain && req.elapsedMs < HELD_AIM_SHARE * req.aimMs;
  return hasProspect ? {kind: 'wait', reason: cause} : refusal(pool, cause);
}

/**
 * Fullness by the mean prefill backlog, but 0 while the free engines suffice for
 * the largest group. By the mean alone, two prompts with four seconds of prefill
 * on sixteen of sixty engines made the fleet look full: prompts of more than
 * 800,000 tokens were refused at every attempt while 44 engines were free.
 */
export const defaultFullness: Fullness = candidates => {
  const hasFreeGroup = freeEngineCount(candidates) >= MAX_GROUP_SIZE;
  return hasFreeGroup
    ? 0
    : Math.min(1, meanBacklogMs(candidates) / BUSY_BACKLOG_MS);
};

/** Number of free engines; an engine with a small backlog counts in part. */
function freeEngineCount(candidates: readonly EngineCandidate[]): number {
  return candidates.reduce(
    (sum, {load}) => sum + Math.max(0, 1 - load.readMs / BUSY_BACKLOG_MS),
    0,
  );
}

/** Whether the request would miss its latency objective even on idle engines. */
function isLateOnIdleEngines(pool: EnginePool, req: PlacingRequest): boolean {
  const idleCandidates = pool.candidates.map(it => ({
    ...it,
    load: emptyLoad(it.load.replicaId),
  }));
  const plan = chooseEngines(pool.figures, req, idleCandidates);
  return plan !== undefined && req.elapsedMs + plan.firstEventMs > req.aimMs;
}

/** Mean prefill backlog of the engines, in milliseconds. */
function meanBacklogMs(candidates: readonly EngineCandidate[]): number {
  const sum = candidates.reduce((total, {load}) => total + load.readMs, 0);
  return sum / Math.max(1, candidates.length);
}

/** Whether a placement after one of `LATER_DELAYS_MS` would lose clearly less. */
function isBetterLater(
  {figures, candidates}: EnginePool,
  req: PlacingRequest,
  now: EnginePlan,
): boolean {
  const minGain = MIN_WAIT_GAIN * req.weight;
  if (now.loss - minLoss(figures, req) < minGain) return false;
  return LATER_DELAYS_MS.some(delayMs => {
    const laterReq = {
      ...req,
      elapsedMs: req.elapsedMs + delayMs + POLL_LATENESS_MS,
    };
    const later = chooseEngines(figures, laterReq, candidates, delayMs);
    return later !== undefined && later.loss + minGain < now.loss;
  });
}

/** A refusal; the caller should retry when the mean backlog is prefilled. */
function refusal(
  pool: EnginePool,
  reason: PlacingRefusalReason,
): PlacingDecision {
  const comeBackMs = Math.max(MIN_COME_BACK_MS, meanBacklogMs(pool.candidates));
  return {kind: 'refuse', reason, comeBackMs};
}
