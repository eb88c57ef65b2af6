/**
 * Compares the engine time that an organisation used with its fair share of a
 * service's engine time, over the whole fleet. The share is weighted max-min:
 * the engine time that was used is divided by weight among the organisations
 * that want it, and none gets more than it wants. An organisation is above its
 * share exactly when others get less than theirs, so the capacity need not be
 * known.
 */
import type {Clock} from '../../types/runtime.js';
import {fairLevel} from '../decide/fair_level.js';
import {FREE_EXCESS} from '../decide/share_price.js';
import type {ShareStanding} from '../decide/share_price.js';
import {createEngineTimeRecord} from './engine_time_record.js';
import type {
  EngineTimeRecord,
  RecordedRequest,
  ServiceTimes,
  UrgencyCounts,
} from './engine_time_record.js';
import {createFleetTimes} from './fleet_times.js';
import type {FleetTimes} from './fleet_times.js';
import {buildReport} from './share_messages.js';
import type {ShareReport} from './share_messages.js';

/**
 * Time for which a computed level is used, in milliseconds. A computation over
 * 1,500 organisations takes an entry with a quarter of a core some
 * milliseconds. With a longer time, a flood takes too much between two
 * computations.
 */
const LEVEL_MS = 250;
/** Weight of an organisation that the settings do not name. */
const DEFAULT_WEIGHT = 1;
/**
 * Requests of each urgency that are presumed to be served beside those counted.
 * Without them, a single refused request of a rare kind would raise the price
 * for all less urgent ones.
 */
const PRESUMED_SERVED = 2;
/**
 * An organisation that has used less than this part of its share is short of it;
 * no organisation may get less while another one is above its own.
 */
const SHORT_SHARE = 0.9;

/** Excess of the organisations with the largest one, for metrics. */
export interface ShareReading {
  readonly service: string;
  readonly organisation: string;
  readonly excess: number;
  /** Share of the service's engine time that it used, from 0 to 1. */
  readonly usedShare: number;
}

export interface OrganisationShares
  extends
    Pick<EngineTimeRecord, 'asked' | 'askedAboveShare' | 'placed'>,
    Pick<FleetTimes, 'merge' | 'setEntryCount' | 'reportCount'> {
  standingOf(req: RecordedRequest): ShareStanding;
  /** Engine time that this entry's requests used, in milliseconds. */
  ownUsedMs(service: string): number;
  /** The report for peers; undefined where there is nothing to report. */
  nextReport(): ShareReport | undefined;
  /** At most `count` readings, those with the largest use first. */
  readings(count: number): readonly ShareReading[];
}

export interface OrganisationSharesOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Name of this entry. */
  readonly node: string;
  /** Weights by organisation. @default 1 for each */
  readonly weights?: Readonly<Record<string, number>>;
}

/** What is computed of a service for `LEVEL_MS`. */
interface ServiceShares {
  readonly at: number;
  readonly times: ServiceTimes;
  readonly usedMs: number;
  readonly level: number;
  /** Largest excess of an organisation. */
  readonly maxExcess: number;
}

