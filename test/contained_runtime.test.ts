/** Errors in what a process does beside its requests. */
import {beforeEach, describe, expect, test} from 'vitest';
import {createStepReport} from '../src/direct/boundary/contained_errors.js';
import {createContainedRuntime} from '../src/process/contained_runtime.js';
import {limitKeyOf} from '../src/process/error_kinds.js';
import {createUnownedErrors} from '../src/process/unowned_errors.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';
import type {RecordingRuntime} from '../standins/recording_runtime.js';
import type {LogFields, Runtime} from '../src/types/runtime.js';
import {DIRECT_EVENTS, KERNEL_EVENTS} from '../src/utils/events.js';

const LOST_LINES = 'lost_lines_total';
const CONTAINED_METRIC = 'onyxloft_contained_errors_total';
const UNOWNED_METRIC = 'onyxloft_unowned_errors_total';
const {stepFailed} = DIRECT_EVENTS;
const {errorUnowned} = KERNEL_EVENTS;
/** Time in which an error that lasts takes one line, in milliseconds. */
const REPEAT_MS = 60_000;
/** Kinds of errors that are told apart. */
const MAX_KINDS = 200;
/** A kind that has not come for this long is forgotten, in milliseconds. */
const FORGET_MS = 600_000;

const error = new Error('a step fails');
const fail = () => {
  throw error;
};

let recorded: RecordingRuntime;
beforeEach(() => {
  recorded = createRecordingRuntime();
});

function contain(
  sinks: Partial<Runtime> = {},
): Pick<Runtime, 'clock' | 'log' | 'metrics'> {
  return createContainedRuntime({
    ...recorded.runtime,
    ...sinks,
    lostLines: LOST_LINES,
    limitKey: limitKeyOf,
    createReport: createStepReport,
  });
}

const linesOf = (event: typeof stepFailed): readonly LogFields[] =>
  recorded.eventsOf(event).map(line => line.fields);

describe('a timer that throws', () => {
  // Guards against an error in a periodic step that ends the step for good, or
  // the process.
  test('runs again when it is due', async () => {
    let runs = 0;
    contain().clock.every(
      1_000,
      () => {
        runs++;
        if (runs < 3) fail();
      },
      'gauges',
    );
    await recorded.clock.runFor(5_500);
    expect(runs).toBe(5);
    const labels = {event: 'step-failed', callback: 'gauges'};
    expect(recorded.metrics.total(CONTAINED_METRIC, labels)).toBe(2);
  });

  // Guards against a rejection in a step that reaches the process.
  test('is reported where its promise rejects', async () => {
    contain().clock.after(10, async () => fail(), 'look-up');
    await recorded.clock.runFor(20);
    expect(linesOf(stepFailed).map(it => it['callback'])).toEqual(['look-up']);
  });

  // Guards against lines and counters that don't tell which step fails.
  test.each([
    {named: 'by its step', fn: fail, step: 'heartbeat', callback: 'heartbeat'},
    {named: 'by its function', fn: fail, step: undefined, callback: 'fail'},
    {
      named: 'as a timer where neither has a name',
      fn: (
        () => () =>
          fail()
      )(),
      step: undefined,
      callback: 'timer',
    },
  ])('is named $named', async ({fn, step, callback}) => {
    const {clock} = contain();
    clock.after(10, fn, step);
    const cancel = clock.every(10, fn, step);
    await recorded.clock.runFor(15);
    cancel();
    const labels = {event: 'step-failed', callback};
    expect(recorded.metrics.total(CONTAINED_METRIC, labels)).toBe(2);
    expect(linesOf(stepFailed)[0]['callback']).toBe(callback);
  });

  // Guards against a cancelled timer that runs since its function was wrapped.
  test('does not run once it is cancelled', async () => {
    const {clock} = contain();
    for (const cancel of [clock.after(10, fail), clock.every(10, fail)]) {
      cancel();
    }
    await recorded.clock.runFor(100);
    expect(linesOf(stepFailed)).toEqual([]);
  });
});

