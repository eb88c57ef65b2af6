/**
 * Health of each replica as this entry observes it: recent failures, after
 * which it gets no new work for a time that doubles, the share of failed
 * attempts, and its response time relative to the expected one. A replica with
 * a grey failure passes its health check, so only its answers show the fault.
 */
import type {Clock} from '../types/runtime.js';

/** Time as suspect after the first failure; doubles with each further one. */
const FIRST_SUSPECT_MS = 250;
/** Longest time as suspect after one failure. */
const MAX_SUSPECT_MS = 4_000;
/** Time as suspect after a flood, which costs other requests too. */
const FLOOD_SUSPECT_MS = 10_000;
/** Weight of the newest observation in the moving average. */
const NEWEST_WEIGHT = 0.3;
/** Upper bound of one observed slowness; a slower answer counts as this. */
export const MAX_SLOWNESS = 10;
/** Half-life of all observations. Through it an avoided replica is retried. */
export const HALF_LIFE_MS = 5_000;
/**
 * Successful attempts that are assumed for each replica, so that one failure
 * does not make its failure share high.
 */
const ASSUMED_SUCCESSES = 3;

interface Observations {
  consecutiveFailures: number;
  suspectUntil: number;
  floodedUntil: number;
  slowness: number;
  answeredAt: number;
  /** Attempts and failed ones among them, decayed until `triedAt`. */
  attempts: number;
  failedAttempts: number;
  attemptedAt: number;
}

export interface ReplicaHealth {
  /** Records an answer after `tookMs`, where `expectedMs` was expected. */
  answered(replicaId: string, tookMs: number, expectedMs: number): void;
  /** Records a failed attempt. */
  failed(replicaId: string): void;
  /** Records that the replica sent bytes without end in a failed attempt. */
  flooded(replicaId: string): void;
  /** Whether the replica should get no new work after recent failures. */
  isSuspect(replicaId: string): boolean;
  /** Time taken divided by time expected; 1 when unknown. */
  slowness(replicaId: string): number;
  /**
   * Share of failed attempts, from 0 to 1. A success resets the count of
   * consecutive failures, but this share still includes the earlier ones.
   */
  brokenShare(replicaId: string): number;
  /** Drops all observations of the replica. */
  forget(replicaId: string): void;
}

/** What is known of a replica's slowness before its first answer. */
export interface UsualSlowness {
  /** Undefined where nothing is known. */
  startOf(replicaId: string): number | undefined;
  /** Records an answer of the replica. */
  observed(replicaId: string, slowness: number): void;
}

export function createReplicaHealth(
  clock: Clock,
  usual?: UsualSlowness,
): ReplicaHealth {
  const observations = new Map<string, Observations>();
  const findOrCreate = (replicaId: string): Observations => {
    const known = observations.get(replicaId);
    if (known !== undefined) return known;
    const fresh: Observations = {
      consecutiveFailures: 0,
      suspectUntil: 0,
      floodedUntil: 0,
      slowness: usual?.startOf(replicaId) ?? 1,
      answeredAt: clock.now(),
      attempts: 0,
      failedAttempts: 0,
      attemptedAt: clock.now(),
    };
    observations.set(replicaId, fresh);
    return fresh;
  };
  const decaySince = (at: number): number =>
    0.5 ** ((clock.now() - at) / HALF_LIFE_MS);
  const slownessOf = ({slowness, answeredAt}: Observations): number =>
    1 + (slowness - 1) * decaySince(answeredAt);
  const countAttempt = (observed: Observations, isFailure: boolean): void => {
    const kept = decaySince(observed.attemptedAt);
    observed.attempts = observed.attempts * kept + 1;
    observed.failedAttempts =
      observed.failedAttempts * kept + (isFailure ? 1 : 0);
    observed.attemptedAt = clock.now();
  };
  const brokenShareOf = ({
    attempts,
    failedAttempts,
    attemptedAt,
  }: Observations): number => {
    const kept = decaySince(attemptedAt);
    return (failedAttempts * kept) / (attempts * kept + ASSUMED_SUCCESSES);
  };
  return {
    answered: (replicaId, tookMs, expectedMs) => {
      const one = findOrCreate(replicaId);
      const ratio = Math.min(MAX_SLOWNESS, tookMs / Math.max(1, expectedMs));
      usual?.observed(replicaId, ratio);
      const before = slownessOf(one);
      one.slowness = before + NEWEST_WEIGHT * (ratio - before);
      one.answeredAt = clock.now();
      one.consecutiveFailures = 0;
      countAttempt(one, false);
    },
    failed: replicaId => {
      const one = findOrCreate(replicaId);
      const suspectMs = FIRST_SUSPECT_MS * 2 ** one.consecutiveFailures;
      one.consecutiveFailures++;
      one.suspectUntil = clock.now() + Math.min(MAX_SUSPECT_MS, suspectMs);
      countAttempt(one, true);
    },
    flooded: replicaId => {
      findOrCreate(replicaId).floodedUntil = clock.now() + FLOOD_SUSPECT_MS;
    },
    isSuspect: replicaId => {
      const one = observations.get(replicaId);
      if (one === undefined) return false;
      return Math.max(one.suspectUntil, one.floodedUntil) > clock.now();
    },
    slowness: replicaId => {
      const one = observations.get(replicaId);
      if (one !== undefined) return slownessOf(one);
      return usual?.startOf(replicaId) ?? 1;
    },
    brokenShare: replicaId => {
      const one = observations.get(replicaId);
      return one === undefined ? 0 : brokenShareOf(one);
    },
    forget: replicaId => {
      observations.delete(replicaId);
    },
  };
}
