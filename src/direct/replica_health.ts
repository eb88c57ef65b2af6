/**
 * What this entry has seen of each replica: failures, which keep new work away
 * for a growing while, the share of its answers that broke off, and how its
 * time compares to what was expected. A grey replica passes its health check;
 * only its answers show it.
 */
import type {Clock} from '../types/runtime.js';

/** Away after the first failure; doubles with each further one. */
const SUSPECT_FIRST_MS = 250;
const SUSPECT_MOST_MS = 4_000;
/** Share of a new observation in the running mean. */
const NEWEST_SHARE = 0.3;
const SLOWEST = 10;
/** What was seen is forgotten by half in this time, so that a replica is retried. */
const FORGET_HALF_MS = 5_000;
/** Good answers that a replica starts with: one failure is not its rule. */
const TRUSTED_TRIES = 3;

interface Seen {
  failures: number;
  suspectUntil: number;
  slowness: number;
  seenAt: number;
  /** Tries and broken ones among them, less what was forgotten until `triedAt`. */
  tries: number;
  broken: number;
  triedAt: number;
}

export interface ReplicaHealth {
  /** An answer came in `tookMs` where `expectedMs` was expected. */
  answered(replicaId: string, tookMs: number, expectedMs: number): void;
  failed(replicaId: string): void;
  isSuspect(replicaId: string): boolean;
  /** Time taken over time expected; 1 when unknown. */
  slowness(replicaId: string): number;
  /**
   * Share of its tries that broke off without an answer. A success between two
   * failures ends a suspicion; this remembers them.
   */
  brokenShare(replicaId: string): number;
  forget(replicaId: string): void;
}

export function createReplicaHealth(clock: Clock): ReplicaHealth {
  const seen = new Map<string, Seen>();
  const of = (replicaId: string): Seen => {
    const known = seen.get(replicaId);
    if (known !== undefined) return known;
    const fresh: Seen = {
      failures: 0,
      suspectUntil: 0,
      slowness: 1,
      seenAt: 0,
      tries: 0,
      broken: 0,
      triedAt: clock.now(),
    };
    seen.set(replicaId, fresh);
    return fresh;
  };
  const keptSince = (at: number): number =>
    0.5 ** ((clock.now() - at) / FORGET_HALF_MS);
  const slownessOf = ({slowness, seenAt}: Seen): number =>
    1 + (slowness - 1) * keptSince(seenAt);
  const countTry = (one: Seen, isBroken: boolean): void => {
    const kept = keptSince(one.triedAt);
    one.tries = one.tries * kept + 1;
    one.broken = one.broken * kept + (isBroken ? 1 : 0);
    one.triedAt = clock.now();
  };
  const brokenShareOf = ({tries, broken, triedAt}: Seen): number => {
    const kept = keptSince(triedAt);
    return (broken * kept) / (tries * kept + TRUSTED_TRIES);
  };
  return {
    answered: (replicaId, tookMs, expectedMs) => {
      const one = of(replicaId);
      const ratio = Math.min(SLOWEST, tookMs / Math.max(1, expectedMs));
      const before = slownessOf(one);
      one.slowness = before + NEWEST_SHARE * (ratio - before);
      one.seenAt = clock.now();
      one.failures = 0;
      countTry(one, false);
    },
    failed: replicaId => {
      const one = of(replicaId);
      const awayMs = SUSPECT_FIRST_MS * 2 ** one.failures;
      one.failures++;
      one.suspectUntil = clock.now() + Math.min(SUSPECT_MOST_MS, awayMs);
      countTry(one, true);
    },
    isSuspect: replicaId =>
      (seen.get(replicaId)?.suspectUntil ?? 0) > clock.now(),
    slowness: replicaId => {
      const one = seen.get(replicaId);
      return one === undefined ? 1 : slownessOf(one);
    },
    brokenShare: replicaId => {
      const one = seen.get(replicaId);
      return one === undefined ? 0 : brokenShareOf(one);
    },
    forget: replicaId => {
      seen.delete(replicaId);
    },
  };
}
