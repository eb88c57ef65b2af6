/**
 * Chooses the engine, or the group of engines, that serves a request: the one
 * with the lowest expected loss. The loss is the lateness of the request itself
 * plus the pauses that its prefill causes for streams on the same engines.
 * Prefill runs inside the engine's passes, so a long prefill delays every stream
 * on that engine.
 *
 * The choice is made for each request, and again while it waits, on machines
 * with a quarter of a core. Group sizes that cannot be the best are therefore
 * skipped. Scoring every engine for every size would take such a machine several
 * milliseconds with a large pool.
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

/** The chosen engines. All members prefill equal parts of the prompt. */
export interface EnginePlan {
  /** The engine that decodes the answer. */
  readonly lead: EngineCandidate;
  /** The other members of the group; empty for a single engine. */
  readonly helpers: readonly EngineCandidate[];
  /** Prefill time of each member's part, in milliseconds. */
  readonly partPrefillMs: number;
  /**
   * Prompt tokens for which each member reserves memory; 0 if the lead holds the
   * whole prompt and nothing is reserved.
   */
  readonly partTokens: number;
  /** Expected time from now to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Expected loss of the request itself, as a share of its weight. */
  readonly ownLoss: number;
  /** Expected loss of other requests, in the unit of `weightOf`. */
  readonly harm: number;
  /** Sum of both, and of small terms that order plans of equal loss. */
  readonly loss: number;
}

/** Largest group for one prompt: a replica accepts at most 16 helpers. */
export const MAX_GROUP_SIZE = 16;
/** Group sizes that are compared. */
const GROUP_SIZES = [1, 2, 3, 4, 6, 8, 12, MAX_GROUP_SIZE] as const;
/**
 * Shortest prefill of one part, in milliseconds. Smaller parts save less time
 * than the pass that each member has to wait for.
 */
const MIN_PART_PREFILL_MS = 40;
/**
 * Share of an engine's memory that may be planned for. The rest absorbs errors
 * of the predicted memory use.
 */
const USABLE_MEMORY_SHARE = 0.96;
/**
 * A group splits the memory for the prompt among its members if the request
 * needs more than this share of an engine's memory.
 */
const SPLIT_MEMORY_SHARE = 0.25;
/**
 * A request that needs more than this share of an engine's memory is split over
 * a group. Two requests of this size would leave one engine no memory for others.
 */
const SINGLE_ENGINE_SHARE = 0.6;
/** Loss for each member beyond the first, as a share of the request's weight. */
const EXTRA_MEMBER_LOSS = 0.006;
/**
 * Most engines that are considered for groups: three times the largest group. In
 * a larger pool these are the engines with the lowest score for one part of the
 * prompt; no group would use the others.
 */
const MAX_GROUP_CANDIDATES = 48;
/** Size of the group whose parts are used to score these engines. */
const RANKING_GROUP_SIZE = 8;

/**
 * Whether one engine prefills the whole prompt, whatever the load: halves of it
 * would be shorter than `MIN_PART_PREFILL_MS`. A prompt too large for the memory
 * of one engine is split, however short its prefill is.
 */
export function usesSingleEngine(
  figures: EngineFigures,
  req: EngineRequest,
): boolean {
  const isSmall = prefillMs(figures, req.promptTokens, 2) < MIN_PART_PREFILL_MS;
  return isSmall && !exceedsOneEngine(figures, req);
}

/**
 * The plan with the lowest loss; undefined if no engine or group has enough free
 * memory. `afterMs` evaluates the engines after that many more milliseconds of
 * prefill.
 */
export function chooseEngines(
  figures: EngineFigures,
  req: EngineRequest,
  candidates: readonly EngineCandidate[],
  afterMs = 0,
): EnginePlan | undefined {
  const states = candidates.map(it => engineStateOf(figures, req, it, afterMs));
  const groupable = states.filter(it => it.candidate.joinsGroups ?? true);
  let groupStates: readonly EngineState[] | undefined;
  let best: EnginePlan | undefined;
  for (const {size, partPrefillMs, idleLoss} of candidateSizes(
    figures,
    req,
    Math.max(Math.min(1, states.length), groupable.length),
  )) {
    if (best !== undefined && idleLoss >= best.loss) break;
    const sizeStates =
      size === 1
        ? states
        : (groupStates ??= bestGroupStates(figures, req, groupable));
    const plan = planForSize(figures, req, sizeStates, {
      size,
      prefillMs: partPrefillMs,
    });
    if (plan === undefined) continue;
    if (best === undefined || plan.loss < best.loss) best = plan;
  }
  return best;
}

/** Lower bound of any plan's loss, whatever the load of the engines. */
export function minLoss(figures: EngineFigures, req: EngineRequest): number {
  const partPrefillMs = prefillMs(figures, req.promptTokens, MAX_GROUP_SIZE);
  return idleLossOf(figures, req, partPrefillMs, 1);
}

interface GroupSizeOption {
  /** Number of members. */
  readonly size: number;
  /** Prefill time of each member's part, in milliseconds. */
  readonly partPrefillMs: number;
  /** Loss of a group of this size on idle engines. */
  readonly idleLoss: number;
}

