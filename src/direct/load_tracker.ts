/**
 * What is assigned to each replica: by this entry, work by work, and by the
 * other entries, as they last told. Both are known long before a replica's own
 * report, so that a batch which arrives at several entries at once does not
 * fall on one replica.
 */
import type {Clock} from '../types/runtime.js';
import {addWriterGroup, emptyLoad} from './replica_load.js';
import type {LoadSum, Reader, ReplicaLoad} from './replica_load.js';
import {createPeerLoads} from './peer_loads.js';

/** One request's part at one replica. */
export interface Assignment {
  readonly replicaId: string;
  /** Places it takes: 0 for a member that only reads and holds memory. */
  readonly places: 0 | 1;
  readonly tokens: number;
  readonly readMs: number;
  /** When the reading should be over, from now, in milliseconds. */
  readonly expectedMs: number;
  /** Time left to the latency objective, in milliseconds. */
  readonly aimLeftMs: number;
  readonly aimMarginMs: number;
  readonly pauseAimMs: number;
  /** Cost of a late first token, and of a pause where it takes a place. */
  readonly weight: number;
}

/** A work that was entered. */
export interface OpenAssignment {
  /** The first token came: nothing is left to read. */
  markPromptRead(): void;
  end(): void;
}

/** A call at a plain service, or a stream without published figures. */
export function plainCallAssignment(
  replicaId: string,
  pauseAimMs: number,
): Assignment {
  return {
    replicaId,
    places: 1,
    tokens: 0,
    readMs: 0,
    expectedMs: 0,
    aimLeftMs: 0,
    aimMarginMs: 0,
    pauseAimMs,
    weight: 0,
  };
}

export interface LoadTracker {
  assign(work: Assignment): OpenAssignment;
  /** What another entry told at this time. */
  setPeerLoad(
    node: string,
    loads: readonly ReplicaLoad[],
    /** How long it counts without a newer word, in milliseconds. */
    keepMs?: number,
  ): void;
  /** Load of all entries together. */
  totalLoad(replicaId: string): ReplicaLoad;
  /** Load of this entry alone, for the others. */
  ownLoads(): readonly ReplicaLoad[];
}

/** What changed in this entry's own load: a long read, other work, or less. */
export type OwnLoadChange = 'long' | 'more' | 'less';

/** Reads from here on hold up the streams beside them for a good part of a pause. */
const LONG_READ_MIN_MS = 100;
/** A read that is overdue still has this share of its time ahead. */
const OVERDUE_READ_SHARE = 0.2;

interface AssignmentState {
  readonly assignment: Assignment;
  readonly assignedAt: number;
  isPromptRead: boolean;
}

/** `onChange` hears of each change of this entry's own load. */
export function createLoadTracker(
  clock: Clock,
  onChange: (change: OwnLoadChange) => void,
): LoadTracker {
  const ownByReplica = new Map<string, Set<AssignmentState>>();
  const peerLoads = createPeerLoads(clock);

  const addOwnLoad = (sum: LoadSum, replicaId: string): void => {
    const now = clock.now();
    for (const state of ownByReplica.get(replicaId) ?? []) {
      const {assignment} = state;
      sum.running += assignment.places;
      sum.tokens += assignment.tokens;
      if (!state.isPromptRead) {
        sum.readMs += remainingReadMs(state, now);
        sum.readers.push(toReader(state, now));
      }
      if (assignment.places > 0) addWriterGroup(sum, assignment);
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
        isPromptRead: false,
      };
      const states = ownByReplica.get(assignment.replicaId) ?? new Set();
      states.add(state);
      ownByReplica.set(assignment.replicaId, states);
      onChange(assignment.readMs >= LONG_READ_MIN_MS ? 'long' : 'more');
      return {
        markPromptRead: () => {
          if (state.isPromptRead) return;
          state.isPromptRead = true;
          onChange('less');
        },
        end: () => {
          if (!states.delete(state)) return;
          if (states.size === 0) ownByReplica.delete(assignment.replicaId);
          onChange('less');
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
  };
}

function remainingReadMs(
  {assignment, assignedAt}: AssignmentState,
  now: number,
): number {
  const share = 1 - (now - assignedAt) / Math.max(1, assignment.expectedMs);
  return assignment.readMs * Math.max(OVERDUE_READ_SHARE, share);
}

function toReader(
  {assignment, assignedAt}: AssignmentState,
  now: number,
): Reader {
  const elapsedMs = now - assignedAt;
  const expectedLeftMs = Math.max(0, assignment.expectedMs - elapsedMs);
  return {
    slackMs: Math.round(assignment.aimLeftMs - elapsedMs - expectedLeftMs),
    marginMs: Math.round(assignment.aimMarginMs),
    weight: Math.round(assignment.weight),
  };
}
