/** What replicas state about themselves in answers, for all parts of an entry. */
import type {Clock, Log} from '../../types/runtime.js';
import type {ReplicaNotices} from '../types.js';
import {createDepartures} from './departures.js';
import {createPauses} from './pauses.js';

/** What a dispatch's log line tells of the chosen replica. */
export interface DispatchNotices {
  /** Time in milliseconds since the replica stated that it shuts down. */
  readonly leavingForMs: number | undefined;
  /** Time left of the pause that the replica asked for, in milliseconds. */
  readonly pauseLeftMs: number | undefined;
}

export interface ReplicaGate {
  /** Takes in what an answer of the replica states. */
  answered(replicaId: string, notices: ReplicaNotices): void;
  dispatchNotices(replicaId: string): DispatchNotices;
  /** Drops what is known of a start that has ended. */
  forget(replicaId: string): void;
  /** Number of replicas that stated that they shut down. */
  leavingCount(): number;
  /** Number of replicas in a pause. */
  pausedCount(): number;
}

export function createReplicaGate(clock: Clock, log: Log): ReplicaGate {
  const departures = createDepartures(clock, log);
  const pauses = createPauses(clock, log);
  return {
    answered: (replicaId, {leaving, pause}) => {
      departures.answered(replicaId, leaving);
      pauses.answered(replicaId, pause);
    },
    dispatchNotices: replicaId => {
      const leavingForMs = departures.leavingForMs(replicaId);
      const pauseLeftMs = pauses.leftMs(replicaId);
      return {
        leavingForMs: leavingForMs && Math.round(leavingForMs),
        pauseLeftMs: pauseLeftMs === 0 ? undefined : Math.round(pauseLeftMs),
      };
    },
    forget: replicaId => {
      departures.forget(replicaId);
      pauses.forget(replicaId);
    },
    leavingCount: departures.count,
    pausedCount: pauses.count,
  };
}