/** Possible group sizes, the one with the lowest loss on idle engines first. */
function candidateSizes(
  figures: EngineFigures,
  req: EngineRequest,
  maxSize: number,
): readonly GroupSizeOption[] {
  const mustSplit = exceedsOneEngine(figures, req);
  const sizes: GroupSizeOption[] = [];
  for (const size of GROUP_SIZES) {
    const partPrefillMs = prefillMs(figures, req.promptTokens, size);
    const isPartTooSmall = size > 1 && partPrefillMs < MIN_PART_PREFILL_MS;
    if (size > maxSize || (isPartTooSmall && !mustSplit)) break;
    const idleLoss = idleLossOf(figures, req, partPrefillMs, size);
    sizes.push({size, partPrefillMs, idleLoss});
  }
  return sizes.sort((a, b) => a.idleLoss - b.idleLoss);
}

function idleLossOf(
  figures: EngineFigures,
  req: EngineRequest,
  partPrefillMs: number,
  size: number,
): number {
  return ownLossOf(req, minFirstEventMs(figures, partPrefillMs), size).weighted;
}

/**
 * Loss of the request itself: `share` as a share of its weight, and `weighted`
 * in the unit of `weightOf` with the terms that order plans of equal loss.
 */
function ownLossOf(req: EngineRequest, firstEventMs: number, size: number) {
  const share = firstEventLoss(req, firstEventMs);
  const rankingLoss =
    TIME_LOSS * (firstEventMs / req.aimMs) + EXTRA_MEMBER_LOSS * (size - 1);
  return {share, weighted: req.weight * (share + rankingLoss)};
}

/** At most `MAX_GROUP_CANDIDATES` engines with the lowest score for a part. */
function bestGroupStates(
  figures: EngineFigures,
  req: EngineRequest,
  states: readonly EngineState[],
): readonly EngineState[] {
  if (states.length <= MAX_GROUP_CANDIDATES) return states;
  const part = {
    prefillMs: prefillMs(figures, req.promptTokens, RANKING_GROUP_SIZE),
    isGroupPart: true,
  };
  return states
    .map(state => ({state, score: scoreEngine(req, state, part).score}))
    .sort((a, b) => a.score - b.score)
    .slice(0, MAX_GROUP_CANDIDATES)
    .map(({state}) => state);
}

/** The best plan with so many members; undefined if too few have the memory. */
function planForSize(
  figures: EngineFigures,
  req: EngineRequest,
  states: readonly EngineState[],
  part: {readonly size: number; readonly prefillMs: number},
): EnginePlan | undefined {
  const {size} = part;
  const totalTokens = req.promptTokens + req.answerTokens;
  const isSplit =
    size > 1 && totalTokens > SPLIT_MEMORY_SHARE * figures.memoryTokens;
  const mustSplit = exceedsOneEngine(figures, req) && states.length > 1;
  if (size === 1 && mustSplit) return undefined;
  const leadTokens = isSplit
    ? req.promptTokens / size + req.answerTokens
    : totalTokens;
  const partTokens = isSplit ? Math.ceil(req.promptTokens / size) : 0;
  const isGroup = size > 1;
  const scored: ScoredEngine[] = [];
  for (const state of states) {
    const fits = hasMemory(figures, state.candidate, leadTokens);
    if (!fits && (isSplit || !isGroup)) continue;
    scored.push(
      scoreEngine(req, state, {
        prefillMs: part.prefillMs,
        isGroupPart: isGroup,
      }),
    );
  }
  if (scored.length < size) return undefined;
  const members = isGroup
    ? selectMembers(figures, scored, leadTokens, size)
    : [lowestScored(scored)];
  if (members === undefined) return undefined;
  return buildPlan(req, members, {partPrefillMs: part.prefillMs, partTokens});
}

/**
 * The engines with the lowest scores. The first has memory for `leadTokens`;
 * undefined if no engine has.
 */
function selectMembers(
  figures: EngineFigures,
  scored: ScoredEngine[],
  leadTokens: number,
  size: number,
): readonly ScoredEngine[] | undefined {
  scored.sort((a, b) => a.score - b.score);
  const lead = scored.find(it => hasMemory(figures, it.candidate, leadTokens));
  if (lead === undefined) return undefined;
  return [lead, ...scored.filter(it => it !== lead).slice(0, size - 1)];
}

function lowestScored(scored: readonly ScoredEngine[]): ScoredEngine {
  return scored.reduce((best, it) => (it.score < best.score ? it : best));
}

function buildPlan(
  req: EngineRequest,
  members: readonly ScoredEngine[],
  part: Pick<EnginePlan, 'partPrefillMs' | 'partTokens'>,
): EnginePlan {
  const [lead, ...helpers] = members;
  const firstEventMs = Math.max(...members.map(it => it.firstEventMs));
  const harm = members.reduce((sum, it) => sum + it.harm, 0);
  const own = ownLossOf(req, firstEventMs, members.length);
  return {
    ...part,
    lead: lead.candidate,
    helpers: helpers.map(it => it.candidate),
    firstEventMs,
    ownLoss: own.share,
    harm,
    loss: harm + own.weighted,
  };
}

/** Whether the request needs too much memory to be held by one engine. */
function exceedsOneEngine(
  {memoryTokens}: EngineFigures,
  {promptTokens, answerTokens}: EngineRequest,
): boolean {
  return promptTokens + answerTokens > SINGLE_ENGINE_SHARE * memoryTokens;
}

function hasMemory(
  figures: EngineFigures,
  {load}: EngineCandidate,
  tokens: number,
): boolean {
  return load.tokens + tokens <= figures.memoryTokens * USABLE_MEMORY_SHARE;
}
