/**
 * The line and the count of an error within a request. It depends on none of the
 * parts that report through it.
 */
import type {Log, LogFields, Metrics} from '../../types/runtime.js';
import {causeOf} from '../../utils/error_cause.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {runEach} from '../../utils/run_each.js';

/** Counter of errors within requests, by callback. */
const ERRORS_METRIC = 'onyxloft_direct_request_errors_total';
/** Message to callers, and the reason of a broken attempt. */
export const ERROR_REASON = 'internal error';

/** What an entry worked on when it met an error. */
export interface ErrorPlace extends LogFields {
  readonly requestId: string | undefined;
  readonly callback: string;
  readonly connection?: string;
  readonly replica?: string;
  /** Of the replica's answer, if it has begun. */
  readonly status?: number;
}

/** Logs and counts an error within a request. */
export function reportRequestError(
  {log, metrics}: {readonly log: Log; readonly metrics: Metrics},
  place: ErrorPlace,
  err: unknown,
): void {
  runEach([
    () => log(DIRECT_EVENTS.faulted, {...place, cause: causeOf(err)}),
    () => metrics.count(ERRORS_METRIC, {callback: place.callback}),
  ]);
}
