/**
 * Tells those who wait for a replica that it will answer nothing more. A
 * replica that has started again holds nothing of before; a connection to its
 * earlier start may stay silent without a reset, and its callers would wait
 * until they give up.
 */
import type {Cancel} from '../types/runtime.js';

export interface ReplicaLosses {
  /** `onLost` is called once, when this start of a replica has ended. */
  watch(replicaId: string, onLost: () => void): Cancel;
  notifyLost(replicaId: string): void;
}

export function createReplicaLosses(): ReplicaLosses {
  const watchers = new Map<string, Set<() => void>>();
  return {
    watch: (replicaId, onLost) => {
      const those = watchers.get(replicaId) ?? new Set();
      watchers.set(replicaId, those.add(onLost));
      return () => {
        those.delete(onLost);
        const isCurrent = watchers.get(replicaId) === those;
        if (isCurrent && those.size === 0) watchers.delete(replicaId);
      };
    },
    notifyLost: replicaId => {
      const those = watchers.get(replicaId);
      watchers.delete(replicaId);
      for (const onLost of [...(those ?? [])]) onLost();
    },
  };
}
