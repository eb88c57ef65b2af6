/**
 * What this entry has seen of each replica: failures, which keep new work away
 * for a growing while, and how its time compares to what was expected. A grey
 * replica passes its health check; only its answers show it.
 */
import type {Clock} from '../types/runtime.js';

/** Away after the first failure; doubles with each further one. */
const SUSPECT_FIRST_MS = 250;
const SUSPECT_MOST_MS = 4_000;
/** Share of a new observation in the running mean. */
const NEWEST_SHARE = 0.3;
const SLOWEST = 10;
/** Slowness is forgotten by half in this time, so that a replica is retried. */
const FORGET_HALF_MS = 5_000;

interface Seen {
  failures: number;
  suspectUntil: number;
  slowness: number;
  seenAt: number;
}

export interface ReplicaHealth {
  /** An answer came in `tookMs` where `expectedMs` was expected. */
  answered(replicaId: string, tookMs: number, expectedMs: number): void;
  failed(replicaId: string): void;
  isSuspect(replicaId: string): boolean;
  /** Time taken over time expected; 1 when unknown. */
  slowness(replicaId: string): number;
  forget(replicaId: string): void;
}

export function createReplicaHealth(clock: Clock): ReplicaHealth {
  const seen = new Map<string, Seen>();
  const of = (replicaId: string): Seen => {
    const known = seen.get(replicaId);
    if (known !== undefined) return known;
    const fresh = {failures: 0, suspectUntil: 0, slowness: 1, seenAt: 0};
    seen.set(replicaId, fresh);
    return fresh;
  };
  const slownessOf = ({slowness, seenAt}: Seen): number => {
    const kept = 0.5 ** ((clock.now() - seenAt) / FORGET_HALF_MS);
    return 1 + (slowness - 1) * kept;
  };
  return {
    answered: (replicaId, tookMs, expectedMs) => {
      const one = of(replicaId);
      const ratio = Math.min(SLOWEST, tookMs / Math.max(1, expectedMs));
      const before = slownessOf(one);
      one.slowness = before + NEWEST_SHARE * (ratio - before);
      one.seenAt = clock.now();
      one.failures = 0;
    },
    failed: replicaId => {
      const one = of(replicaId);
      const awayMs = SUSPECT_FIRST_MS * 2 ** one.failures;
      one.failures++;
      one.suspectUntil = clock.now() + Math.min(SUSPECT_MOST_MS, awayMs);
    },
    isSuspect: replicaId =>
      (seen.get(replicaId)?.suspectUntil ?? 0) > clock.now(),
    slowness: replicaId => {
      const one = seen.get(replicaId);
      return one === undefined ? 1 : slownessOf(one);
    },
    forget: replicaId => {
      seen.delete(replicaId);
    },
  };
}
