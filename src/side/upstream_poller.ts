/** Keeps the view of the upstream by its own report. */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {SideCore} from './side_core.js';
import type {UpstreamReport} from './messages.js';

export interface UpstreamPoller {
  requestReport(): void;
  handleReport(outcome: Either<OnyxError, UpstreamReport>): void;
}

export function createUpstreamPoller(core: SideCore): UpstreamPoller {
  const {ctx, memory} = core;
  const {upstream} = core.options;

  const fetchReport = async (): Promise<Either<OnyxError, UpstreamReport>> => {
    if (upstream.kind === 'engine') {
      const outcome = await upstream.client.report();
      return outcome.map(value => ({kind: 'engine', report: value}));
    }
    const outcome = await upstream.client.report();
    return outcome.map(value => ({kind: 'service', report: value}));
  };

  const applyReport = (value: UpstreamReport) => {
    core.upstream.lastReportAt = ctx.clock.now();
    core.upstream.reportAgeMs = value.report.ageMs;
    core.queueChanged = true;
    if (value.kind === 'service') return;
    core.upstream.models = value.report.models;
    memory.setCapacity(value.report.capacityTokens);
  };

  return {
    requestReport: () => {
      fetchReport()
        .then(outcome => ctx.send('runs', {kind: 'reported', outcome}))
        .catch(cause => ctx.fail(cause));
    },
    // Without an answer the last view grows old; see `isUpstreamDown`.
    handleReport: outcome => void outcome.ifRight(applyReport),
  };
}
