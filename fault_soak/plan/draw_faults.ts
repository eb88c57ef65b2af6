/**
 * Draws the faults of a run from its seed before anything starts. Each function
 * has a random sequence of its own.
 */
import type {RelayFaults} from '../../standins/relay_core.js';
import type {Random} from '../../src/types/runtime.js';
import type {Fault, FaultPlanShape, PlannedFault} from '../faults.js';
import {planAtRandom} from './random_times.js';

/** Mean pause between two faults; shorter than most last, so they overlap. */
const MEAN_GAP_MS = 900;
const SHORTEST_MS = 100;
const LONGEST_MS = 5_000;

/** Mean pause between two returns of the store. */
const MEAN_RETURN_GAP_MS = 5_000;
const LONGEST_AWAY_MS = 1_200;
/** Operators and replicas write again within this. */
const LONGEST_REWRITE_MS = 1_500;

/** Mean pause between two replicas that begin to name limits. */
const MEAN_LIMIT_GAP_MS = 3_000;
const LONGEST_LIMIT_MS = 14_000;
const LIMIT_STEPS = 3;
const HIGHEST_LIMIT_PER_S = 5;

const LINK_FAULTS: readonly RelayFaults[] = [
  {silence: true},
  {refuse: true},
  {reset: true},
  {delayMs: 60},
  {delayMs: 700},
  {cut: 'towards-target'},
  {cut: 'towards-caller'},
];
const REPLICA_FAULTS = ['refuses', 'hangs', 'breaks-off', 'slow'] as const;
const STORE_MODES = ['busy', 'silent'] as const;

/** Draws the faults of a run; the same seed and shape give the same plan. */
export function drawFaults(
  random: Random,
  shape: FaultPlanShape,
): readonly PlannedFault[] {
  const upTo = (count: number) => Math.floor(random.next() * count);
  const one = <T>(all: readonly T[]): T => all[upTo(all.length)] as T;
  const entry = () => upTo(shape.entries);
  const replica = () => upTo(shape.replicas);
  const draws: ReadonlyArray<(forMs: number) => Fault> = [
    forMs => ({kind: 'pause-entry', entry: entry(), forMs}),
    forMs => ({kind: 'kill-entry', entry: entry(), forMs}),
    forMs => ({kind: 'end-entry', entry: entry(), forMs}),
    forMs => ({kind: 'kill-all-entries', forMs}),
    forMs => ({kind: 'step-clock', entry: entry(), forMs}),
    forMs => ({kind: 'store-mode', mode: one(STORE_MODES), forMs}),
    forMs => ({kind: 'forget-history', forMs}),
    forMs => ({
      kind: 'store-link',
      entry: entry(),
      faults: one(LINK_FAULTS),
      forMs,
    }),
    forMs => ({
      kind: 'replica-link',
      replica: replica(),
      faults: one(LINK_FAULTS),
      forMs,
    }),
    forMs => ({
      kind: 'replica',
      replica: replica(),
      how: one(REPLICA_FAULTS),
      forMs,
    }),
    forMs => ({kind: 'replica-leaves', replica: replica(), forMs}),
    forMs => ({kind: 'rotate-key', forMs}),
  ];
  return planAtRandom(random, MEAN_GAP_MS, shape.durationMs, () => {
    const forMs = SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS);
    return one(draws)(forMs);
  });
}

/**
 * Draws the returns of the store from a separate random sequence, so that the
 * other faults of a seed stay as they are.
 */
export function drawReturns(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  const rewriteMs = () => random.next() * LONGEST_REWRITE_MS;
  return planAtRandom(random, MEAN_RETURN_GAP_MS, durationMs, () => ({
    kind: 'restore-store',
    forMs: random.next() * LONGEST_MS,
    awayMs: random.next() * LONGEST_AWAY_MS,
    operatorMs: rewriteMs(),
    replicaMs: Array.from({length: replicas}, rewriteMs),
  }));
}

/** Draws replicas that name limits, from a separate random sequence as well. */
export function drawLimits(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  return planAtRandom(random, MEAN_LIMIT_GAP_MS, durationMs, () => {
    const forMs = random.next() * LONGEST_LIMIT_MS;
    const count = 1 + Math.floor(random.next() * LIMIT_STEPS);
    return {
      kind: 'server-limit',
      forMs,
      replica: Math.floor(random.next() * replicas),
      steps: Array.from({length: count}, (_, at) => ({
        afterMs: (at * forMs) / count,
        perSecond: Math.round(random.next() * HIGHEST_LIMIT_PER_S * 10) / 10,
      })),
    };
  });
}

/** Mean pause between two replicas that say that they leave. */
const MEAN_DEPARTURE_GAP_MS = 4_000;
/** Longer than what a leaving replica still takes, so that it binds. */
const LONGEST_DEPARTURE_MS = 9_000;

/** Draws replicas that leave, from a separate random sequence as well. */
export function drawDepartures(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  return planAtRandom(random, MEAN_DEPARTURE_GAP_MS, durationMs, () => ({
    kind: 'server-leaving',
    forMs: random.next() * LONGEST_DEPARTURE_MS,
    replica: Math.floor(random.next() * replicas),
  }));
}

/** Mean pause between two times in which replicas turn requests away. */
const MEAN_PAUSE_GAP_MS = 4_000;
const LONGEST_TURNING_AWAY_MS = 6_000;
const SHORTEST_PAUSE_S = 0.1;
const LONGEST_PAUSE_S = 2.5;

/** Draws replicas that ask for pauses, from a separate random sequence as well. */
export function drawPauses(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  return planAtRandom(random, MEAN_PAUSE_GAP_MS, durationMs, () => {
    // One replica, some of them, or nearly all.
    const share = random.next() ** 2;
    const all = Array.from({length: replicas}, (_, at) => at);
    const some = all.filter(() => random.next() < share);
    const pauseS =
      SHORTEST_PAUSE_S + random.next() * (LONGEST_PAUSE_S - SHORTEST_PAUSE_S);
    return {
      kind: 'retry-after',
      forMs: random.next() * LONGEST_TURNING_AWAY_MS,
      replicas:
        some.length > 0 ? some : [all[Math.floor(random.next() * replicas)]],
      pauseS: Math.round(pauseS * 100) / 100,
    };
  });
}

/** Mean pause between two evacuations. */
const MEAN_EVACUATION_GAP_MS = 6_000;
/** Longer than the bound for what is sent there, so that it binds. */
const LONGEST_EVACUATION_MS = 18_000;
/** Share of evacuations of all domains at once. */
const ALL_DOMAINS_SHARE = 0.15;

/** Draws evacuations from a separate random sequence as well. */
export function drawEvacuations(
  random: Random,
  {domains = [], durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  return planAtRandom(random, MEAN_EVACUATION_GAP_MS, durationMs, () => {
    const one = domains[Math.floor(random.next() * domains.length)];
    const isAll = random.next() < ALL_DOMAINS_SHARE;
    return {
      kind: 'evacuation',
      forMs: random.next() * LONGEST_EVACUATION_MS,
      domains: isAll ? domains : [one],
    };
  });
}

/** Mean pause between two replicas that start cold. */
const MEAN_COLD_GAP_MS = 1_500;

/** Draws replicas that start cold from a separate random sequence as well. */
export function drawColdStarts(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  return planAtRandom(random, MEAN_COLD_GAP_MS, durationMs, () => {
    const replica = Math.floor(random.next() * replicas);
    return {kind: 'cold-replica', forMs: 0, replica};
  });
}
