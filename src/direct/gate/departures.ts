/**
 * Replicas that stated in an answer that they are shutting down. The statement
 * holds until the replica's start ends, whatever the store says: its record may
 * be seconds old, or come from a restored copy.
 */
import type {Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {StatedLeaving} from '../types.js';

/**
 * Time for which a statement is remembered, in milliseconds. A replica that is
 * shutting down has ended by then.
 */
const KEPT_MS = 600_000;

export interface Departures {
  /** Takes in what an answer of the replica states. */
  answered(replicaId: string, stated: StatedLeaving): void;
  /** Whether the replica has stated that it is shutting down. */
  isLeaving(replicaId: string): boolean;
  /**
   * Time in milliseconds since the replica first stated it; undefined where it
   * did not.
   */
  leavingForMs(replicaId: string): number | undefined;
  /** Drops what is known of a start that has ended. */
  forget(replicaId: string): void;
  count(): number;
}

export function createDepartures(clock: Clock, log: Log): Departures {
  /** When each replica first stated it, in milliseconds. */
  const statedAt = new Map<string, number>();
  const dropOld = (): void => {
    for (const [replicaId, at] of statedAt) {
      if (clock.now() - at > KEPT_MS) statedAt.delete(replicaId);
    }
  };
  return {
    answered: (replicaId, stated) => {
      switch (stated.kind) {
        case 'none':
          return;
        case 'leaving':
          if (statedAt.has(replicaId)) return;
          dropOld();
          statedAt.set(replicaId, clock.now());
          return log(DIRECT_EVENTS.replicaLeaving, {replica: replicaId});
        case 'unreadable':
          return log(DIRECT_EVENTS.noticeUnreadable, {
            replica: replicaId,
            notice: 'leaving',
            text: stated.text,
          });
      }
    },
    isLeaving: replicaId => statedAt.has(replicaId),
    leavingForMs: replicaId => {
      const at = statedAt.get(replicaId);
      return at === undefined ? undefined : clock.now() - at;
    },
    forget: replicaId => void statedAt.delete(replicaId),
    count: () => statedAt.size,
  };
}
