/**
 * Pauses that replicas asked this entry for. A replica that turns a request away
 * may state for how long it wants no further request of this entry. Of several
 * pauses, the one that ends last counts.
 */
import type {Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {StatedPause} from '../types.js';

/**
 * Longest pause in milliseconds; a longer one counts as this. After it, a single
 * request finds out whether the replica still wants none.
 */
const MAX_PAUSE_MS = 3_600_000;

export interface Pauses {
  /** Takes in what an answer of the replica states. */
  answered(replicaId: string, stated: StatedPause): void;
  /** Time left of the replica's pause, in milliseconds; 0 without one. */
  leftMs(replicaId: string): number;
  /** Drops what is known of a start that has ended. */
  forget(replicaId: string): void;
  /** Number of replicas in a pause. */
  count(): number;
}

export function createPauses(clock: Clock, log: Log): Pauses {
  /** End of each pause on this process's clock, in milliseconds. */
  const ends = new Map<string, number>();
  const leftMs = (replicaId: string) =>
    Math.max(0, (ends.get(replicaId) ?? 0) - clock.now());

  const begin = (replicaId: string, statedMs: number): void => {
    const durationMs = Math.min(MAX_PAUSE_MS, statedMs);
    const beforeMs = leftMs(replicaId);
    if (durationMs <= beforeMs) return;
    ends.set(replicaId, clock.now() + durationMs);
    log(DIRECT_EVENTS.replicaPaused, {
      replica: replicaId,
      forMs: Math.round(durationMs),
      beforeMs: Math.round(beforeMs),
      statedMs: statedMs > MAX_PAUSE_MS ? statedMs : undefined,
    });
  };

  return {
    answered: (replicaId, stated) => {
      switch (stated.kind) {
        case 'none':
          return;
        case 'pause':
          return begin(replicaId, stated.durationMs);
        case 'unreadable':
          return log(DIRECT_EVENTS.noticeUnreadable, {
            replica: replicaId,
            notice: 'pause',
            text: stated.text,
          });
      }
    },
    leftMs,
    forget: replicaId => void ends.delete(replicaId),
    count: () => [...ends.keys()].filter(id => leftMs(id) > 0).length,
  };
}
