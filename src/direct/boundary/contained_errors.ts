/**
 * The boundary of what an entry does beside the requests of callers: one call to
 * the store, a replica or a peer, one message of a peer, one step in the
 * background. An error of the entry within it ends that one only. It is logged
 * and counted here; the owner of the work decides what its end is.
 */
import type {EventSpec, Log, LogFields, Metrics} from '../../types/runtime.js';
import type {OnError} from '../../utils/callback_guard.js';
import {causeOf} from '../../utils/error_cause.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {runEach} from '../../utils/run_each.js';

/** Counter of such errors, by event and callback. */
const ERRORS_METRIC = 'onyxloft_contained_errors_total';

export interface ErrorSinks {
  readonly log: Log;
  /** @default the errors are logged only */
  readonly metrics?: Metrics;
}

/** Never throws: what it follows must end whatever becomes of the line. */
function createReport(
  event: EventSpec,
  {log, metrics}: ErrorSinks,
  place: LogFields = {},
): OnError {
  return (err, callback) => {
    const labels = {event: event.name, callback};
    runEach([
      () => log(event, {...place, callback, cause: causeOf(err)}),
      () => metrics?.count(ERRORS_METRIC, labels),
    ]);
  };
}

/** For an error within one call; `to` says whom it calls. */
export function createCallReport(
  sinks: ErrorSinks,
  place: {readonly to: string; readonly step?: string},
): OnError {
  return createReport(DIRECT_EVENTS.callFailed, sinks, place);
}

/** For an error at one message of a peer, whose name may not be known. */
export function createMessageReport(
  sinks: ErrorSinks,
  place: {readonly entry?: string} = {},
): OnError {
  return createReport(DIRECT_EVENTS.peerMessageDropped, sinks, place);
}

/** For an error within one step in the background. */
export function createStepReport(sinks: ErrorSinks): OnError {
  return createReport(DIRECT_EVENTS.stepFailed, sinks);
}
