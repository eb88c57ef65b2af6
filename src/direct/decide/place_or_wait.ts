/**
 * Whether a request is placed at engines now, waits at its entry, or is refused.
 *
 * The load it answers: bursts of long prompts beside streams of short ones, and
 * more of both than the engines carry. Placed as it comes, a prompt of 400,000
 * tokens that finds no free engines is read beside twenty short streams for
 * seconds, and all of them are late for one that is late itself. So nothing is
 * placed that costs others more than it gains its own caller; and nothing that
 * would cost less a moment later, when the parts that are being read are done.
 * A request whose time has passed meanwhile is refused there and then: its
 * caller may come back to engines that have room.
 *
 * The longest prompts miss their aim on idle engines, and one of them takes
 * more engine time than a hundred short ones. At any price of that time they
 * would be refused whenever anything else is read, on an easy day too, and
 * refused the same way on their return. So it has none while there is room.
 */
import type {EngineFigures} from '../types.js';
import {emptyLoad} from '../replica_load.js';
import {LARGEST_GROUP, chooseEngines, leastLoss} from './choose_engines.js';
import type {EnginePlan} from './choose_engines.js';
import type {EngineCandidate, EngineRequest} from './judge_engine.js';

/**
 * Delays at which a later placement is weighed. The least is a look away; the
 * most is what the parts of a long prompt take on a few engines: longer waits
 * cost a long prompt more of its aim than they gain.
 */
const LATER_MS = [50, 200, 800] as const;
/**
 * A later placement comes later than planned: at the next look, on news that is
 * a little old, and beside others who waited for the same engines. Without it
 * short prompts would wait into their lateness.
 */
const LOOK_LATE_MS = 40;
/** A later placement is waited for if it saves this share of the worth. */
const LEAST_GAIN = 0.01;
/**
 * Share of what requests are worth for each millisecond of reading that the
 * engines' time costs when they are full. Late prompts of a hundred thousand
 * tokens and more cost more than that, and late short ones far less. Without it
 * fewer short prompts are in time over capacity.
 */
const PRICE_SHARE = 0.2;
/**
 * An engine is busy with so much to read, in milliseconds: a short prompt that
 * came behind it would miss its aim, or make a stream there pause too long.
 */
const BUSY_BACKLOG_MS = 300;
/** When a refused caller comes back at the least. */
const LEAST_COME_BACK_MS = 250;

export interface PlacingRequest extends EngineRequest {
  /** No replica has had it: it may still be refused as not run. */
  readonly isNew: boolean;
}

/** How full the engines are, from 0 to 1. */
export type Fullness = (candidates: readonly EngineCandidate[]) => number;

/** The engines, and what their time is worth. */
export interface EnginePool {
  readonly figures: EngineFigures;
  readonly candidates: readonly EngineCandidate[];
  /** See `RequestWorth`. */
  readonly weightPerReadMs: number;
  /** @default fullWithoutRoom */
  readonly fullness?: Fullness;
}

export type PlacingDecision =
  | {readonly kind: 'place'; readonly plan: EnginePlan}
  | {readonly kind: 'wait'; readonly reason: WaitReason}
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      /** When there may be room, from now. */
      readonly comeBackMs: number;
    };

export type WaitReason = 'no memory' | 'costs others more' | 'better later';
export type RefusalReason = 'the caller would leave' | 'late for its cost';

export function placeOrWait(
  pool: EnginePool,
  req: PlacingRequest,
): PlacingDecision {
  const plan = chooseEngines(pool.figures, req, pool.candidates);
  if (plan === undefined) return {kind: 'wait', reason: 'no memory'};
  // What has run elsewhere goes on: its answer is half delivered.
  if (!req.isNew) return {kind: 'place', plan};
  if (req.elapsedMs + plan.firstEventMs > req.patienceMs) {
    return refuse(pool, 'the caller would leave');
  }
  if (costOf(pool, plan) > req.weight * (1 - plan.ownLoss)) {
    return isLateAnyway(pool, req)
      ? refuse(pool, 'late for its cost')
      : {kind: 'wait', reason: 'costs others more'};
  }
  return losesLessLater(pool, req, plan)
    ? {kind: 'wait', reason: 'better later'}
    : {kind: 'place', plan};
}

/** What others lose: those who are there, and those who come meanwhile. */
function costOf(pool: EnginePool, plan: EnginePlan): number {
  const {candidates, weightPerReadMs, fullness = fullWithoutRoom} = pool;
  const engineMs = plan.partReadMs * (1 + plan.helpers.length);
  const price = PRICE_SHARE * weightPerReadMs * fullness(candidates);
  return plan.harm + engineMs * price;
}

/**
 * Full by what the engines have to read on average, but not while as many of
 * them are free as any newcomer can use. Two prompts of four seconds on sixteen
 * of sixty engines made the fleet look full, and prompts of more than 800,000
 * tokens were refused at every try while forty-four engines were free.
 */
export const fullWithoutRoom: Fullness = candidates => {
  const hasRoom = freeEngines(candidates) >= LARGEST_GROUP;
  return hasRoom ? 0 : Math.min(1, backlogMs(candidates) / BUSY_BACKLOG_MS);
};

/** Engines that are free, each by how little it has to read. */
function freeEngines(candidates: readonly EngineCandidate[]): number {
  return candidates.reduce(
    (sum, {load}) => sum + Math.max(0, 1 - load.readMs / BUSY_BACKLOG_MS),
    0,
  );
}

/** Whether even idle engines would miss the aim by now. */
function isLateAnyway(pool: EnginePool, req: PlacingRequest): boolean {
  const idle = pool.candidates.map(it => ({
    ...it,
    load: emptyLoad(it.load.replicaId),
  }));
  const plan = chooseEngines(pool.figures, req, idle);
  return plan !== undefined && req.elapsedMs + plan.firstEventMs > req.aimMs;
}

/** Reading that an engine has ahead, on average, in milliseconds. */
function backlogMs(candidates: readonly EngineCandidate[]): number {
  const sum = candidates.reduce((total, {load}) => total + load.readMs, 0);
  return sum / Math.max(1, candidates.length);
}

function losesLessLater(
  {figures, candidates}: EnginePool,
  req: PlacingRequest,
  now: EnginePlan,
): boolean {
  const leastGain = LEAST_GAIN * req.weight;
  if (now.loss - leastLoss(figures, req) < leastGain) return false;
  return LATER_MS.some(ms => {
    const then = {...req, elapsedMs: req.elapsedMs + ms + LOOK_LATE_MS};
    const later = chooseEngines(figures, then, candidates, ms);
    return later !== undefined && later.loss + leastGain < now.loss;
  });
}

function refuse(pool: EnginePool, reason: RefusalReason): PlacingDecision {
  const comeBackMs = Math.max(LEAST_COME_BACK_MS, backlogMs(pool.candidates));
  return {kind: 'refuse', reason, comeBackMs};
}
