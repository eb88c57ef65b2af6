/** Polls the upstream's load report and updates the side's view of it. */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {SideCore} from './side_core.js';
import type {UpstreamReport} from './messages.js';

/** Requests and handles load reports. */
export interface UpstreamPoller {
  /** Requests a report; the reply arrives as a message to `runs`. */
  requestReport(): void;
  /** Updates the view; a failed request leaves it unchanged. */
  handleReport(outcome: Either<OnyxError, UpstreamReport>): void;
}

/** Creates the poller of one side's upstream. */
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
    // After failed requests the last report becomes stale; `isUpstreamDown`
    // then reports the upstream as down.
    handleReport: outcome => void outcome.ifRight(applyReport),
  };
}
