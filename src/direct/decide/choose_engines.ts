/**
 * Chooses the engine, or the group of engines, that reads and writes a prompt:
 * the one with the least expected loss, which is the newcomer's own lateness
 * plus the pauses that its reading gives to those who write there. Reading runs
 * inside the engine's passes, so a long read holds up every stream beside it.
 *
 * The choice is made for each request and again while it waits, on machines
 * with a quarter of a core, so sizes of group that cannot be the best are not
 * looked at: judging every engine for every size would take such a machine
 * several milliseconds before a large pool.
 */
import type {EngineFigures} from '../types.js';
import {prefillMs} from './engine_timing.js';
import {
  TIME_LOSS,
  scoreEngine,
  minFirstEventMs,
  engineStateOf,
} from './score_engine.js';
import type {
  EngineCandidate,
  EngineRequest,
  EngineState,
  ScoredEngine,
} from './score_engine.js';
import {firstEventLoss} from './waiting_loss.js';

/** The choice. Members beside the first read even parts. */
export interface EnginePlan {
  readonly lead: EngineCandidate;
  readonly helpers: readonly EngineCandidate[];
  /** Each member's reading, in milliseconds. */
  readonly partPrefillMs: number;
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

/** Engines that read one prompt at the most; a replica takes 16 helpers. */
export const MAX_GROUP_SIZE = 16;
/** Sizes of groups that are compared. */
const GROUP_SIZES = [1, 2, 3, 4, 6, 8, 12, MAX_GROUP_SIZE] as const;
/** Smaller parts gain less than the pass that each member waits for. */
const LEAST_PART_MS = 40;
/** Memory kept free of the prediction's error. */
const MEMORY_SHARE = 0.96;
/** Prompts over this share of the memory are held by all members. */
const SPREAD_MEMORY_SHARE = 0.25;
/** Two prompts of this share leave no room for any other at one engine. */
const ONE_HOLDER_SHARE = 0.6;
/** Loss for each member more, as a share of the newcomer's weight. */
const MEMBER_LOSS = 0.006;
/**
 * Engines that groups are made of: three times the largest group, the best of
 * them by what a member's part would cost there. Others would be left out of
 * any group.
 */
const GROUP_CANDIDATES = 48;
/** Members of the group by whose parts those engines are ranked. */
const RANKED_BY_SIZE = 8;

/**
 * Whether the prompt is read by one engine, whatever the load. One that fills
 * the memory of an engine is shared out however fast it is read.
 */
export function usesSingleEngine(
  figures: EngineFigures,
  req: EngineRequest,
): boolean {
  const isSmall = prefillMs(figures, req.promptTokens, 2) < LEAST_PART_MS;
  return isSmall && !isTooMuchForOne(figures, req);
}

/**
 * The best plan; undefined when no engine or group has the memory now. With
 * `afterMs`, the best once the engines have read for so long.
 */
export function chooseEngines(
  figures: EngineFigures,
  req: EngineRequest,
  candidates: readonly EngineCandidate[],
  afterMs = 0,
): EnginePlan | undefined {
  const states = candidates.map(it => engineStateOf(figures, req, it, afterMs));
  let grouped: readonly EngineState[] | undefined;
  let best: EnginePlan | undefined;
  for (const {size, partPrefillMs: partReadMs, minLoss: least} of sizesOf(
    figures,
    req,
    states,
  )) {
    if (best !== undefined && least >= best.loss) break;
    const pool =
      size === 1 ? states : (grouped ??= bestStates(figures, req, states));
    const plan = planOf(figures, req, pool, {size, prefillMs: partReadMs});
    if (plan === undefined) continue;
    if (best === undefined || plan.loss < best.loss) best = plan;
  }
  return best;
}

/** No plan loses less than this, whatever the engines' load. */
export function minLoss(figures: EngineFigures, req: EngineRequest): number {
  const partReadMs = prefillMs(figures, req.promptTokens, MAX_GROUP_SIZE);
  return leastLossOf(figures, req, partReadMs, 1);
}

interface GroupSizeOption {
  readonly size: number;
  readonly partPrefillMs: number;
  /** Loss of a group of this size on idle engines. */
  readonly minLoss: number;
}

/** Sizes of group that may be had, the most promising first. */
function sizesOf(
  figures: EngineFigures,
  req: EngineRequest,
  {length}: readonly EngineState[],
): readonly GroupSizeOption[] {
  const mustSpread = isTooMuchForOne(figures, req);
  const sizes: GroupSizeOption[] = [];
  for (const size of GROUP_SIZES) {
    const partReadMs = prefillMs(figures, req.promptTokens, size);
    const isTooSmall = size > 1 && partReadMs < LEAST_PART_MS;
    if (size > length || (isTooSmall && !mustSpread)) break;
    const least = leastLossOf(figures, req, partReadMs, size);
    sizes.push({size, partPrefillMs: partReadMs, minLoss: least});
  }
  return sizes.sort((a, b) => a.minLoss - b.minLoss);
}

function leastLossOf(
  figures: EngineFigures,
  req: EngineRequest,
  partReadMs: number,
  size: number,
): number {
  return ownLossOf(req, minFirstEventMs(figures, partReadMs), size).ranked;
}

/** The newcomer's own loss, and the same with what ranks equals, weighed. */
function ownLossOf(req: EngineRequest, firstEventMs: number, size: number) {
  const share = firstEventLoss(req, firstEventMs);
  const rank =
    TIME_LOSS * (firstEventMs / req.aimMs) + MEMBER_LOSS * (size - 1);
  return {share, ranked: req.weight * (share + rank)};
}

/** The engines that are the best members of a group. */
function bestStates(
  figures: EngineFigures,
  req: EngineRequest,
  states: readonly EngineState[],
): readonly EngineState[] {
  if (states.length <= GROUP_CANDIDATES) return states;
  const part = {
    prefillMs: prefillMs(figures, req.promptTokens, RANKED_BY_SIZE),
    grouped: true,
  };
  return states
    .map(state => ({state, rank: scoreEngine(req, state, part).score}))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, GROUP_CANDIDATES)
    .map(({state}) => state);
}