export function createOrganisationShares(
  options: OrganisationSharesOptions,
): OrganisationShares {
  const {clock, node, weights = {}} = options;
  const record = createEngineTimeRecord(clock);
  const fleet = createFleetTimes(clock);
  const computed = new Map<string, ServiceShares>();
  const weightOf = (organisation: string): number =>
    Object.hasOwn(weights, organisation)
      ? weights[organisation]
      : DEFAULT_WEIGHT;

  const compute = (service: string): ServiceShares => {
    const times = fleet.estimate(service, record.timesOf(service));
    const claims = [...times.organisations].map(([name, {wantedMs}]) => ({
      wanted: wantedMs,
      weight: weightOf(name),
    }));
    const usedMs = [...times.organisations.values()].reduce(
      (sum, it) => sum + it.usedMs,
      0,
    );
    const level = fairLevel(claims, usedMs);
    const excesses = [...times.organisations].map(([name, it]) =>
      level > 0 ? it.usedMs / (level * weightOf(name)) : 1,
    );
    const maxExcess = excesses.reduce((most, it) => Math.max(most, it), 1);
    return {at: clock.now(), times, usedMs, level, maxExcess};
  };
  const sharesOf = (service: string): ServiceShares => {
    const known = computed.get(service);
    if (known !== undefined && clock.now() - known.at < LEVEL_MS) return known;
    const shares = compute(service);
    computed.set(service, shares);
    return shares;
  };
  // An organisation that wants less than weight times level also uses less, so
  // its excess is 1 without a separate computation of its share.
  const excessOf = ({level, times}: ServiceShares, name: string): number => {
    const {usedMs = 0} = times.organisations.get(name) ?? {};
    const shareMs = level * weightOf(name);
    return shareMs > 0 ? Math.max(1, usedMs / shareMs) : 1;
  };
  // The request itself counts as wanted; it is recorded only when it is placed or
  // has ended.
  const isShort = (
    {level, times, maxExcess}: ServiceShares,
    {organisation, engineMs}: RecordedRequest,
  ): boolean => {
    if (maxExcess <= 1 + FREE_EXCESS) return false;
    const {usedMs = 0, wantedMs = 0} =
      times.organisations.get(organisation) ?? {};
    const shareMs = Math.min(
      wantedMs + engineMs,
      level * weightOf(organisation),
    );
    return usedMs < SHORT_SHARE * shareMs;
  };

  return {
    asked: record.asked,
    askedAboveShare: record.askedAboveShare,
    placed: record.placed,
    merge: fleet.merge,
    setEntryCount: fleet.setEntryCount,
    reportCount: fleet.reportCount,
    standingOf: req => {
      const {service, organisation, urgency} = req;
      const shares = sharesOf(service);
      return {
        excess: excessOf(shares, organisation),
        isShort: isShort(shares, req),
        ...urgencyLeadOf(shares.times, urgency),
      };
    },
    ownUsedMs: service =>
      [...record.timesOf(service).organisations.values()].reduce(
        (sum, {usedMs}) => sum + usedMs,
        0,
      ),
    nextReport: () => {
      const services = record.services();
      for (const service of computed.keys()) {
        if (!services.has(service)) computed.delete(service);
      }
      return buildReport(node, services);
    },
    readings: count =>
      [...computed]
        .flatMap(([service, shares]) =>
          [...shares.times.organisations].map(([organisation, {usedMs}]) => ({
            service,
            organisation,
            excess: excessOf(shares, organisation),
            usedShare: shares.usedMs > 0 ? usedMs / shares.usedMs : 0,
          })),
        )
        .sort((a, b) => b.usedShare - a.usedShare)
        .slice(0, count),
  };
}

/** Lead of this urgency over the worst served of the more urgent ones. */
function urgencyLeadOf(
  {urgencies}: ServiceTimes,
  urgency: number,
): Pick<ShareStanding, 'servedLead' | 'gainLead'> {
  let lowestServed = 1;
  let lowestGain = 1;
  for (const [level, counts] of urgencies) {
    if (level >= urgency) continue;
    lowestServed = Math.min(lowestServed, shareOf(counts, counts.placed));
    lowestGain = Math.min(lowestGain, shareOf(counts, counts.gained));
  }
  const own = urgencies.get(urgency) ?? {asked: 0, placed: 0, gained: 0};
  return {
    servedLead: Math.max(0, shareOf(own, own.placed) - lowestServed),
    gainLead: Math.max(0, shareOf(own, own.gained) - lowestGain),
  };
}

/**
 * `part` as a share of the requests that arrived; near 1 where these are few.
 */
function shareOf({asked}: UrgencyCounts, part: number): number {
  return Math.min(1, (part + PRESUMED_SERVED) / (asked + PRESUMED_SERVED));
}
