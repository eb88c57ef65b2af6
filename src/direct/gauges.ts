/** What a direct entry is like now, as gauges on the metrics address. */
import type {Cancel, Clock, Metrics} from '../types/runtime.js';

/** Collectors read every few seconds at most. */
const PERIOD_MS = 1_000;

/** One reading. */
export interface GaugeReadings {
  readonly evidenceAgeMs: number;
  readonly openRequests: number;
  /** Entries that are heard of, with this one. */
  readonly entries: number;
  readonly replicas: number;
  /** Retries that may be made at once. */
  readonly retriesLeft: number;
  /** Leases on replicas' memory that are held, or may be. */
  readonly memoryLeases: number;
  /** Requests under which replicas have ended. */
  readonly suspects: number;
  /** Those of them that are refused. */
  readonly quarantined: number;
}

/** Sets the gauges every second. */
export function reportGauges(
  clock: Clock,
  metrics: Metrics,
  read: () => GaugeReadings,
): Cancel {
  const gauge = (name: string, value: number) =>
    metrics.gauge(`onyxloft_direct_${name}`, {}, value);
  return clock.every(PERIOD_MS, () => {
    const state = read();
    gauge('evidence_age_ms', state.evidenceAgeMs);
    gauge('open_requests', state.openRequests);
    gauge('entries', state.entries);
    gauge('replicas', state.replicas);
    gauge('retries_left', state.retriesLeft);
    gauge('memory_leases', state.memoryLeases);
    gauge('suspects', state.suspects);
    gauge('quarantined', state.quarantined);
  });
}