describe('an error that lasts', () => {
  // Guards against a log that an error in each second fills for hours.
  test('takes a line a minute, which says how often it came', async () => {
    contain().clock.every(1_000, fail, 'gauges');
    await recorded.clock.runFor(2 * REPEAT_MS + 1_500);
    expect(linesOf(stepFailed).map(line => line['repeated'])).toEqual([
      undefined,
      59,
      59,
    ]);
    expect(recorded.metrics.total(CONTAINED_METRIC)).toBe(121);
  });

  // Guards against a frequent error that hides another one.
  test('does not keep the lines of other kinds from the log', async () => {
    const {clock, log} = contain();
    const failOtherwise = () => {
      throw new TypeError('another fault');
    };
    clock.every(1_000, fail, 'gauges');
    clock.every(1_000, fail, 'reports');
    clock.every(1_000, failOtherwise, 'gauges');
    for (const service of ['sharing', 'direct']) {
      for (const kind of ['hello', 'bye']) {
        for (let i = 0; i < 3; i++) {
          log(KERNEL_EVENTS.messageFailed, {service, kind, cause: 'a fault'});
        }
      }
    }
    await recorded.clock.runFor(10_500);
    expect(linesOf(stepFailed)).toHaveLength(3);
    expect(linesOf(KERNEL_EVENTS.messageFailed)).toHaveLength(4);
  });

  // Guards against lines of requests or of the process that are held back.
  test('holds back no lines but those of errors', () => {
    const {log} = contain();
    for (let i = 0; i < 3; i++) {
      log(KERNEL_EVENTS.processStarted, {cause: 'the same'});
    }
    expect(linesOf(KERNEL_EVENTS.processStarted)).toHaveLength(3);
  });

  // Guards against memory and lines that grow with the names of what fails.
  test('shares its line with other kinds beyond the bound of kinds', async () => {
    const {log} = contain();
    const failKind = (kind: number) =>
      log(stepFailed, {callback: `step ${kind}`, cause: 'a fault'});
    for (let kind = 0; kind < 2 * MAX_KINDS; kind++) failKind(kind);
    expect(linesOf(stepFailed)).toHaveLength(MAX_KINDS + 1);
    await recorded.clock.runFor(REPEAT_MS);
    failKind(3 * MAX_KINDS);
    const last = linesOf(stepFailed).at(-1);
    expect(last).toMatchObject({
      callback: `step ${3 * MAX_KINDS}`,
      repeated: MAX_KINDS - 1,
    });
  });

  // Guards against a process whose later errors are hidden by those of its start.
  test('has a line of its own once as many other kinds have ceased', async () => {
    const {clock, log} = contain();
    const failKind = (kind: number) =>
      log(stepFailed, {callback: `step ${kind}`, cause: 'a fault'});
    clock.every(REPEAT_MS / 2, fail, 'gauges');
    await recorded.clock.runFor(REPEAT_MS / 2);
    for (let kind = 1; kind < MAX_KINDS; kind++) failKind(kind);
    await recorded.clock.runFor(FORGET_MS + 1);
    const before = linesOf(stepFailed).length;
    for (let i = 0; i < 3; i++) {
      for (let kind = 1; kind < MAX_KINDS; kind++) failKind(1_000 + kind);
    }
    expect(linesOf(stepFailed)).toHaveLength(before + MAX_KINDS - 1);
    const named = linesOf(stepFailed).slice(before);
    expect(named.map(line => line['repeated'])).toEqual(
      named.map(() => undefined),
    );
    // The one that lasts is still limited, and the bound holds.
    await recorded.clock.runFor(REPEAT_MS);
    const last = linesOf(stepFailed).at(-1);
    expect(last).toMatchObject({callback: 'gauges', repeated: 1});
    failKind(5_000);
    failKind(5_001);
    expect(linesOf(stepFailed).at(-1)).toMatchObject({callback: 'step 5000'});
  });

  // Guards against an error that no line tells of, since the first one was lost.
  test('is said at its next time where its line could not be written', async () => {
    let isBroken = true;
    const {log} = contain({
      log: (event, fields) => {
        if (isBroken) fail();
        recorded.runtime.log(event, fields);
      },
    });
    const failStep = () =>
      log(stepFailed, {callback: 'gauges', cause: 'a fault'});
    failStep();
    isBroken = false;
    failStep();
    failStep();
    expect(linesOf(stepFailed)).toMatchObject([{repeated: 1}]);
    await recorded.clock.runFor(REPEAT_MS);
    isBroken = true;
    failStep();
    isBroken = false;
    failStep();
    expect(linesOf(stepFailed).map(line => line['repeated'])).toEqual([1, 2]);
    expect(recorded.metrics.total(LOST_LINES, {kind: 'failed'})).toBe(2);
  });
});

