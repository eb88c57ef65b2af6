/**
 * Scores one engine for one part of a prompt: when the part would be prefilled
 * there, and the expected loss of the requests that are prefilled or decoding
 * there. Values that do not depend on the part are computed once per engine. A
 * prompt is scored for many group sizes, and an entry may have only a quarter of
 * a core.
 */
import type {PrefillingRequest, ReplicaLoad} from '../replica_load.js';
import type {DirectReplica, EngineFigures} from '../types.js';
import {passMs} from './engine_timing.js';
import {firstEventLoss, pauseLoss, slackRisk} from './waiting_loss.js';
import type {FirstEventBounds} from './waiting_loss.js';

/** An engine that could take the request, or a part of it. */
export interface EngineCandidate {
  readonly replica: DirectReplica;
  readonly load: ReplicaLoad;
  /** Measured time of recent answers divided by the expected time. */
  readonly slowness: number;
  /**
   * False for an engine that gets only requests of its own: a group costs each
   * member several requests. @default true
   */
  readonly joinsGroups?: boolean;
}

/** Properties of the request that the choice depends on. */
export interface EngineRequest extends FirstEventBounds {
  readonly promptTokens: number;
  /** Cost of the request being late, relative to others; see `weightOf`. */
  readonly weight: number;
  /** Memory that the answer may need, in tokens. */
  readonly answerTokens: number;
  /** Longest pause between events that is on time, in milliseconds. */
  readonly pauseAimMs: number;
  /** Random number in [0, 1), uniform; see `TIE_BREAK_LOSS`. */
  readonly draw: () => number;
}

/** State of an engine, now or after some more milliseconds of prefill. */
export interface EngineState {
  readonly candidate: EngineCandidate;
  /** Prefill that is queued or running, in milliseconds. */
  readonly backlogMs: number;
  /** Requests whose prompts are being prefilled, or wait for it. */
  readonly readers: readonly PrefillingRequest[];
  /** Time of one pass while the request decodes, in milliseconds. */
  readonly passMs: number;
  /** Expected wait for a request slot, in milliseconds. */
  readonly slotWaitMs: number;
  /** See `occupancyPenaltyOf`; `short` applies to a short prefill. */
  readonly occupancyPenalty: {readonly short: number; readonly other: number};
  /** Small random loss that orders engines of equal loss. */
  readonly tieBreakLoss: number;
}

/** The whole prompt, or one of several equal parts of it. */
export interface PromptPart {
  /** Prefill time of the part on an idle engine, in milliseconds. */
  readonly prefillMs: number;
  /** The part is prefilled by a member of a group. */
  readonly isGroupPart: boolean;
}

/** An engine with the expected effects of prefilling one part there. */
export interface ScoredEngine {
  readonly candidate: EngineCandidate;
  /** Expected time from now to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Expected loss of other requests there, and the occupancy loss. */
  readonly harm: number;
  /** Sum of `harm` and the request's own expected loss; lower is better. */
  readonly score: number;
}

/**
 * Loss for an occupancy penalty of 1, as a share of the request's weight; see
 * `occupancyPenaltyOf`.
 */
const OCCUPANCY_LOSS = 0.03;
/**
 * A prefill is short if it takes at most this share of the request's pause
 * objective. Short prefills are placed on engines with similar streams.
 */
const SHORT_PREFILL_SHARE = 0.4;
/** Share of an engine's request slots up to which it is not crowded. */
const CROWDED_SHARE = 0.7;
/**
 * Beyond that share, each further tenth of the slots costs as much as the use of
 * an engine without similar streams.
 */
const CROWDING_SLOPE = 10;
/** Passes from a request's arrival to its first event, without any prefill. */
const PASSES_TO_FIRST_EVENT = 1.5;
/** Mean interval at which a full engine frees a slot, in milliseconds. */
const SLOT_WAIT_MS = 150;
/**
 * Loss of a request that uses up its whole latency objective, as a share of its
 * weight. It orders engines that are otherwise equal.
 */
export const TIME_LOSS = 0.1;
/**
 * Largest random loss that orders engines of equal loss. Without it, entries
 * that choose at the same time, before they receive each other's load, would all
 * choose the first idle engine.
 */
const TIE_BREAK_LOSS = 0.002;

