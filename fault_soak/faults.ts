/** The faults of a run. */
import type {PoisonPart, PoisonRequest} from './poison_faults.js';
import type {RelayFaults} from '../standins/relay_core.js';
import type {StoreMode} from '../standins/users_platform/store.js';

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
