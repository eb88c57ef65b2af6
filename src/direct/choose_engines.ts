/**
 * Chooses the engine, or the group of engines, that reads and writes a prompt:
 * the one with the least expected loss, which is the newcomer's own lateness
 * plus the pauses that its reading gives to those who write there. Reading runs
 * inside the engine's passes, so a long read holds up every stream beside it.
 */
import {passMs, readMs} from './engine_timing.js';
import type {ReplicaLoad} from './load_book.js';
import type {DirectReplica, EngineFigures} from './types.js';

/** An engine that could take the request, or a part of it. */
export interface EngineCandidate {
  readonly replica: DirectReplica;
  readonly load: ReplicaLoad;
  /** Time taken over time expected, as seen. */
  readonly slowness: number;
}

/** What the choice depends on. */
export interface EngineRequest {
  readonly promptTokens: number;
  /** Tokens that the answer may take of the memory. */
  readonly answerTokens: number;
  readonly aimMs: number;
  readonly pauseAimMs: number;
  /** Time that has passed since the request came. */
  readonly elapsedMs: number;
}

/** The choice. Members beside the first read even parts. */
export interface EnginePlan {
  readonly first: EngineCandidate;
  readonly helpers: readonly EngineCandidate[];
  /** Each member's reading, in milliseconds. */
  readonly partReadMs: number;
  /** Tokens of the prompt that each member holds; 0 for no reservations. */
  readonly partTokens: number;
  readonly firstEventMs: number;
  /** Expected loss, in the unit of `weightOf`. */
  readonly loss: number;
}

/** Sizes of groups that are compared; a replica takes 16 helpers at most. */
const GROUP_SIZES = [1, 2, 3, 4, 6, 8, 12, 16] as const;
/** Worth of a request grows less than its length does. */
const WEIGHT_EXPONENT = 0.75;
/** Lateness is expected from this share of an aim on, and sure at all of it. */
const RISK_FROM = 0.6;
/** Memory kept free of the prediction's error. */
const MEMORY_SHARE = 0.96;
/** Prompts over this share of the memory are held by all members. */
const SPREAD_MEMORY_SHARE = 0.25;
/** Two prompts of this share leave no room for any other at one engine. */
const ONE_HOLDER_SHARE = 0.6;
/** Loss for each member more, as a share of the newcomer's weight. */
const MEMBER_LOSS = 0.002;
/** Loss of opening an engine that has no like writers, as such a share. */
const SPREAD_OUT_LOSS = 0.03;
/** A place is freed about this often at a full engine. */
const PLACE_WAIT_MS = 150;
/** Ranks what is otherwise equal: the share of the aim that is used. */
const TIME_LOSS = 0.02;

/** What a request's lateness costs, relative to others. */
export function weightOf(promptTokens: number): number {
  return Math.max(1, promptTokens) ** WEIGHT_EXPONENT;
}

/** The best plan; undefined when no engine or group has the memory now. */
export function chooseEngines(
  figures: EngineFigures,
  req: EngineRequest,
  candidates: readonly EngineCandidate[],
): EnginePlan | undefined {
  let best: EnginePlan | undefined;
  for (const size of GROUP_SIZES) {
    if (size > candidates.length) break;
    const plan = planOf(figures, req, candidates, size);
    if (plan === undefined) continue;
    if (best === undefined || plan.loss < best.loss) best = plan;
  }
  return best;
}

interface Judged {
  readonly candidate: EngineCandidate;
  readonly firstEventMs: number;
  /** Loss of those who write there, and of opening the engine. */
  readonly harm: number;
  /** Orders the candidates: the harm, and the newcomer's own risk there. */
  readonly rank: number;
}

