/**
 * Replicas that stated in an answer that they are shutting down. The statement
 * holds until the replica's start ends, whatever the store says: its record may
 * be seconds old, or come from a restored copy.
 *
 * A replica that is shutting down still serves for a while. Requests that
 * arrive early in that time may go there when nothing else is left.
 */
import type {Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {StatedLeaving} from './replica_statements.js';

/**
 * Time for which a statement is remembered, in milliseconds. A replica that is
 * shutting down has ended by then.
 */
const KEPT_MS = 600_000;
/**
 * A statement that may be of an earlier start is remembered for this multiple of
 * the time for which a replica that is shutting down still serves.
 */
const MOVED_KEPT_FACTOR = 2;
/**
 * Requests may go to a replica that is shutting down within this share of the
 * time for which it still serves.
 */
const USED_SHARE = 0.75;

export interface Departures {
  /** Takes in what an answer of the replica states. */
  stated(replicaId: string, leaving: StatedLeaving): void;
  /** Whether the replica has stated that it is shutting down. */
  isLeaving(replicaId: string): boolean;
  /** Whether the replica still serves a request that arrived at that time. */
  stillServes(replicaId: string, arrivedAt: number): boolean;
  /**
   * Time in milliseconds since the replica first stated it; undefined where it
   * did not.
   */
  leavingForMs(replicaId: string): number | undefined;
  /**
   * Counts a statement of one start as one of another, for a short time: if it
   * was of the earlier start, the later one does not shut down.
   */
  move(fromId: string, toId: string): void;
  /** Drops what is known of a start that has ended. */
  forget(replicaId: string): void;
  count(): number;
}

/** That a replica is shutting down. */
interface Statement {
  /** On this process's clock, in milliseconds. */
  readonly at: number;
  /** Time for which it is remembered, in milliseconds. */
  readonly keptMs: number;
}

export interface DeparturesOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** How long a replica that is shutting down still serves, in milliseconds. */
  readonly leavingMs: number;
}

export function createDepartures(options: DeparturesOptions): Departures {
  const {clock, log} = options;
  const usedMs = options.leavingMs * USED_SHARE;
  const movedKeptMs = options.leavingMs * MOVED_KEPT_FACTOR;
  const statements = new Map<string, Statement>();
  /** When the replica first stated it; undefined where it did not. */
  const statedAt = (replicaId: string): number | undefined => {
    const statement = statements.get(replicaId);
    if (statement === undefined) return undefined;
    if (clock.now() - statement.at <= statement.keptMs) return statement.at;
    statements.delete(replicaId);
    return undefined;
  };
  const dropOld = (): void =>
    [...statements.keys()].forEach(id => statedAt(id));
  return {
    stated: (replicaId, leaving) => {
      switch (leaving.kind) {
        case 'none':
          return;
        case 'leaving':
          if (statements.get(replicaId)?.keptMs === KEPT_MS) return;
          dropOld();
          statements.set(replicaId, {
            at: statedAt(replicaId) ?? clock.now(),
            keptMs: KEPT_MS,
          });
          return log(DIRECT_EVENTS.replicaLeaving, {replica: replicaId});
        case 'unreadable':
          return log(DIRECT_EVENTS.noticeUnreadable, {
            replica: replicaId,
            notice: 'leaving',
            text: leaving.text,
          });
      }
    },
    isLeaving: replicaId => statedAt(replicaId) !== undefined,
    stillServes: (replicaId, arrivedAt) =>
      arrivedAt <= (statedAt(replicaId) ?? Infinity) + usedMs,
    leavingForMs: replicaId => {
      const at = statedAt(replicaId);
      return at === undefined ? undefined : clock.now() - at;
    },
    move: (fromId, toId) => {
      const at = statedAt(fromId);
      if (at === undefined || statedAt(toId) !== undefined) return;
      statements.set(toId, {at, keptMs: movedKeptMs});
    },
    forget: replicaId => void statements.delete(replicaId),
    count: () => statements.size,
  };
}
