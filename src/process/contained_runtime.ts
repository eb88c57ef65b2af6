/**
 * The runtime of a process whose steps fail alone. A step is what the process
 * does beside its requests: the callback of a timer, a gauge, a report, a line of
 * the log. An error in one ends that step only: it is counted, said once, and the
 * step runs again when it is due.
 *
 * This module takes what it guards as functions and depends on none of the parts
 * that run as steps.
 */
import type {
  Clock,
  EventSpec,
  Log,
  LogFields,
  Metrics,
  Runtime,
} from '../types/runtime.js';
import type {OnError} from '../utils/callback_guard.js';
import {createGuard} from '../utils/callback_guard.js';

/** Name of a step whose function has none. */
const UNNAMED = 'timer';
/** An error that lasts is said again after this time, in milliseconds. */
const REPEAT_MS = 60_000;
/** Errors that are told apart; the others share one line in `REPEAT_MS`. */
const MAX_KINDS = 200;
/** Stands for the errors beyond `MAX_KINDS`. */
const OTHERS = 'others';

/** A clock whose callbacks are steps; their errors go to `onError`. */
export function createStepClock(clock: Clock, onError: OnError): Clock {
  const guard = createGuard(onError);
  const nameOf = (fn: () => void, step?: string) =>
    step ?? (fn.name || UNNAMED);
  return {
    now: clock.now,
    after: (delayMs, fn, step) =>
      clock.after(delayMs, guard(nameOf(fn, step), fn)),
    every: (periodMs, fn, step) =>
      clock.every(periodMs, guard(nameOf(fn, step), fn)),
  };
}

/** Lines that were not written since the last one of their kind. */
interface SaidError {
  at: number;
  repeated: number;
}

/**
 * A log in which an error that lasts takes a line a minute. The next line of its
 * kind says in `repeated` how often it came meanwhile. `keyOf` tells the kinds
 * apart; lines without a key are all written.
 */
export function createErrorLimit(
  log: Log,
  now: () => number,
  keyOf: (event: EventSpec, fields: LogFields) => string | undefined,
): Log {
  const said = new Map<string, SaidError>();
  const kindOf = (key: string) =>
    said.has(key) || said.size < MAX_KINDS ? key : OTHERS;
  return (event, fields) => {
    const key = keyOf(event, fields);
    if (key === undefined) return log(event, fields);
    const kind = kindOf(key);
    const before = said.get(kind);
    const at = now();
    if (before !== undefined && at - before.at < REPEAT_MS) {
      before.repeated++;
      return;
    }
    said.set(kind, {at, repeated: 0});
    const repeated = before?.repeated || undefined;
    log(event, {...fields, repeated});
  };
}

/** A log that loses a line that can't be written, and counts it. */
export function createSafeLog(log: Log, onLost: () => void): Log {
  return (event, fields) => {
    try {
      log(event, fields);
    } catch {
      onLost();
    }
  };
}

/** Metrics that lose a sample that can't be recorded. */
export function createSafeMetrics(metrics: Metrics): Metrics {
  const run = (record: () => void): void => {
    try {
      record();
    } catch {
      // The sample is lost; a counter of it could fail in the same way.
    }
  };
  return {
    count: (name, labels, by) => run(() => metrics.count(name, labels, by)),
    gauge: (name, labels, value) =>
      run(() => metrics.gauge(name, labels, value)),
    observe: (name, labels, value) =>
      run(() => metrics.observe(name, labels, value)),
    render: metrics.render,
  };
}

/** What a process runs with, before its steps are contained. */
type BareRuntime = Omit<Runtime, 'invariant'>;

export interface ContainedRuntimeOptions extends BareRuntime {
  /** Counter of lost lines. */
  readonly lostLines: string;
  /** See `createErrorLimit`. */
  limitKey(event: EventSpec, fields: LogFields): string | undefined;
  /** Creates the report of failed steps, from a log and metrics that are safe. */
  createReport(sinks: Pick<Runtime, 'log' | 'metrics'>): OnError;
}

export function createContainedRuntime(
  options: ContainedRuntimeOptions,
): BareRuntime {
  const {random, lostLines} = options;
  const metrics = createSafeMetrics(options.metrics);
  const limited = createErrorLimit(
    options.log,
    options.clock.now,
    options.limitKey,
  );
  const log = createSafeLog(limited, () =>
    metrics.count(lostLines, {kind: 'failed'}),
  );
  const onError = options.createReport({log, metrics});
  return {clock: createStepClock(options.clock, onError), random, log, metrics};
}
