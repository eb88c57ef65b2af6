/**
 * Collects the reports of one crash, so that they are sent to the peers
 * together. A newer report of a subject takes the place of an older one.
 */
import type {Clock} from '../../types/runtime.js';
import {createBatcher} from '../../utils/batcher.js';
import type {CrashReport} from './crash_reports.js';

/** Reports are collected for this long, in milliseconds. */
const COLLECT_MS = 2;

/** Returns a function that adds a report to the next batch. */
export function createReportBatch(
  clock: Clock,
  send: (reports: readonly CrashReport[]) => void,
): (report: CrashReport) => void {
  const collected = new Map<string, CrashReport>();
  const scheduleSend = createBatcher(clock, () => {
    send([...collected.values()]);
    collected.clear();
  });
  return report => {
    collected.set(report.digest, report);
    scheduleSend(COLLECT_MS);
  };
}
