/**
 * Tracks the work assigned to each replica: assignments of this entry, and the
 * loads that its peers (the other entries) last reported. Both are known long
 * before a replica's own report. Without them, a batch that arrives at several
 * entries at once would go to the same replica.
 */
import type {Clock} from '../types/runtime.js';
import {addDecodingGroup, emptyLoad} from './replica_load.js';
import type {
  LoadSum,
  PeerLoad,
  PrefillingRequest,
  ReplicaLoad,
} from './replica_load.js';
import {createPeerLoads} from './peer_loads.js';
import type {ReportOptions} from './peer_loads.js';

/** One request's share of work at one replica. */
export interface Assignment {
  readonly replicaId: string;
  /**
   * Failure domain of an engine, whose entries must know of the work first;
   * undefined for a replica of a plain service, which all entries choose alike.
   */
  readonly failureDomain?: string;
  /**
   * Slots that the request takes; 0 for a group member that only prefills and
   * holds memory.
   */
  readonly places: 0 | 1;
  /** KV cache memory that the request needs, in tokens. */
  readonly tokens: number;
  /** Expected duration of the prefill, in milliseconds. */
  readonly prefillMs: number;
  /** Time from now until the prefill should be finished, in milliseconds. */
  readonly expectedMs: number;
  /** Time left until the latency objective, in milliseconds. */
  readonly aimLeftMs: number;
  /** Slack in milliseconds below which the objective may be missed. */
  readonly aimMarginMs: number;
  /** Longest pause between events that counts as on time, in milliseconds. */
  readonly pauseAimMs: number;
  /**
   * Cost of a late first token and, where the request takes a slot, of a late
   * event.
   */
  readonly weight: number;
}

/** An assignment that has not ended yet. */
export interface OpenAssignment {
  /** Records that the first token arrived, so that the prefill is complete. */
  markPrefilled(): void;
  end(): void;
}

/**
 * Assignment for a call to a plain service, or for a stream without published
 * engine figures.
 */
export function plainCallAssignment(
  replicaId: string,
  pauseAimMs: number,
): Assignment {
  return {
    replicaId,
    places: 1,
    tokens: 0,
    prefillMs: 0,
    expectedMs: 0,
    aimLeftMs: 0,
    aimMarginMs: 0,
    pauseAimMs,
    weight: 0,
  };
}

export interface LoadTracker {
  assign(work: Assignment): OpenAssignment;
  /** Replaces the loads that a peer reported, or some of them. */
  setPeerLoad(
    node: string,
    loads: readonly PeerLoad[],
    options?: ReportOptions,
  ): void;
  /** Load of a replica from all entries together. */
  totalLoad(replicaId: string): ReplicaLoad;
  /** Load from this entry alone, to be reported to its peers. */
  ownLoads(): readonly ReplicaLoad[];
  /** Number of this entry's open assignments at replicas that match. */
  openAssignments(matches: (replicaId: string) => boolean): number;
}

/**
 * What changed in this entry's own load: a long prefill was added, other work
 * was added, or work ended.
 */
export type OwnLoadChange = 'long' | 'more' | 'less';

/**
 * Prefills that take at least this long delay the streams on the same replica
 * by a large part of their pause objective, so peers are informed of them at
 * once.
 */
const LONG_PREFILL_MIN_MS = 100;
/**
 * Share of the expected duration that still counts as remaining for an overdue
 * prefill. Without it, the replica would look idle while it is still
 * prefilling.
 */
const OVERDUE_PREFILL_SHARE = 0.2;

interface AssignmentState {
  readonly assignment: Assignment;
  readonly assignedAt: number;
  isPrefilled: boolean;
}

/** `onChange` is called at each change of this entry's own load. */
export function createLoadTracker(
  clock: Clock,
  onChange: (change: OwnLoadChange, failureDomain: string | undefined) => void,
): LoadTracker {
  const ownByReplica = new Map<string, Set<AssignmentState>>();
  const peerLoads = createPeerLoads(clock);

  const addOwnLoad = (sum: LoadSum, replicaId: string): void => {
    const now = clock.now();
    for (const state of ownByReplica.get(replicaId) ?? []) {
      const {assignment} = state;
      sum.running += assignment.places;
      sum.tokens += assignment.tokens;
      if (!state.isPrefilled) {
        sum.readMs += remainingPrefillMs(state, now);
        sum.readers.push(toPrefillingRequest(state, now));
      }
      if (assignment.places > 0) addDecodingGroup(sum, assignment);
    }
  };
  const ownLoad = (replicaId: string): ReplicaLoad => {
    const sum = emptyLoad(replicaId);
    addOwnLoad(sum, replicaId);
    return sum;
  };

  return {
    assign: assignment => {
      const state: AssignmentState = {
        assignment,
        assignedAt: clock.now(),
        isPrefilled: false,
      };
      const states = ownByReplica.get(assignment.replicaId) ?? new Set();
      states.add(state);
      ownByReplica.set(assignment.replicaId, states);
      const {prefillMs, failureDomain} = assignment;
      const isLong = prefillMs >= LONG_PREFILL_MIN_MS;
      onChange(isLong ? 'long' : 'more', failureDomain);
      return {
        markPrefilled: () => {
          if (state.isPrefilled) return;
          state.isPrefilled = true;
          onChange('less', failureDomain);
        },
        end: () => {
          if (!states.delete(state)) return;
          if (states.size === 0) ownByReplica.delete(assignment.replicaId);
          onChange('less', failureDomain);
        },
      };
    },
    setPeerLoad: peerLoads.set,
    totalLoad: replicaId => {
      const sum = emptyLoad(replicaId);
      addOwnLoad(sum, replicaId);
      peerLoads.addTo(sum);
      return sum;
    },
    ownLoads: () => [...ownByReplica.keys()].map(ownLoad),
    openAssignments: matches =>
      [...ownByReplica]
        .filter(([replicaId]) => matches(replicaId))
        .reduce((sum, [, states]) => sum + states.size, 0),
  };
}

function remainingPrefillMs(
  {assignment, assignedAt}: AssignmentState,
  now: number,
): number {
  const share = 1 - (now - assignedAt) / Math.max(1, assignment.expectedMs);
  return assignment.prefillMs * Math.max(OVERDUE_PREFILL_SHARE, share);
}

function toPrefillingRequest(
  {assignment, assignedAt}: AssignmentState,
  now: number,
): PrefillingRequest {
  const elapsedMs = now - assignedAt;
  const expectedLeftMs = Math.max(0, assignment.expectedMs - elapsedMs);
  return {
    slackMs: Math.round(assignment.aimLeftMs - elapsedMs - expectedLeftMs),
    marginMs: Math.round(assignment.aimMarginMs),
    weight: Math.round(assignment.weight),
  };
}