/** The engine's state after `afterMs` more milliseconds of prefill. */
export function engineStateOf(
  figures: EngineFigures,
  req: EngineRequest,
  candidate: EngineCandidate,
  afterMs: number,
): EngineState {
  const {load, slowness, replica} = candidate;
  const queueLength = Math.max(0, load.running + 1 - replica.places);
  const backlogMs = Math.max(0, load.readMs - afterMs);
  return {
    candidate,
    backlogMs,
    // A backlog of 0 is an estimate from other entries' reports. As long as these
    // list readers, their prefill may still be running, so they count.
    readers: afterMs === 0 || backlogMs > 0 ? load.readers : [],
    passMs: passMs(figures, load.running + 1, load.tokens) * slowness,
    slotWaitMs: queueLength * SLOT_WAIT_MS,
    occupancyPenalty: occupancyPenaltyOf(req, candidate),
    tieBreakLoss: TIE_BREAK_LOSS * req.draw(),
  };
}

/** Expected effects of prefilling the part on the engine. */
export function scoreEngine(
  req: EngineRequest,
  state: EngineState,
  part: PromptPart,
): ScoredEngine {
  const {candidate, backlogMs, passMs: pass, slotWaitMs} = state;
  const {load, slowness} = candidate;
  const {weight} = req;
  // Engines prefill the newest group part first. The whole backlog counts also
  // for a group part, since newer parts will be prefilled before it.
  const firstEventMs =
    PASSES_TO_FIRST_EVENT * pass +
    (backlogMs + part.prefillMs) * slowness +
    slotWaitMs;
  const isShortPrefill = part.prefillMs <= SHORT_PREFILL_SHARE * req.pauseAimMs;
  const occupancyPenalty = isShortPrefill
    ? state.occupancyPenalty.short
    : state.occupancyPenalty.other;
  const harm =
    writersLoss(load, pass + backlogMs, part.prefillMs) +
    (part.isGroupPart
      ? readersLoss(state.readers, part.prefillMs * slowness)
      : 0) +
    weight * OCCUPANCY_LOSS * occupancyPenalty;
  const objectiveShare = (req.elapsedMs + firstEventMs) / req.aimMs;
  const ownLoss =
    firstEventLoss(req, firstEventMs) +
    TIME_LOSS * objectiveShare +
    state.tieBreakLoss;
  return {candidate, firstEventMs, harm, score: harm + weight * ownLoss};
}

/** Time to the first event on an idle engine, a lower bound for any load. */
export function minFirstEventMs(
  figures: EngineFigures,
  partPrefillMs: number,
): number {
  return PASSES_TO_FIRST_EVENT * passMs(figures, 1, 0) + partPrefillMs;
}

/** Loss that the added prefill causes for the decoding requests. */
function writersLoss(
  {writers}: ReplicaLoad,
  pauseMs: number,
  addedMs: number,
): number {
  let sum = 0;
  for (const {pauseAimMs, weight} of writers) {
    const before = pauseLoss(pauseMs, pauseAimMs);
    const after = pauseLoss(pauseMs + addedMs, pauseAimMs);
    sum += weight * (after - before);
  }
  return sum;
}

/** Loss of the waiting prompts before which a group part is prefilled. */
function readersLoss(
  readers: readonly PrefillingRequest[],
  addedMs: number,
): number {
  let sum = 0;
  for (const {slackMs, marginMs, weight} of readers) {
    const before = slackRisk(slackMs, marginMs);
    const after = slackRisk(slackMs - addedMs, marginMs);
    sum += weight * (after - before);
  }
  return sum;
}

/**
 * Penalty for occupying one more slot of the engine. For a short prefill it is 1
 * if no stream there has as short a pause objective, and otherwise the share of
 * free slots. Requests with a short prefill thus fill few engines, and the rest
 * remain for long prefills. A crowded engine has a penalty of at least 1 for any
 * prefill: its last slots stay free, since other entries choose it as well.
 */
function occupancyPenaltyOf(
  req: EngineRequest,
  {load, replica}: EngineCandidate,
): EngineState['occupancyPenalty'] {
  const usedShare = load.running / replica.places;
  if (usedShare >= CROWDED_SHARE) {
    const penalty = 1 + (usedShare - CROWDED_SHARE) * CROWDING_SLOPE;
    return {short: penalty, other: penalty};
  }
  const hasSimilarWriters = load.writers.some(
    it => it.pauseAimMs <= req.pauseAimMs,
  );
  return {short: hasSimilarWriters ? 1 - usedShare : 1, other: 0};
}
