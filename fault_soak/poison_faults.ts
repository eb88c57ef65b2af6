/** Faults of a soak in which requests crash the replicas that run them. */
import type {Random} from '../src/types/runtime.js';
import type {FaultPlanShape, PlannedFault} from './faults.js';
import {planAtRandom} from './plan/random_times.js';

/** A request that crashes what runs it comes again, from now to the end. */
export interface PoisonRequest {
  readonly kind: 'poison-request';
  forMs: number;
  readonly path: 'stream' | 'once' | 'again';
  /** Mean pause of a caller between two of them. */
  readonly everyMs: number;
  readonly callers: number;
  /** From its arrival until the replica crashes. */
  readonly crashMs: number;
}

/**
 * Requests of which no two are alike come from now to the end; one part of their
 * prompts crashes what begins to answer them.
 */
export interface PoisonPart extends Omit<PoisonRequest, 'kind'> {
  readonly kind: 'poison-part';
  /** Whether it is the first part; else it follows the one that all share. */
  readonly isFirst: boolean;
}

/** Mean pause between two requests that crash replicas. */
const MEAN_POISON_GAP_MS = 9_000;
const POISON_PATHS = ['stream', 'once', 'again'] as const;
const POISON_CALLERS = 3;
const POISON_EVERY_MS = 900;
const POISON_CRASH_MS = 700;
const FIRST_PART_SHARE = 0.3;

/** Draws requests that crash replicas, from a separate random sequence as well. */
export function drawPoison(
  random: Random,
  {durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  return planAtRandom(random, MEAN_POISON_GAP_MS, durationMs, () => ({
    kind: 'poison-request',
    forMs: 0,
    path: POISON_PATHS[Math.floor(random.next() * POISON_PATHS.length)],
    everyMs: random.next() * POISON_EVERY_MS,
    callers: 1 + Math.floor(random.next() * POISON_CALLERS),
    crashMs: random.next() ** 2 * POISON_CRASH_MS,
  }));
}

/** Draws parts that crash replicas, from a separate random sequence as well. */
export function drawPoisonParts(
  random: Random,
  {durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  return planAtRandom(random, MEAN_POISON_GAP_MS, durationMs, () => ({
    kind: 'poison-part',
    forMs: 0,
    path: POISON_PATHS[Math.floor(random.next() * POISON_PATHS.length)],
    everyMs: random.next() * POISON_EVERY_MS,
    callers: 1 + Math.floor(random.next() * POISON_CALLERS),
    crashMs: random.next() ** 2 * POISON_CRASH_MS,
    isFirst: random.next() < FIRST_PART_SHARE,
  }));
}
