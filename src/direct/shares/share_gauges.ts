/**
 * Shows operators how much organisations use of their shares: gauges by rank,
 * so that their number does not grow with the organisations, and a log line
 * that names those above their shares.
 */
import type {Cancel, Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {RequestShares} from './request_shares.js';

/** Update interval of the gauges, in milliseconds. */
const UPDATE_INTERVAL_MS = 1_000;
/** Updates from one log line to the next. */
const UPDATES_PER_LINE = 5;
/** Organisations with gauges and on the log line. */
const MAX_SHOWN = 5;
/** Excess from which a log line is written. */
const LOGGED_EXCESS = 1.1;

export interface ShareGaugesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly shares: Pick<
    RequestShares,
    'readings' | 'reportCount' | 'rememberedCount'
  >;
}

/** Updates the gauges every second until it is cancelled. */
export function reportStandings(options: ShareGaugesOptions): Cancel {
  const {clock, log, metrics, shares} = options;
  let updates = 0;
  return clock.every(UPDATE_INTERVAL_MS, () => {
    const readings = shares.readings(MAX_SHOWN);
    for (let at = 0; at < MAX_SHOWN; at++) {
      const rank = {rank: String(at + 1)};
      const {excess = 1, usedShare = 0} = readings.at(at) ?? {};
      metrics.gauge('onyxloft_direct_share_excess', rank, excess);
      metrics.gauge('onyxloft_direct_share_used', rank, usedShare);
    }
    const gauges = {
      share_reports: shares.reportCount(),
      repeats_remembered: shares.rememberedCount(),
    };
    for (const [name, value] of Object.entries(gauges)) {
      metrics.gauge(`onyxloft_direct_${name}`, {}, value);
    }
    if (++updates % UPDATES_PER_LINE !== 0) return;
    const above = readings.filter(({excess}) => excess > LOGGED_EXCESS);
    if (above.length === 0) return;
    log(DIRECT_EVENTS.shareStandings, {
      reports: gauges.share_reports,
      above: above.map(({service, organisation, excess, usedShare}) => ({
        service,
        organisation,
        excess: Number(excess.toFixed(2)),
        usedShare: Number(usedShare.toFixed(2)),
      })),
    });
  });
}
