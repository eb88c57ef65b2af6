/**
 * Reports between entries about the engine time that organisations wanted
 * and used. A report contains the entry's whole recent record, the heaviest
 * organisations by name and the rest as one sum, so that the next report makes
 * up for a lost one and its size does not grow with the organisations.
 */
import {Codec, array, number, string, tuple} from 'purify-ts/Codec';
import {DECAY_MS} from './engine_time_record.js';
import type {
  EngineTimes,
  ServiceTimes,
  UrgencyCounts,
} from './engine_time_record.js';

/** An array, since field names would take half of a report's bytes. */
export type OrganisationTimes = readonly [
  organisation: string,
  wantedMs: number,
  usedMs: number,
];

export interface UrgencyReport extends UrgencyCounts {
  /** Smaller is more urgent. */
  readonly urgency: number;
}

/** The record of one service at one entry. */
export interface ServiceReport {
  readonly service: string;
  /** The heaviest organisations. */
  readonly named: readonly OrganisationTimes[];
  /** Sum of all others, and their number. */
  readonly rest: EngineTimes & {readonly count: number};
  readonly byUrgency: readonly UrgencyReport[];
}

/** All that an entry reports. */
export interface ShareReport {
  readonly node: string;
  readonly services: readonly ServiceReport[];
}

/**
 * Organisations that a report names for each service. With 16, a report takes
 * about 700 bytes. An organisation that an entry does not name used at most a
 * sixteenth of the time there.
 */
export const MAX_NAMED = 16;
/** Services of a report; entries rarely serve more that have engines. */
export const MAX_SERVICES = 2;
/** Urgencies that a report counts apart; there are ten. */
const MAX_URGENCIES = 10;
/** Longest name of an organisation or a service that is accepted. */
const MAX_NAME_LENGTH = 128;
/** Longer names are not reported by name; they count in the rest. */
export const MAX_REPORTED_NAME_LENGTH = 64;
/** Largest sum that an entry can reach: a thousand engines, all the time. */
const MAX_SUM_MS = 1_000 * DECAY_MS;

const timesFields = {wantedMs: number, usedMs: number};
export const shareReportCodec = Codec.interface({
  node: string,
  services: array(
    Codec.interface({
      service: string,
      named: array(tuple([string, number, number])),
      rest: Codec.interface({...timesFields, count: number}),
      byUrgency: array(
        Codec.interface({
          urgency: number,
          asked: number,
          placed: number,
          gained: number,
        }),
      ),
    }),
  ),
});

/**
 * The heaviest services and organisations, as they are reported. A service whose
 * name receivers do not accept is left out, since they would drop the whole
 * report; each entry then decides by its own record of it.
 */
export function buildReport(
  node: string,
  services: ReadonlyMap<string, ServiceTimes>,
): ShareReport | undefined {
  const reports = [...services]
    .filter(([service]) => isName(service))
    .map(([service, times]) => reportOf(service, times))
    .sort((a, b) => wantedOf(b) - wantedOf(a))
    .slice(0, MAX_SERVICES);
  return reports.length === 0 ? undefined : {node, services: reports};
}

function wantedOf({named, rest}: ServiceReport): number {
  return named.reduce((sum, [, wantedMs]) => sum + wantedMs, rest.wantedMs);
}

function reportOf(
  service: string,
  {organisations, urgencies}: ServiceTimes,
): ServiceReport {
  const byWeight = [...organisations].sort(
    ([, a], [, b]) => b.wantedMs + b.usedMs - a.wantedMs - a.usedMs,
  );
  const isNamed = ([name]: readonly [string, unknown]) =>
    name.length <= MAX_REPORTED_NAME_LENGTH;
  const named = byWeight.filter(isNamed).slice(0, MAX_NAMED);
  const names = new Set(named.map(([name]) => name));
  const others = byWeight.filter(([name]) => !names.has(name));
  return {
    service,
    named: named.map(
      ([organisation, {wantedMs, usedMs}]) =>
        [organisation, Math.round(wantedMs), Math.round(usedMs)] as const,
    ),
    rest: {
      wantedMs: Math.round(sumOf(others, it => it.wantedMs)),
      usedMs: Math.round(sumOf(others, it => it.usedMs)),
      count: others.length,
    },
    byUrgency: [...urgencies].map(([urgency, {asked, placed, gained}]) => ({
      urgency,
      asked: Number(asked.toFixed(2)),
      placed: Number(placed.toFixed(2)),
      gained: Number(gained.toFixed(2)),
    })),
  };
}

function sumOf(
  items: ReadonlyArray<readonly [string, EngineTimes]>,
  value: (times: EngineTimes) => number,
): number {
  return items.reduce((sum, [, times]) => sum + value(times), 0);
}

/** Whether the values of a report that came from outside are possible. */
export function isValidShareReport({node, services}: ShareReport): boolean {
  return (
    isName(node) &&
    services.length <= MAX_SERVICES &&
    services.every(
      ({service, named, rest, byUrgency}) =>
        isName(service) &&
        named.length <= MAX_NAMED &&
        named.every(
          ([organisation, wantedMs, usedMs]) =>
            isName(organisation) && areTimes({wantedMs, usedMs}),
        ) &&
        areTimes(rest) &&
        isSum(rest.count) &&
        byUrgency.length <= MAX_URGENCIES &&
        byUrgency.every(it =>
          [it.urgency, it.asked, it.placed, it.gained].every(isSum),
        ),
    )
  );
}

function isName(name: string): boolean {
  return name !== '' && name.length <= MAX_NAME_LENGTH;
}

function areTimes({wantedMs, usedMs}: EngineTimes): boolean {
  return isSum(wantedMs) && isSum(usedMs);
}

function isSum(value: number): boolean {
  return value >= 0 && value <= MAX_SUM_MS;
}
