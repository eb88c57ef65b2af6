/**
 * Takes the errors that nothing owns: an exception in a callback that no guard
 * covers, or a rejection that nothing awaits. The process goes on. What such an
 * error leaves behind has a time limit of its own, as each connection, request and
 * call has; an end would take the requests of all callers, and an error that
 * comes again would end one entry after the other.
 */
import type {Log, Metrics} from '../types/runtime.js';
import {placeOf} from '../utils/callback_guard.js';
import {causeOf} from '../utils/error_cause.js';
import {KERNEL_EVENTS} from '../utils/events.js';
import {runEach} from '../utils/run_each.js';

/** Counter of such errors. */
const UNOWNED_METRIC = 'onyxloft_unowned_errors_total';

/** Returns the listener for errors that nothing has caught. */
export function createUnownedErrors({
  log,
  metrics,
}: {
  readonly log: Log;
  readonly metrics: Metrics;
}): (uncaught: unknown) => void {
  return uncaught => {
    const {err, place} = placeOf(uncaught);
    runEach([
      () => metrics.count(UNOWNED_METRIC),
      () => log(KERNEL_EVENTS.errorUnowned, {cause: causeOf(err), ...place}),
    ]);
  };
}
