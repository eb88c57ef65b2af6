/** The faults of a run, drawn from its seed before anything starts. */
import type {PoisonPart, PoisonRequest} from './poison_faults.js';
import type {RelayFaults} from '../standins/relay_core.js';
import type {StoreMode} from '../standins/users_platform/store.js';
import type {Random} from '../src/types/runtime.js';

/** How a replica misbehaves. */
export type ReplicaFault = 'refuses' | 'hangs' | 'breaks-off' | 'slow';

/** One fault; `forMs` is how long until it is taken back. */
export type Fault =
  | {readonly kind: 'pause-entry'; readonly entry: number; forMs: number}
  | {readonly kind: 'kill-entry'; readonly entry: number; forMs: number}
  | {readonly kind: 'end-entry'; readonly entry: number; forMs: number}
  | {readonly kind: 'kill-all-entries'; forMs: number}
  | {readonly kind: 'step-clock'; readonly entry: number; forMs: number}
  | {readonly kind: 'store-mode'; readonly mode: StoreMode; forMs: number}
  | {readonly kind: 'forget-history'; forMs: number}
  | {
      readonly kind: 'store-link';
      readonly entry: number;
      readonly faults: RelayFaults;
      forMs: number;
    }
  | {
      readonly kind: 'replica-link';
      readonly replica: number;
      readonly faults: RelayFaults;
      forMs: number;
    }
  | {
      readonly kind: 'replica';
      readonly replica: number;
      readonly how: ReplicaFault;
      forMs: number;
    }
  | {readonly kind: 'replica-leaves'; readonly replica: number; forMs: number}
  | {readonly kind: 'rotate-key'; forMs: number}
  | RestoreStore
  | PoisonRequest
  | PoisonPart
  | ServerLimit
  | ServerLeaving
  | RetryAfter
  | ColdReplica
  | Evacuate;

/** The store goes away and comes back from a copy that is `forMs` old. */
export interface RestoreStore {
  readonly kind: 'restore-store';
  forMs: number;
  readonly awayMs: number;
  /** From the return until operators have written again. */
  readonly operatorMs: number;
  /** The same of each replica. */
  readonly replicaMs: readonly number[];
}

/** A replica names limits on its requests that change, until `forMs`. */
export interface ServerLimit {
  readonly kind: 'server-limit';
  forMs: number;
  readonly replica: number;
  /** Limits in requests a second, each from this much after the start. */
  readonly steps: ReadonlyArray<{
    readonly afterMs: number;
    readonly perSecond: number;
  }>;
}

/** A replica says in all its answers that it leaves, and ends after `forMs`. */
export interface ServerLeaving {
  readonly kind: 'server-leaving';
  forMs: number;
  readonly replica: number;
}

/** Replicas turn all requests away and ask for pauses, until `forMs`. */
export interface RetryAfter {
  readonly kind: 'retry-after';
  forMs: number;
  readonly replicas: readonly number[];
  readonly pauseS: number;
}

/** Operators evacuate failure domains, until `forMs`. */
export interface Evacuate {
  readonly kind: 'evacuation';
  forMs: number;
  readonly domains: readonly string[];
}

/** A replica ends, and is cold for a while after its next start. */
export interface ColdReplica {
  readonly kind: 'cold-replica';
  forMs: number;
  readonly replica: number;
}

/** What `--only` may name. */
export const FAULT_KINDS: ReadonlyArray<Fault['kind']> = [
  'pause-entry',
  'kill-entry',
  'end-entry',
  'kill-all-entries',
  'step-clock',
  'store-mode',
  'forget-history',
  'store-link',
  'replica-link',
  'replica',
  'replica-leaves',
  'rotate-key',
  'restore-store',
  'poison-request',
  'poison-part',
  'server-limit',
  'server-leaving',
  'retry-after',
  'evacuation',
  'cold-replica',
];

/** Faults that come beside another one when it is played alone. */
export const COMPANIONS: {
  readonly [F in Fault['kind']]?: ReadonlyArray<Fault['kind']>;
} = {
  'server-limit': ['pause-entry', 'kill-entry', 'end-entry', 'store-link'],
  'poison-part': [
    'pause-entry',
    'kill-entry',
    'end-entry',
    'kill-all-entries',
    'store-mode',
    'store-link',
    'restore-store',
    'poison-request',
  ],
  'server-leaving': [
    'pause-entry',
    'kill-entry',
    'store-mode',
    'store-link',
    'restore-store',
    'replica-leaves',
  ],
  'retry-after': ['pause-entry', 'kill-entry', 'end-entry', 'store-link'],
  evacuation: [
    'pause-entry',
    'kill-entry',
    'store-mode',
    'store-link',
    'forget-history',
    'restore-store',
  ],
  'cold-replica': [
    'pause-entry',
    'kill-entry',
    'end-entry',
    'kill-all-entries',
    'store-mode',
    'store-link',
    'restore-store',
  ],
};

