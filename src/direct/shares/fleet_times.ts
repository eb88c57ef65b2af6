/**
 * Estimates the engine time of the whole fleet from this entry's own record and
 * the reports of peers. Each report goes to a few peers, so an entry of a large
 * fleet has recent reports of only a part of it. The others are taken to be
 * like those: the weighted mean of the reports is scaled to their number.
 *
 * The reports of a silent peer weigh less and less and are then dropped. An
 * entry without reports decides by its own record alone.
 */
import type {Clock} from '../../types/runtime.js';
import {DECAY_MS} from './engine_time_record.js';
import type {
  EngineTimes,
  ServiceTimes,
  UrgencyCounts,
} from './engine_time_record.js';
import type {ServiceReport, ShareReport} from './share_messages.js';

/** Age at which a report is dropped, in milliseconds. */
const MAX_REPORT_AGE_MS = 3 * DECAY_MS;
/** Reports that are kept; the oldest is dropped beyond it. */
const MAX_REPORTS = 400;

export interface FleetTimes {
  /** Keeps a peer's report in place of its last one. */
  merge(report: ShareReport): void;
  /** Sets the number of live entries, including this one. */
  setEntryCount(count: number): void;
  /** Adds the estimate from the peers' reports to this entry's own record. */
  estimate(service: string, own: ServiceTimes): ServiceTimes;
  /** Number of peers whose reports count. */
  reportCount(): number;
}

interface KeptReport {
  readonly services: readonly ServiceReport[];
  readonly at: number;
}

export function createFleetTimes(clock: Pick<Clock, 'now'>): FleetTimes {
  const reports = new Map<string, KeptReport>();
  let entryCount = 1;

  const dropOld = (): void => {
    for (const [node, {at}] of reports) {
      const isOld = clock.now() - at > MAX_REPORT_AGE_MS;
      if (!isOld && reports.size <= MAX_REPORTS) return;
      reports.delete(node);
    }
  };

  return {
    merge: ({node, services}) => {
      reports.delete(node);
      reports.set(node, {services, at: clock.now()});
      dropOld();
    },
    setEntryCount: count => {
      entryCount = count;
    },
    reportCount: () => {
      dropOld();
      return reports.size;
    },
    estimate: (service, own) => {
      dropOld();
      const weighted = [...reports.values()].map(({services, at}) => ({
        report: services.find(it => it.service === service),
        weight: Math.exp((at - clock.now()) / DECAY_MS),
      }));
      const total = weighted.reduce((sum, {weight}) => sum + weight, 0);
      // Reports that together weigh less than one recent report stand for less
      // than the whole fleet.
      const scale = (entryCount - 1) / Math.max(1, total);
      const organisations = new Map(own.organisations);
      const urgencies = new Map(own.urgencies);
      for (const {report} of weighted) {
        for (const [organisation] of report?.named ?? []) {
          if (organisations.has(organisation)) continue;
          organisations.set(organisation, {wantedMs: 0, usedMs: 0});
        }
      }
      let unnamed: EngineTimes = {wantedMs: 0, usedMs: 0};
      for (const {report, weight} of weighted) {
        if (report === undefined) continue;
        const each = addNamed(organisations, report, weight * scale);
        unnamed = sumOf(unnamed, each, 1);
        addCounts(urgencies, report, weight * scale);
      }
      for (const [name, times] of organisations) {
        organisations.set(name, sumOf(times, unnamed, 1));
      }
      return {organisations, urgencies};
    },
  };
}

/**
 * Adds the organisations that the report names. The sum of those that it does
 * not name is divided equally among all others that are known; the error for
 * one of them is at most the time of the lightest named one. Returns each one's
 * part of that sum, which the caller adds to every organisation: with 1,500 of
 * them, an addition for each report and organisation would take a small entry
 * too long. It is therefore subtracted from those that the report names.
 */
function addNamed(
  to: Map<string, EngineTimes>,
  {named, rest}: ServiceReport,
  scale: number,
): EngineTimes {
  const among = Math.max(1, rest.count, to.size - named.length);
  const each = {
    wantedMs: (rest.wantedMs / among) * scale,
    usedMs: (rest.usedMs / among) * scale,
  };
  for (const [organisation, wantedMs, usedMs] of named) {
    const known = to.get(organisation) ?? {wantedMs: 0, usedMs: 0};
    const added = sumOf(known, {wantedMs, usedMs}, scale);
    to.set(organisation, sumOf(added, each, -1));
  }
  return each;
}

function sumOf(a: EngineTimes, b: EngineTimes, factor: number): EngineTimes {
  return {
    wantedMs: a.wantedMs + factor * b.wantedMs,
    usedMs: a.usedMs + factor * b.usedMs,
  };
}

function addCounts(
  to: Map<number, UrgencyCounts>,
  {byUrgency}: ServiceReport,
  scale: number,
): void {
  for (const {urgency, asked, placed, gained} of byUrgency) {
    const known = to.get(urgency) ?? {asked: 0, placed: 0, gained: 0};
    to.set(urgency, {
      asked: known.asked + asked * scale,
      placed: known.placed + placed * scale,
      gained: known.gained + gained * scale,
    });
  }
}