describe('a log and metrics that throw', () => {
  // Guards against a line that can't be written and ends what it tells of.
  test('lose the line, which is counted', async () => {
    let isBroken = true;
    const {clock, log} = contain({
      log: (event, fields) => {
        if (isBroken) fail();
        recorded.runtime.log(event, fields);
      },
    });
    log(KERNEL_EVENTS.processStarted, {});
    expect(recorded.metrics.total(LOST_LINES, {kind: 'failed'})).toBe(1);
    clock.after(10, fail, 'gauges');
    await recorded.clock.runFor(20);
    expect(recorded.metrics.total(LOST_LINES, {kind: 'failed'})).toBe(2);
    expect(recorded.metrics.total(CONTAINED_METRIC)).toBe(1);
    isBroken = false;
    log(KERNEL_EVENTS.processStarted, {});
    expect(linesOf(KERNEL_EVENTS.processStarted)).toHaveLength(1);
  });

  // Guards against a gauge, counter or sample that ends the step around it.
  test('lose the sample only', async () => {
    const {clock, metrics} = contain({
      metrics: {count: fail, gauge: fail, observe: fail, render: () => 'all'},
    });
    let reached = 0;
    clock.every(
      10,
      () => {
        metrics.count('calls_total');
        metrics.gauge('open', {}, 1);
        metrics.observe('wait_ms', {}, 1);
        reached++;
        fail();
      },
      'measure',
    );
    await recorded.clock.runFor(25);
    expect(reached).toBe(2);
    expect(linesOf(stepFailed)).toHaveLength(1);
    expect(metrics.render()).toBe('all');
  });

  // Guards against an error in the report of an error.
  test('both at once end no step', async () => {
    let runs = 0;
    const {clock} = contain({
      log: fail,
      metrics: {count: fail, gauge: fail, observe: fail, render: () => ''},
    });
    clock.every(10, () => {
      runs++;
      fail();
    });
    await recorded.clock.runFor(35);
    expect(runs).toBe(3);
  });
});

describe('an error that nothing owns', () => {
  // Guards against errors that no operator learns of.
  test('is counted and said', () => {
    createUnownedErrors(contain())(error);
    expect(recorded.metrics.total(UNOWNED_METRIC)).toBe(1);
    expect(linesOf(errorUnowned)).toMatchObject([{cause: error.stack}]);
  });

  // Guards against a log that such errors fill.
  test('takes a line a minute where it comes again, and is counted each time', () => {
    const take = createUnownedErrors(contain());
    for (let i = 0; i < 5; i++) take(error);
    take('a rejection without a stack');
    expect(recorded.metrics.total(UNOWNED_METRIC)).toBe(6);
    expect(linesOf(errorUnowned)).toHaveLength(2);
  });

  // Guards against a listener for such errors that throws, which ends the process.
  test.each([
    {
      broken: 'the log',
      sinks: {log: fail},
      counted: 1,
      said: 0,
    },
    {
      broken: 'the counter',
      sinks: {metrics: {count: fail, gauge: fail, observe: fail, render: fail}},
      counted: 0,
      said: 1,
    },
  ])('never throws, and does the rest, without $broken', broken => {
    const take = createUnownedErrors({...recorded.runtime, ...broken.sinks});
    expect(() => take(error)).not.toThrow();
    expect(recorded.metrics.total(UNOWNED_METRIC)).toBe(broken.counted);
    expect(linesOf(errorUnowned)).toHaveLength(broken.said);
  });

  // Guards against values that are no errors, such as a rejection with nothing.
  test.each([undefined, null, 'text', {}, 7])('may be %j', thrown => {
    createUnownedErrors(recorded.runtime)(thrown);
    expect(linesOf(errorUnowned)).toHaveLength(1);
  });
});