function planOf(
  figures: EngineFigures,
  req: EngineRequest,
  candidates: readonly EngineCandidate[],
  size: number,
): EnginePlan | undefined {
  const total = req.promptTokens + req.answerTokens;
  const spread = size > 1 && total > SPREAD_MEMORY_SHARE * figures.memoryTokens;
  const tooMuchForOne = total > ONE_HOLDER_SHARE * figures.memoryTokens;
  if (size === 1 && tooMuchForOne && candidates.length > 1) return undefined;
  const held = spread ? req.promptTokens / size + req.answerTokens : total;
  const partReadMs = readMs(figures, req.promptTokens, size);
  const judged = candidates
    .filter(it => !spread || hasMemory(figures, it, held))
    .map(it => judge(figures, req, it, partReadMs))
    .sort((a, b) => a.rank - b.rank);
  const first = judged.find(it => hasMemory(figures, it.candidate, held));
  if (first === undefined || judged.length < size) return undefined;
  const helpers = judged.filter(it => it !== first).slice(0, size - 1);
  return assemble(req, first, helpers, {
    partReadMs,
    partTokens: spread ? Math.ceil(req.promptTokens / size) : 0,
  });
}

function assemble(
  req: EngineRequest,
  first: Judged,
  helpers: readonly Judged[],
  part: Pick<EnginePlan, 'partReadMs' | 'partTokens'>,
): EnginePlan {
  const members = [first, ...helpers];
  const firstEventMs = Math.max(...members.map(it => it.firstEventMs));
  const weight = weightOf(req.promptTokens);
  const loss =
    members.reduce((sum, it) => sum + it.harm, 0) +
    weight * risk((req.elapsedMs + firstEventMs) / req.aimMs) +
    weight * TIME_LOSS * (firstEventMs / req.aimMs) +
    weight * MEMBER_LOSS * helpers.length;
  return {
    ...part,
    first: first.candidate,
    helpers: helpers.map(it => it.candidate),
    firstEventMs,
    loss,
  };
}

function hasMemory(
  figures: EngineFigures,
  {load}: EngineCandidate,
  tokens: number,
): boolean {
  return load.tokens + tokens <= figures.memoryTokens * MEMORY_SHARE;
}

function judge(
  figures: EngineFigures,
  req: EngineRequest,
  candidate: EngineCandidate,
  partReadMs: number,
): Judged {
  const {load, slowness, replica} = candidate;
  const pass = passMs(figures, load.running + 1);
  const queued = Math.max(0, load.running + 1 - replica.places);
  const reading = load.readMs + partReadMs;
  const firstEventMs =
    (1.5 * pass + reading) * slowness + queued * PLACE_WAIT_MS;
  const weight = weightOf(req.promptTokens);
  const aimShare = (req.elapsedMs + firstEventMs) / req.aimMs;
  const harm =
    pauseLoss(load, pass * slowness, load.readMs, reading) +
    weight * SPREAD_OUT_LOSS * spreadOut(load, req.pauseAimMs);
  return {
    candidate,
    firstEventMs,
    harm,
    rank: harm + weight * (risk(aimShare) + TIME_LOSS * aimShare),
  };
}

/** Lateness that the newcomer's reading adds for those who write there. */
function pauseLoss(
  load: ReplicaLoad,
  pass: number,
  readBefore: number,
  readAfter: number,
): number {
  return load.writers.reduce((sum, {pauseAimMs, weight}) => {
    const after = risk((pass + readAfter) / pauseAimMs);
    const before = risk((pass + readBefore) / pauseAimMs);
    return sum + weight * (after - before);
  }, 0);
}

/**
 * 1 where nobody with as short a pause aim writes, else 0: requests that bear
 * only short pauses keep to few engines, and leave the rest to long reads.
 */
function spreadOut(load: ReplicaLoad, pauseAimMs: number): number {
  const alike = load.writers.some(it => it.pauseAimMs <= pauseAimMs);
  return alike ? 0 : 1;
}

/** Chance of being late, from the share of the aim that is used up. */
function risk(share: number): number {
  return Math.min(1, Math.max(0, (share - RISK_FROM) / (1 - RISK_FROM)));
}
