/**
 * Learns the usual time of a call to each service, which the platform does not
 * publish, and passes the answers of its replicas on to their health. The first
 * answer of a process that has just started is slow, and must not keep further
 * calls from it.
 */
import type {Clock} from '../../types/runtime.js';
import {createRecentMap} from '../../utils/recent_map.js';
import {HALF_LIFE_MS, MAX_SLOWNESS} from '../replica_health.js';
import type {ReplicaHealth} from '../replica_health.js';

/**
 * Answers of a service from which its usual time is known. One slow answer does
 * not move the median of three.
 */
const MIN_TIMES = 3;
/** Newest answers of a service whose median is its usual time. */
const MEDIAN_OF = 15;
/** Assumed for a service that has not been called yet, in milliseconds. */
const INITIAL_USUAL_MS = 50;
/**
 * Weight of the newest answer in a replica's repeated slowness. At 0.1, two
 * slow answers among ten still count as repeated.
 */
const NEWEST_WEIGHT = 0.1;
/** Slowness up to which an answer always counts: its ordinary variation. */
const ORDINARY_SLOWNESS = 2;
/** Services that are kept. */
const MAX_SERVICES = 200;
/** Replicas that are kept. */
const MAX_REPLICAS = 2_000;

/** Up to which slowness an answer of the replica counts in full. */
interface Confirmed {
  readonly slowness: number;
  readonly at: number;
}

export interface CallTimes {
  /** Median time of the service's newest calls, in milliseconds. */
  usualMs(service: string): number;
  /**
   * Records an answer, also with the replica's health. A slow answer counts
   * only as far as an earlier one of the replica was slow too, and the first
   * answers of a service count as usual.
   */
  answered(service: string, replicaId: string, tookMs: number): void;
}

export interface CallTimesOptions {
  readonly clock: Clock;
  readonly health: Pick<ReplicaHealth, 'answered'>;
}

export function createCallTimes({clock, health}: CallTimesOptions): CallTimes {
  const newestTimes = createRecentMap<readonly number[]>(MAX_SERVICES);
  const confirmed = createRecentMap<Confirmed>(MAX_REPLICAS);
  const usualMs = (service: string): number => {
    const times = newestTimes.get(service);
    return times === undefined ? INITIAL_USUAL_MS : lowerMedian(times);
  };
  const confirmedSlowness = (replicaId: string): number => {
    const known = confirmed.get(replicaId);
    if (known === undefined) return 1;
    const kept = 0.5 ** ((clock.now() - known.at) / HALF_LIFE_MS);
    return 1 + (known.slowness - 1) * kept;
  };
  return {
    usualMs,
    answered: (service, replicaId, tookMs) => {
      const times = newestTimes.get(service) ?? [];
      const expectedMs = Math.max(1, usualMs(service));
      const slowness =
        times.length < MIN_TIMES
          ? 1
          : Math.min(MAX_SLOWNESS, tookMs / expectedMs);
      const before = confirmedSlowness(replicaId);
      const counted = countedSlowness(slowness, before);
      health.answered(replicaId, counted * expectedMs, expectedMs);
      const average = before + NEWEST_WEIGHT * (slowness - before);
      confirmed.set(replicaId, {
        slowness: Math.max(1, slowness, average),
        at: clock.now(),
      });
      newestTimes.set(service, [...times, tookMs].slice(-MEDIAN_OF));
    },
  };
}

/** A slow answer counts as usual unless an earlier one was slow as well. */
function countedSlowness(slowness: number, confirmed: number): number {
  if (slowness <= ORDINARY_SLOWNESS) return slowness;
  return confirmed <= ORDINARY_SLOWNESS ? 1 : Math.min(slowness, confirmed);
}

/**
 * The lower one of two medians, since one of two answers may be the slow one.
 */
function lowerMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
