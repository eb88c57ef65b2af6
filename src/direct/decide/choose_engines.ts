/**
 * Chooses the engine, or the group of engines, that reads and writes a prompt:
 * the one with the least expected loss, which is the newcomer's own lateness
 * plus the pauses that its reading gives to those who write there. Reading runs
 * inside the engine's passes, so a long read holds up every stream beside it.
 */
import {passMs, readMs} from './engine_timing.js';
import {firstEventLoss, pauseLoss, slackRisk} from './waiting_loss.js';
import type {FirstEventBounds} from './waiting_loss.js';
import type {ReplicaLoad} from '../load_book.js';
import type {DirectReplica, EngineFigures} from '../types.js';

/** An engine that could take the request, or a part of it. */
export interface EngineCandidate {
  readonly replica: DirectReplica;
  readonly load: ReplicaLoad;
  /** Time taken over time expected, as seen. */
  readonly slowness: number;
}

/** What the choice depends on. */
export interface EngineRequest extends FirstEventBounds {
  readonly promptTokens: number;
  /** What its lateness costs; see `weightOf`. */
  readonly weight: number;
  /** Tokens that the answer may take of the memory. */
  readonly answerTokens: number;
  readonly pauseAimMs: number;
  /** Uniform in [0, 1); see `TIE_LOSS`. */
  readonly draw: () => number;
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
  /** Share of its own worth that the request is expected to lose. */
  readonly ownLoss: number;
  /** What others are expected to lose by it, in the unit of `weightOf`. */
  readonly harm: number;
  /** Both together, and small terms that rank what is otherwise equal. */
  readonly loss: number;
}

/** Sizes of groups that are compared; a replica takes 16 helpers at most. */
const GROUP_SIZES = [1, 2, 3, 4, 6, 8, 12, 16] as const;
/** Memory kept free of the prediction's error. */
const MEMORY_SHARE = 0.96;
/** Prompts over this share of the memory are held by all members. */
const SPREAD_MEMORY_SHARE = 0.25;
/** Two prompts of this share leave no room for any other at one engine. */
const ONE_HOLDER_SHARE = 0.6;
/** Loss for each member more, as a share of the newcomer's weight. */
const MEMBER_LOSS = 0.006;
/** Loss of opening an engine that has no like writers, as such a share. */
const SPREAD_OUT_LOSS = 0.03;
/** What is read within this share of its pause aim goes beside its like. */
const SHORT_READ_SHARE = 0.4;
/** Engines are filled up to this share of their places. */
const FULL_SHARE = 0.7;
/** Beyond it, each tenth more of the places costs as much as a new engine. */
const CROWDING = 10;
/** A place is freed about this often at a full engine. */
const PLACE_WAIT_MS = 150;
/** Ranks what is otherwise equal: the share of the aim that is used. */
const TIME_LOSS = 0.1;
/**
 * Drawn loss that parts equals. Entries that choose in the same instant, before
 * they hear of each other, would all take the first of the idle engines.
 */
const TIE_LOSS = 0.002;

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
  const part = {readMs: partReadMs, grouped: size > 1};
  const judged = candidates
    .filter(it => !spread || hasMemory(figures, it, held))
    .map(it => judge(figures, req, it, part))
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
  const {weight} = req;
  const harm = members.reduce((sum, it) => sum + it.harm, 0);
  const ownLoss = firstEventLoss(req, firstEventMs);
  const rank =
    TIME_LOSS * (firstEventMs / req.aimMs) + MEMBER_LOSS * helpers.length;
  return {
    ...part,
    first: first.candidate,
    helpers: helpers.map(it => it.candidate),
    firstEventMs,
    ownLoss,
    harm,
    loss: harm + weight * (ownLoss + rank),
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
  part: {readonly readMs: number; readonly grouped: boolean},
): Judged {
  const {load, slowness, replica} = candidate;
  const {weight} = req;
  const pass = passMs(figures, load.running + 1, load.tokens) * slowness;
  const queued = Math.max(0, load.running + 1 - replica.places);
  // A group's newest part is read first; newer ones will come before this one.
  const aheadMs = load.readMs;
  const firstEventMs =
    1.5 * pass + (aheadMs + part.readMs) * slowness + queued * PLACE_WAIT_MS;
  const harm =
    pausesLoss(load, pass, part.readMs) +
    (part.grouped ? readersLoss(load, part.readMs * slowness) : 0) +
    weight * SPREAD_OUT_LOSS * spreadOut(req, candidate, part.readMs);
  const timeShare = (req.elapsedMs + firstEventMs) / req.aimMs;
  const ownLoss =
    firstEventLoss(req, firstEventMs) +
    TIME_LOSS * timeShare +
    TIE_LOSS * req.draw();
  return {
    candidate,
    firstEventMs,
    harm,
    rank: harm + weight * ownLoss,
  };
}

/** Lateness that the newcomer's reading adds for those who write there. */
function pausesLoss(load: ReplicaLoad, pass: number, addedMs: number): number {
  return load.writers.reduce((sum, {pauseAimMs, weight}) => {
    const before = pauseLoss(pass + load.readMs, pauseAimMs);
    const after = pauseLoss(pass + load.readMs + addedMs, pauseAimMs);
    return sum + weight * (after - before);
  }, 0);
}

/** Lateness of those whose reading a group's part goes before. */
function readersLoss(load: ReplicaLoad, addedMs: number): number {
  return load.readers.reduce((sum, {slackMs, marginMs, weight}) => {
    const before = slackRisk(slackMs, marginMs);
    const after = slackRisk(slackMs - addedMs, marginMs);
    return sum + weight * (after - before);
  }, 0);
}

/**
 * 1 where nobody with as short a pause aim writes, and less the more do:
 * requests that are read in a fraction of the pause they bear fill few engines,
 * and leave the rest to long reads. The last places stay free, since other
 * entries choose as well.
 */
function spreadOut(
  req: EngineRequest,
  {load, replica}: EngineCandidate,
  ownReadMs: number,
): number {
  const used = load.running / replica.places;
  if (used >= FULL_SHARE) return 1 + (used - FULL_SHARE) * CROWDING;
  if (ownReadMs > SHORT_READ_SHARE * req.pauseAimMs) return 0;
  const alike = load.writers.some(it => it.pauseAimMs <= req.pauseAimMs);
  return alike ? 1 - used : 1;
}
