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
/** A kind that has not come for this long makes room for another one. */
const FORGET_MS = 10 * REPEAT_MS;

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

interface ErrorKind {
  /** When its last line was written. */
  saidAt: number;
  /** When it came last. */
  cameAt: number;
  /** How often it came since its last line. */
  unsaid: number;
}

/** The kinds of errors that came lately, as many as `MAX_KINDS`. */
function createErrorKinds(): (key: string, now: number) => ErrorKind {
  /** The one that came longest ago first. */
  const kinds = new Map<string, ErrorKind>();
  const create = (): ErrorKind => ({saidAt: -Infinity, cameAt: 0, unsaid: 0});
  /** Shared by the kinds for which there is no room. */
  const others = create();
  const makeRoom = (now: number): boolean => {
    if (kinds.size < MAX_KINDS) return true;
    const [[key, {cameAt}]] = kinds;
    return now - cameAt >= FORGET_MS && kinds.delete(key);
  };
  return (key, now) => {
    const known = kinds.get(key);
    if (known === undefined && !makeRoom(now)) return others;
    const kind = known ?? create();
    kind.cameAt = now;
    kinds.delete(key);
    kinds.set(key, kind);
    return kind;
  };
}

/**
 * A log in which an error that lasts takes a line a minute. The next line of its
 * kind says in `repeated` how often it came meanwhile. `keyOf` tells the kinds
 * apart; lines without a key are all written. A line that can't be written leaves
 * the next error of its kind to be said.
 */
export function createErrorLimit(
  log: Log,
  now: () => number,
  keyOf: (event: EventSpec, fields: LogFields) => string | undefined,
): Log {
  const kindOf = createErrorKinds();
  return (event, fields) => {
    const key = keyOf(event, fields);
    if (key === undefined) return log(event, fields);
    const at = now();
    const kind = kindOf(key, at);
    const repeated = kind.unsaid++ || undefined;
    if (at - kind.saidAt < REPEAT_MS) return;
    log(event, {...fields, repeated});
    kind.saidAt = at;
    kind.unsaid = 0;
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
