/**
 * Remembers when the last run that ended well began at each replica: the replica
 * was alive then, even if it has ended since.
 */
import type {Clock} from '../../types/runtime.js';

/** Time for which a run is remembered, in milliseconds. */
const KEPT_MS = 60_000;

export interface LastRuns {
  /** A run that began at this time ended well. */
  add(replicaId: string, startedAt: number): void;
  /** Whether a run that ended well began at this time or later. */
  beganSince(replicaId: string, time: number): boolean;
}

export function createLastRuns(clock: Clock): LastRuns {
  /** Start of the newest run by replica id, the last one noted at the end. */
  const startedAt = new Map<string, number>();
  const dropOld = (): void => {
    for (const [id, at] of startedAt) {
      if (clock.now() - at <= KEPT_MS) return;
      startedAt.delete(id);
    }
  };
  return {
    add: (replicaId, at) => {
      const newest = Math.max(at, startedAt.get(replicaId) ?? -Infinity);
      startedAt.delete(replicaId);
      startedAt.set(replicaId, newest);
      dropOld();
    },
    beganSince: (replicaId, time) =>
      (startedAt.get(replicaId) ?? -Infinity) >= time,
  };
}
