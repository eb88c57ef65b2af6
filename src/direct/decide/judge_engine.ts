/**
 * Judges one engine for one part of a prompt: when the part would be read
 * there, and what those who read and write there would lose by it. What does
 * not depend on the part is worked out once for each engine, since a prompt is
 * judged for groups of many sizes, and an entry may have a quarter of a core.
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

/** An engine as it stands, or will stand after some time. */
export interface EngineState {
  readonly candidate: EngineCandidate;
  /** Reading ahead, in milliseconds. */
  readonly aheadMs: number;
  /** Who is read there, or waits for it. */
  readonly readers: readonly PrefillingRequest[];
  /** One pass with the newcomer writing, in milliseconds. */
  readonly passMs: number;
  /** Until it has a place, in milliseconds. */
  readonly queueMs: number;
  /** Loss of opening or crowding the engine, for a short read and any other. */
  readonly spreadOut: {readonly short: number; readonly other: number};
  /** Drawn loss that parts equals. */
  readonly tie: number;
}

/** A part of a prompt: all of it, or one of several even ones. */
export interface PromptPart {
  readonly readMs: number;
  readonly grouped: boolean;
}

export interface JudgedEngine {
  readonly candidate: EngineCandidate;
  readonly firstEventMs: number;
  /** Loss of those who write there, and of opening the engine. */
  readonly harm: number;
  /** Orders the candidates: the harm, and the newcomer's own risk there. */
  readonly rank: number;
}

/** Loss of opening an engine that has no like writers, of the newcomer's weight. */
const SPREAD_OUT_LOSS = 0.03;
/** What is read within this share of its pause aim goes beside its like. */
const SHORT_READ_SHARE = 0.4;
/** Engines are filled up to this share of their places. */
const FULL_SHARE = 0.7;
/** Beyond it, each tenth more of the places costs as much as a new engine. */
const CROWDING = 10;
/** From a request's arrival to its first event, besides all reading. */
const PASSES_TO_FIRST = 1.5;
/** A place is freed about this often at a full engine. */
const PLACE_WAIT_MS = 150;
/** Ranks what is otherwise equal: the share of the aim that is used. */
export const TIME_LOSS = 0.1;
/**
 * Drawn loss that parts equals. Entries that choose in the same instant, before
 * they hear of each other, would all take the first of the idle engines.
 */
const TIE_LOSS = 0.002;

/** The engine once so much more time has been spent reading. */
export function stateOf(
  figures: EngineFigures,
  req: EngineRequest,
  candidate: EngineCandidate,
  afterMs: number,
): EngineState {
  const {load, slowness, replica} = candidate;
  const queued = Math.max(0, load.running + 1 - replica.places);
  const aheadMs = Math.max(0, load.readMs - afterMs);
  return {
    candidate,
    aheadMs,
    // One that is overdue by what others told is still read as far as is known.
    readers: afterMs === 0 || aheadMs > 0 ? load.readers : [],
    passMs: passMs(figures, load.running + 1, load.tokens) * slowness,
    queueMs: queued * PLACE_WAIT_MS,
    spreadOut: spreadOut(req, candidate),
    tie: TIE_LOSS * req.draw(),
  };
}

export function judge(
  req: EngineRequest,
  state: EngineState,
  part: PromptPart,
): JudgedEngine {
  const {candidate, aheadMs, passMs: pass, queueMs} = state;
  const {load, slowness} = candidate;
  const {weight} = req;
  // A group's newest part is read first; newer ones will come before this one.
  const firstEventMs =
    PASSES_TO_FIRST * pass + (aheadMs + part.readMs) * slowness + queueMs;
  const isShort = part.readMs <= SHORT_READ_SHARE * req.pauseAimMs;
  const opening = isShort ? state.spreadOut.short : state.spreadOut.other;
  const harm =
    pausesLoss(load, pass + aheadMs, part.readMs) +
    (part.grouped ? readersLoss(state.readers, part.readMs * slowness) : 0) +
    weight * SPREAD_OUT_LOSS * opening;
  const timeShare = (req.elapsedMs + firstEventMs) / req.aimMs;
  const ownLoss =
    firstEventLoss(req, firstEventMs) + TIME_LOSS * timeShare + state.tie;
  return {candidate, firstEventMs, harm, rank: harm + weight * ownLoss};
}

/** When the first event comes at the earliest, whatever the engines' load. */
export function leastFirstEventMs(
  figures: EngineFigures,
  partReadMs: number,
): number {
  return PASSES_TO_FIRST * passMs(figures, 1, 0) + partReadMs;
}

/** Lateness that the newcomer's reading adds for those who write there. */
function pausesLoss(
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

/** Lateness of those whose reading a group's part goes before. */
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
 * For a short read 1 where nobody with as short a pause aim writes, and less
 * the more do: requests that are read in a fraction of the pause they bear fill
 * few engines, and leave the rest to long reads. The last places stay free,
 * since other entries choose as well.
 */
function spreadOut(
  req: EngineRequest,
  {load, replica}: EngineCandidate,
): EngineState['spreadOut'] {
  const used = load.running / replica.places;
  if (used >= FULL_SHARE) {
    const crowded = 1 + (used - FULL_SHARE) * CROWDING;
    return {short: crowded, other: crowded};
  }
  const alike = load.writers.some(it => it.pauseAimMs <= req.pauseAimMs);
  return {short: alike ? 1 - used : 1, other: 0};
}