function planOf(
  figures: EngineFigures,
  req: EngineRequest,
  states: readonly EngineState[],
  part: {readonly size: number; readonly prefillMs: number},
): EnginePlan | undefined {
  const {size} = part;
  const total = req.promptTokens + req.answerTokens;
  const spread = size > 1 && total > SPREAD_MEMORY_SHARE * figures.memoryTokens;
  const isShared = isTooMuchForOne(figures, req) && states.length > 1;
  if (size === 1 && isShared) return undefined;
  const held = spread ? req.promptTokens / size + req.answerTokens : total;
  const partTokens = spread ? Math.ceil(req.promptTokens / size) : 0;
  const grouped = size > 1;
  const judged: ScoredEngine[] = [];
  for (const state of states) {
    const isRoomy = hasMemory(figures, state.candidate, held);
    if (!isRoomy && (spread || !grouped)) continue;
    judged.push(scoreEngine(req, state, {prefillMs: part.prefillMs, grouped}));
  }
  if (judged.length < size) return undefined;
  const members = grouped
    ? groupOf(figures, judged, held, size)
    : [leastOf(judged)];
  if (members === undefined) return undefined;
  return assemble(req, members, {partPrefillMs: part.prefillMs, partTokens});
}

/** The best members; the first has the memory for what is not spread. */
function groupOf(
  figures: EngineFigures,
  judged: ScoredEngine[],
  held: number,
  size: number,
): readonly ScoredEngine[] | undefined {
  judged.sort((a, b) => a.score - b.score);
  const first = judged.find(it => hasMemory(figures, it.candidate, held));
  if (first === undefined) return undefined;
  return [first, ...judged.filter(it => it !== first).slice(0, size - 1)];
}

function leastOf(judged: readonly ScoredEngine[]): ScoredEngine {
  return judged.reduce((best, it) => (it.score < best.score ? it : best));
}

function assemble(
  req: EngineRequest,
  members: readonly ScoredEngine[],
  part: Pick<EnginePlan, 'partPrefillMs' | 'partTokens'>,
): EnginePlan {
  const [first, ...helpers] = members;
  const firstEventMs = Math.max(...members.map(it => it.firstEventMs));
  const harm = members.reduce((sum, it) => sum + it.harm, 0);
  const own = ownLossOf(req, firstEventMs, members.length);
  return {
    ...part,
    lead: first.candidate,
    helpers: helpers.map(it => it.candidate),
    firstEventMs,
    ownLoss: own.share,
    harm,
    loss: harm + own.ranked,
  };
}

function isTooMuchForOne(
  {memoryTokens}: EngineFigures,
  {promptTokens, answerTokens}: EngineRequest,
): boolean {
  return promptTokens + answerTokens > ONE_HOLDER_SHARE * memoryTokens;
}

function hasMemory(
  figures: EngineFigures,
  {load}: EngineCandidate,
  tokens: number,
): boolean {
  return load.tokens + tokens <= figures.memoryTokens * MEMORY_SHARE;
}
