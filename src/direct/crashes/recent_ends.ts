/** Remembers for some seconds which replicas are known to have ended. */
import type {Clock} from '../../types/runtime.js';

const KEPT_MS = 5_000;

export interface RecentEnds {
  add(replicaId: string): void;
  has(replicaId: string): boolean;
}

export function createRecentEnds(clock: Clock): RecentEnds {
  const endedAt = new Map<string, number>();
  const isRecent = (at: number) => clock.now() - at <= KEPT_MS;
  return {
    add: replicaId => {
      for (const [id, at] of endedAt) if (!isRecent(at)) endedAt.delete(id);
      endedAt.set(replicaId, clock.now());
    },
    has: replicaId => isRecent(endedAt.get(replicaId) ?? -Infinity),
  };
}
