/** Publishes the state of a direct entry as gauges of its metrics endpoint. */
import type {Cancel, Clock, Metrics} from '../../types/runtime.js';
import type {EvacuationReading} from '../gate/evacuations.js';
import type {ServingState} from '../serving.js';
import {runAll} from '../../utils/run_each.js';

/** Update interval of the gauges. Collectors read less often than this. */
const UPDATE_INTERVAL_MS = 1_000;

/** Values of the gauges at one time. */
export interface GaugeReadings extends ServingState {
  /** Version of the configuration in force; 0 without any. */
  readonly configVersion: number;
  /** Time without any configuration, in milliseconds; 0 with one. */
  readonly configAwaitedMs: number;
  /** Newest version in force or named by another entry. */
  readonly heardVersion: number;
  /** Age of the newest evidence for keys, in milliseconds. */
  readonly evidenceAgeMs: number;
  readonly openRequests: number;
  readonly replicas: number;
}

/** Reads each value by itself, so that an error at one concerns no other. */
export type GaugeReaders = {
  readonly [Name in keyof GaugeReadings]: () => GaugeReadings[Name];
};

/** Updates the gauges every second until it is cancelled. */
export function reportGauges(
  clock: Clock,
  metrics: Metrics,
  read: GaugeReaders,
): Cancel {
  const setGauge = (name: string, readValue: () => number) => () =>
    metrics.gauge(`onyxloft_direct_${name}`, {}, readValue());
  const setEvacuations = createEvacuationGauges(metrics);
  const setAll = [
    setGauge('config_version', read.configVersion),
    setGauge('config_awaited_ms', read.configAwaitedMs),
    setGauge('config_heard_version', read.heardVersion),
    setGauge('evidence_age_ms', read.evidenceAgeMs),
    setGauge('open_requests', read.openRequests),
    setGauge('entries', read.entries),
    setGauge('replicas', read.replicas),
    setGauge('retries_left', read.retriesLeft),
    setGauge('memory_leases', read.memoryLeases),
    setGauge('suspects', read.suspects),
    setGauge('quarantined', read.quarantined),
    setGauge('limited_replicas', read.limitedReplicas),
    setGauge('replica_limits_per_s', read.limitSum),
    setGauge('cold_replicas', read.coldReplicas),
    setGauge('cold_limits_per_s', read.coldSum),
    setGauge('leaving_replicas', read.leavingReplicas),
    setGauge('paused_replicas', read.pausedReplicas),
    setGauge('evacuated_domains', () => read.evacuations().length),
    () => setEvacuations(read.evacuations()),
  ];
  const readGauges = () => runAll(setAll);
  return clock.every(UPDATE_INTERVAL_MS, readGauges);
}

/** Value of `last_sent_age_ms` if this entry sent no request to the domain. */
const NEVER_SENT = -1;

/** Sets the gauges of each evacuated domain, and to 0 when it ends. */
function createEvacuationGauges(metrics: Metrics) {
  let shown: readonly string[] = [];
  const setGauges = (
    domain: string,
    {ageMs, lastSentMs, running}: Omit<EvacuationReading, 'failureDomain'>,
  ) => {
    const set = (name: string, value: number) =>
      metrics.gauge(`onyxloft_direct_evacuation_${name}`, {domain}, value);
    set('age_ms', ageMs);
    set('last_sent_age_ms', lastSentMs ?? NEVER_SENT);
    set('running', running);
  };
  return (readings: readonly EvacuationReading[]): void => {
    const ended = {ageMs: 0, lastSentMs: 0, running: 0};
    for (const domain of shown) setGauges(domain, ended);
    for (const reading of readings) setGauges(reading.failureDomain, reading);
    shown = readings.map(({failureDomain}) => failureDomain);
  };
}