/** A fault and when it begins, in milliseconds from the start of the run. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

export interface FaultPlanShape {
  readonly entries: number;
  readonly replicas: number;
  /** The replicas' failure domains. @default none */
  readonly domains?: readonly string[];
  readonly durationMs: number;
}

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
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * MEAN_GAP_MS;
  for (let atMs = gap(); atMs < shape.durationMs; atMs += gap()) {
    const forMs = SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS);
    plan.push({atMs, fault: one(draws)(forMs)});
  }
  return plan;
}

/**
 * Draws the returns of the store from a chance of their own, so that the other
 * faults of a seed stay as they are.
 */
export function drawReturns(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * MEAN_RETURN_GAP_MS;
  const rewriteMs = () => random.next() * LONGEST_REWRITE_MS;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    const fault: RestoreStore = {
      kind: 'restore-store',
      forMs: random.next() * LONGEST_MS,
      awayMs: random.next() * LONGEST_AWAY_MS,
      operatorMs: rewriteMs(),
      replicaMs: Array.from({length: replicas}, rewriteMs),
    };
    plan.push({atMs, fault});
  }
  return plan;
}

/** Draws replicas that name limits, from a chance of their own as well. */
export function drawLimits(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * MEAN_LIMIT_GAP_MS;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    const forMs = random.next() * LONGEST_LIMIT_MS;
    const count = 1 + Math.floor(random.next() * LIMIT_STEPS);
    const fault: ServerLimit = {
      kind: 'server-limit',
      forMs,
      replica: Math.floor(random.next() * replicas),
      steps: Array.from({length: count}, (_, at) => ({
        afterMs: (at * forMs) / count,
        perSecond: Math.round(random.next() * HIGHEST_LIMIT_PER_S * 10) / 10,
      })),
    };
    plan.push({atMs, fault});
  }
  return plan;
}

/** Mean pause between two replicas that say that they leave. */
const MEAN_DEPARTURE_GAP_MS = 4_000;
/** Longer than what a leaving replica still takes, so that it binds. */
const LONGEST_DEPARTURE_MS = 9_000;

/** Draws replicas that leave, from a chance of their own as well. */
export function drawDepartures(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * MEAN_DEPARTURE_GAP_MS;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    const fault: ServerLeaving = {
      kind: 'server-leaving',
      forMs: random.next() * LONGEST_DEPARTURE_MS,
      replica: Math.floor(random.next() * replicas),
    };
    plan.push({atMs, fault});
  }
  return plan;
}

/** Mean pause between two times in which replicas turn requests away. */
const MEAN_PAUSE_GAP_MS = 4_000;
const LONGEST_TURNING_AWAY_MS = 6_000;
const SHORTEST_PAUSE_S = 0.1;
const LONGEST_PAUSE_S = 2.5;

/** Draws replicas that ask for pauses, from a chance of their own as well. */
export function drawPauses(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * MEAN_PAUSE_GAP_MS;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    // One replica, some of them, or nearly all.
    const share = random.next() ** 2;
    const all = Array.from({length: replicas}, (_, at) => at);
    const some = all.filter(() => random.next() < share);
    const pauseS =
      SHORTEST_PAUSE_S + random.next() * (LONGEST_PAUSE_S - SHORTEST_PAUSE_S);
    const fault: RetryAfter = {
      kind: 'retry-after',
      forMs: random.next() * LONGEST_TURNING_AWAY_MS,
      replicas:
        some.length > 0 ? some : [all[Math.floor(random.next() * replicas)]],
      pauseS: Math.round(pauseS * 100) / 100,
    };
    plan.push({atMs, fault});
  }
  return plan;
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
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * MEAN_EVACUATION_GAP_MS;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    const one = domains[Math.floor(random.next() * domains.length)];
    const isAll = random.next() < ALL_DOMAINS_SHARE;
    const fault: Evacuate = {
      kind: 'evacuation',
      forMs: random.next() * LONGEST_EVACUATION_MS,
      domains: isAll ? domains : [one],
    };
    plan.push({atMs, fault});
  }
  return plan;
}

/** Mean pause between two replicas that start cold. */
const MEAN_COLD_GAP_MS = 1_500;

/** Draws replicas that start cold from a separate random sequence as well. */
export function drawColdStarts(
  random: Random,
  {replicas, durationMs}: FaultPlanShape,
): readonly PlannedFault[] {
  const plan: PlannedFault[] = [];
  const gap = () => -Math.log(1 - random.next()) * MEAN_COLD_GAP_MS;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    const replica = Math.floor(random.next() * replicas);
    plan.push({atMs, fault: {kind: 'cold-replica', forMs: 0, replica}});
  }
  return plan;
}
