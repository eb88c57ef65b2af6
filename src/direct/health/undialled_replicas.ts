/**
 * The replicas whose hosts accepted no connection from one request. Such a
 * replica may be paused and go on a moment later, and nothing was sent to it, so
 * it may be dialled again where no other one is left.
 */
import type {Clock} from '../../types/runtime.js';
import {mayDialAgain} from '../decide/may_dial_again.js';

export interface UndialledReplicas {
  /** An attempt to connect to the replica begins. */
  dialling(replicaId: string): void;
  /** An attempt has ended; `timedOut` is true if no connection was accepted. */
  dialled(replicaId: string, timedOut: boolean): void;
  /** Whether it may be dialled again with so much time left, in milliseconds. */
  mayDialAgain(replicaId: string, timeLeftMs: number): boolean;
}

interface Dials {
  /** Begin of the first attempt on this process's clock, in milliseconds. */
  readonly firstAt: number;
  readonly hasTimedOut: boolean;
}

export function createUndialledReplicas(clock: Clock): UndialledReplicas {
  const dials = new Map<string, Dials>();
  return {
    dialling: replicaId => {
      const firstAt = dials.get(replicaId)?.firstAt ?? clock.now();
      dials.set(replicaId, {firstAt, hasTimedOut: false});
    },
    dialled: (replicaId, timedOut) => {
      const known = dials.get(replicaId);
      if (known === undefined) return;
      if (timedOut) dials.set(replicaId, {...known, hasTimedOut: true});
      else dials.delete(replicaId);
    },
    mayDialAgain: (replicaId, timeLeftMs) => {
      const known = dials.get(replicaId);
      if (known === undefined || !known.hasTimedOut) return false;
      return mayDialAgain(clock.now() - known.firstAt, timeLeftMs);
    },
  };
}
