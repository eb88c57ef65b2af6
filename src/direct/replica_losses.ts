/**
 * Notifies open attempts when their replica has ended. A restarted replica has
 * lost its earlier requests, but a connection to the earlier process may stay
 * open without a reset. Without the notice, callers would wait for an answer
 * until their timeout.
 */
import type {Cancel} from '../types/runtime.js';

export interface ReplicaLosses {
  /** Calls `onLost` once when the replica with this id has ended. */
  watch(replicaId: string, onLost: () => void): Cancel;
  /** Calls the watchers of the replica and removes them. */
  notifyLost(replicaId: string): void;
}

export function createReplicaLosses(): ReplicaLosses {
  const watchers = new Map<string, Set<() => void>>();
  return {
    watch: (replicaId, onLost) => {
      const callbacks = watchers.get(replicaId) ?? new Set();
      watchers.set(replicaId, callbacks.add(onLost));
      return () => {
        callbacks.delete(onLost);
        const isCurrent = watchers.get(replicaId) === callbacks;
        if (isCurrent && callbacks.size === 0) watchers.delete(replicaId);
      };
    },
    notifyLost: replicaId => {
      const callbacks = watchers.get(replicaId);
      watchers.delete(replicaId);
      for (const onLost of [...(callbacks ?? [])]) onLost();
    },
  };
}
