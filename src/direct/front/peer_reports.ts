/** Reports that the entry sends to its peers again and again. */
import type {ServiceContext} from '../../types/kernel.js';
import type {Cancel} from '../../types/runtime.js';
import '../messages.js';
import type {Serving} from '../serving.js';
import {SHARE_REPORT_INTERVAL_MS} from '../shares/share_broadcast.js';

/**
 * Interval at which some crash reports are sent to one peer. The
 * repetition makes up for reports that were lost.
 */
const CRASH_REPORT_INTERVAL_MS = 1_000;
/** Crash reports that fit into one datagram. */
const REPORTS_PER_DATAGRAM = 4;
/**
 * Interval at which some request limits are reported to one peer. The
 * repetition tells entries that started since, and makes up for lost reports.
 */
const LIMIT_REPORT_INTERVAL_MS = 1_000;
/** Limits that fit into one datagram. */
const LIMITS_PER_DATAGRAM = 8;

/** Sends the reports until the returned functions are called. */
export function sendPeerReports(
  {clock, send}: Pick<ServiceContext<'direct'>, 'clock' | 'send'>,
  {crashes, limits, shares}: Pick<Serving, 'crashes' | 'limits' | 'shares'>,
): readonly Cancel[] {
  const sendCrashReports = () => {
    const reports = crashes.nextReports(REPORTS_PER_DATAGRAM);
    if (reports.length === 0) return;
    send('sharing', {kind: 'crash-reports', reports, toAll: false});
  };
  const sendLimits = () => {
    const reports = limits.nextReports(LIMITS_PER_DATAGRAM);
    if (reports.length === 0) return;
    send('sharing', {kind: 'limit-reports', reports, to: 'one'});
  };
  const cancels = [
    clock.every(CRASH_REPORT_INTERVAL_MS, sendCrashReports),
    clock.every(LIMIT_REPORT_INTERVAL_MS, sendLimits),
  ];
  if (shares === undefined) return cancels;
  const sendShares = () => {
    const report = shares.nextReport();
    if (report === undefined) return;
    send('sharing', {kind: 'share-report', report});
  };
  return [...cancels, clock.every(SHARE_REPORT_INTERVAL_MS, sendShares)];
}
