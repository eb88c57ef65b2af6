/** What the soak of failing steps holds processes to, without a process. */
import {describe, expect, test} from 'vitest';
import type {
  ReadyCheck,
  StepOutcome,
} from '../fault_soak/failing_steps/step_callers.js';
import {
  judgeLog,
  judgeSteps,
  shorten,
} from '../fault_soak/failing_steps/steps_judge.js';
import type {StepRules} from '../fault_soak/failing_steps/steps_judge.js';
import type {ThrownError} from '../fault_soak/failing_steps/thrown_errors.js';
import type {LifeFacts} from '../fault_soak/starts_and_ends/starts_judge.js';

const FIRST_LINE = '{"time":"1970-01-01T00:00:00.500Z","name":"loaded"}';
const LIFE: LifeFacts = {
  name: 'entry-0-0',
  entry: 0,
  clearAt: 0,
  readyAt: 2_000,
  signals: [],
  end: undefined,
  overLimitMb: undefined,
  lines: [FIRST_LINE],
};
const CALL: StepOutcome = {
  id: 'a',
  path: '/again/a',
  entry: 0,
  connection: '127.0.0.1:1',
  isTaken: true,
  sentAt: 3_000,
  endedAt: 3_100,
  status: 200,
  hasRetryAfter: false,
  isWhole: true,
  hasLeft: false,
};
const CHECK: ReadyCheck = {
  entry: 0,
  connection: '127.0.0.1:2',
  sentAt: 3_000,
  endedAt: 3_010,
  status: 200,
};
const REFUSED = {
  id: undefined,
  connection: '127.0.0.1:3',
  isTaken: false,
  status: undefined,
};
const RESET = {status: undefined, isWhole: false};
const BEFORE = {sentAt: 1_000, endedAt: 1_010};
const ENDED = {at: 4_000, code: 0, signal: null};
const TERMINATED = {signal: 'SIGTERM', at: 3_050, isEarly: false} as const;
const MANY = 100;

function judge(
  outcomes: ReadonlyArray<Partial<StepOutcome>>,
  life: Partial<LifeFacts> = {},
  rules: Partial<StepRules> = {},
  checks: ReadonlyArray<Partial<ReadyCheck>> = [],
) {
  const {violations, ...figures} = judgeSteps(
    outcomes.map(it => ({...CALL, ...it})),
    checks.map(it => ({...CHECK, ...it})),
    {
      lives: [{...LIFE, ...life}],
      timeOrigin: 0,
      unconfigured: [],
      away: [],
      thrownIn: () => [],
      ...rules,
    },
  );
  return {broken: violations.map(it => it.split(':')[0]), ...figures};
}

function brokenOf(
  outcome: Partial<StepOutcome>,
  life: Partial<LifeFacts> = {},
  rules: Partial<StepRules> = {},
): string[] {
  return judge([outcome], life, rules).broken;
}

/** Many requests, of which the first ones ended otherwise. */
function many(count: number, first: Partial<StepOutcome>) {
  return Array.from({length: MANY}, (_, at) => ({
    id: `a-${at}`,
    ...(at < count ? first : {}),
  }));
}

// Guards against a judge that takes a lost answer for one that a caller had, or
// blames a process for what happened outside of its service.
describe('a caller', () => {
  test('may have any whole answer in its time', () => {
    for (const status of [200, 204, 429, 502, 599]) {
      expect(brokenOf({status})).toEqual([]);
    }
  });
  test('is refused by no process that runs, ready or not', () => {
    expect(brokenOf(REFUSED)).toEqual(['refused']);
    expect(brokenOf({...REFUSED, ...BEFORE})).toEqual(['refused-unready']);
    const neverReady = {readyAt: undefined};
    expect(brokenOf(REFUSED, neverReady)).toEqual(['refused-unready']);
  });
  test('has an answer, whole, in time, and with a status', () => {
    expect(brokenOf(RESET)).toEqual(['reset']);
    expect(brokenOf({isWhole: false})).toEqual(['cut']);
    expect(brokenOf({endedAt: 13_000})).toEqual(['late']);
    expect(brokenOf({endedAt: 12_000})).toEqual([]);
    expect(brokenOf({status: 199})).toEqual(['status']);
    expect(brokenOf({status: 600})).toEqual(['status']);
  });
  test('that leaves has none', () => {
    expect(brokenOf({...RESET, hasLeft: true})).toEqual([]);
    const late = {...RESET, endedAt: 13_000, hasLeft: true};
    expect(brokenOf(late)).toEqual([]);
  });
  test('may be refused before the address is bound', () => {
    const early = {...REFUSED, sentAt: 700, endedAt: 710};
    expect(brokenOf(early)).toEqual([]);
    expect(brokenOf(REFUSED, {lines: []})).toEqual([]);
  });
  test('may be refused after a signal that ends the process', () => {
    expect(brokenOf(RESET, {signals: [TERMINATED]})).toEqual([]);
    const harmless = {...TERMINATED, signal: 'SIGHUP'} as const;
    expect(brokenOf(RESET, {signals: [harmless]})).toEqual(['reset']);
  });
  test('may be broken off by an end, and not long before it', () => {
    expect(brokenOf(RESET, {end: {...ENDED, at: 3_200}})).toEqual([]);
    expect(brokenOf(RESET, {end: ENDED})).toEqual(['reset']);
  });
  test('is judged by its own entry alone', () => {
    expect(brokenOf({...RESET, entry: 1})).toEqual([]);
    const other = {...LIFE, name: 'entry-1-0', entry: 1};
    const lives = [{...LIFE, signals: [TERMINATED]}, other];
    expect(brokenOf({...RESET, entry: 1}, {}, {lives})).toEqual(['reset']);
    expect(brokenOf(RESET, {}, {lives})).toEqual([]);
  });
});

// Guards against a judge that excuses any loss beside an error of one request.
describe('a request with an error of its own', () => {
  const lineOf = (name: string, field: string, value: string) =>
    `{"name":"${name}","${field}":"${value}"}`;
  const faulted = lineOf('direct-faulted', 'requestId', 'a');
  const torn = lineOf('direct-connection-faulted', 'connection', '127.0.0.1:1');
  test.each([faulted, torn])('may lose its answer: %s', line => {
    const report = judge([RESET], {lines: [FIRST_LINE, line]});
    expect(report).toMatchObject({broken: [], excused: 1});
  });
  test('excuses no other one', () => {
    const lines = [FIRST_LINE, faulted, torn];
    const other = {...RESET, id: 'b', connection: '127.0.0.1:9'};
    expect(judge([other], {lines})).toMatchObject({
      broken: ['reset'],
      excused: 0,
    });
    expect(brokenOf(REFUSED, {lines})).toEqual(['refused']);
  });
  test('may have its connection reset before the caller has seen it open', () => {
    const own = lineOf(
      'direct-connection-faulted',
      'connection',
      '127.0.0.1:3',
    );
    const report = judge([REFUSED], {lines: [FIRST_LINE, own]});
    expect(report).toMatchObject({broken: [], excused: 1});
    expect(brokenOf(REFUSED, {lines: [FIRST_LINE, torn]})).toEqual(['refused']);
  });
  describe('whose line may be lost by an error in the log', () => {
    const own = {wallMs: 3_050, isInLog: false};
    const inLog = {wallMs: 3_150, isInLog: true};
    const thrown = (...all: readonly ThrownError[]) => ({thrownIn: () => all});
    test('may lose its answer', () => {
      const report = judge([RESET], {}, thrown(own, inLog));
      expect(report).toMatchObject({broken: [], untold: 1});
      expect(brokenOf({isWhole: false}, {}, thrown(own, inLog))).toEqual([]);
      const check = {...CHECK, endedAt: 3_100, status: undefined};
      const checked = judge([], {}, thrown(own, inLog), [check]);
      expect(checked.broken).toEqual([]);
    });
    test.each([
      [[own], 'no error in the log'],
      [[inLog], 'no other error'],
      [[own, {...inLog, wallMs: 3_300}], 'a late error in the log'],
      [[own, {...inLog, wallMs: 2_900}], 'an early error in the log'],
      [[{...own, wallMs: 3_120}, inLog], 'a late error'],
      [[{...own, wallMs: 2_900}, inLog], 'an early error'],
    ])('is not excused by %j: %s', all => {
      expect(brokenOf(RESET, {}, thrown(...all))).toEqual(['reset']);
    });
    test('is excused alone', () => {
      const two = [RESET, {...RESET, id: 'b'}];
      const report = judge(two, {}, thrown(own, inLog));
      expect(report).toMatchObject({broken: ['reset'], untold: 1});
    });
    test('has its answer in time, with a status', () => {
      const late = {endedAt: 13_000};
      expect(brokenOf(late, {}, thrown(own, inLog))).toEqual(['late']);
      const odd = {status: 99};
      expect(brokenOf(odd, {}, thrown(own, inLog))).toEqual(['status']);
      const check = {...CHECK, endedAt: 4_010, status: undefined};
      const checked = judge([], {}, thrown(own, inLog), [check]);
      expect(checked.broken).toEqual(['readiness']);
    });
  });
  test('is not taken from other lines or from another process', () => {
    const ended = lineOf('request-ended', 'requestId', 'a');
    expect(brokenOf(RESET, {lines: [FIRST_LINE, ended]})).toEqual(['reset']);
    const nameless = lineOf('direct-faulted', 'requestId', '');
    expect(brokenOf(REFUSED, {lines: [FIRST_LINE, nameless]})).toEqual([
      'refused',
    ]);
    const next = {...LIFE, entry: 1, lines: [FIRST_LINE, faulted]};
    expect(brokenOf(RESET, {}, {lives: [LIFE, next]})).toEqual(['reset']);
  });
});

// Guards against a judge that lets an entry without a configuration answer with
// anything, late, or not at all.
describe('without a configuration', () => {
  const unconfigured = [{from: 900, to: 1_900}];
  const refusal = {...BEFORE, status: 503, hasRetryAfter: true};
  test('callers get 503 with Retry-After at once', () => {
    const report = judge([refusal], {}, {unconfigured});
    expect(report).toMatchObject({broken: [], refusedWithout: 1});
  });
  test.each([
    {what: 'another status', change: {status: 502}},
    {what: 'a success', change: {status: 200}},
    {what: 'no Retry-After', change: {hasRetryAfter: false}},
  ])('$what is wrong', ({change}) => {
    const report = judge([{...refusal, ...change}], {}, {unconfigured});
    expect(report).toMatchObject({
      broken: ['unconfigured'],
      refusedWithout: 0,
    });
  });
  test('a refusal that waits is wrong', () => {
    const spans = [{from: 900, to: 2_500}];
    const late = {...refusal, endedAt: 2_100};
    expect(brokenOf(late, {}, {unconfigured: spans})).toEqual(['unconfigured']);
  });
  test('no answer, or no connection, is wrong as always', () => {
    const rules = {unconfigured};
    expect(brokenOf({...RESET, ...BEFORE}, {}, rules)).toEqual(['reset']);
    expect(brokenOf({...REFUSED, ...BEFORE}, {}, rules)).toEqual([
      'refused-unready',
    ]);
  });
  test('a request that outlasts that time may have any answer', () => {
    const outlasting = {...BEFORE, endedAt: 1_950};
    expect(brokenOf(outlasting, {}, {unconfigured})).toEqual([]);
  });
});

// Guards against a judge that takes an entry without a configuration for ready,
// or a silent check for an answer.
describe('readiness', () => {
  const checked = (
    check: Partial<ReadyCheck>,
    rules: Partial<StepRules> = {},
    life: Partial<LifeFacts> = {},
  ) => judge([], life, rules, [check]).broken;
  test('has an answer, whatever it is', () => {
    expect(checked({})).toEqual([]);
    expect(checked({status: 503})).toEqual([]);
    expect(checked({status: undefined})).toEqual(['readiness']);
  });
  test('is 503 without a configuration', () => {
    const rules = {unconfigured: [{from: 900, to: 1_900}]};
    expect(checked({...BEFORE, status: 503}, rules)).toEqual([]);
    expect(checked({...BEFORE, status: 200}, rules)).toEqual(['readiness']);
    const silent = {...BEFORE, status: undefined};
    expect(checked(silent, rules)).toEqual(['readiness']);
  });
  test('is not judged beside an end or an error of its own', () => {
    const silent = {status: undefined};
    const end = {...ENDED, at: 3_200};
    expect(checked(silent, {}, {end})).toEqual([]);
    const torn =
      '{"name":"direct-connection-faulted","connection":"127.0.0.1:2"}';
    expect(checked(silent, {}, {lines: [FIRST_LINE, torn]})).toEqual([]);
  });
});

// Guards against a judge that accepts answers to all callers that serve nobody.
describe('an entry in service', () => {
  const failing = {status: 503, hasRetryAfter: true};
  // Of the log only the requests that are served count.
  const logged = {
    lines: [FIRST_LINE, ...many(0, {}).map(({id}) => lineFor(id))],
  };
  test('serves half of its requests at least', () => {
    expect(judge(many(MANY / 2, failing), logged).broken).toEqual([]);
    const report = judge(many(MANY / 2 + 1, failing), logged);
    expect(report.broken).toEqual(['served']);
    expect(report.served).toEqual({200: MANY / 2 - 1, 503: MANY / 2 + 1});
  });
  test('is not judged by a few, nor before it is ready', () => {
    expect(judge(many(MANY, failing).slice(0, 19)).broken).toEqual([]);
    const early = many(MANY, {...failing, ...BEFORE});
    expect(judge(early).broken).toEqual([]);
  });
  test('is not judged while the store is away, or by those who leave', () => {
    const away = [{from: 2_900, to: 3_050}];
    expect(judge(many(MANY, failing), {}, {away}).broken).toEqual([]);
    const left = many(MANY, {...RESET, hasLeft: true});
    expect(judge(left).broken).toEqual([]);
  });
});

// Guards against a judge that misses a log which stays silent after one line of
// it failed.
describe('the log of an entry', () => {
  const tellingOf = (count: number) => ({
    lines: [
      FIRST_LINE,
      ...many(0, {})
        .slice(0, count)
        .map(({id}) => lineFor(id)),
    ],
  });
  test('has lines of four in five served requests at least', () => {
    expect(judge(many(0, {}), tellingOf(MANY)).broken).toEqual([]);
    expect(judge(many(0, {}), tellingOf(80)).broken).toEqual([]);
    expect(judge(many(0, {}), tellingOf(79)).broken).toEqual(['log-lost']);
    expect(judge(many(0, {}), tellingOf(0)).broken).toEqual(['log-lost']);
  });
  test('is found silent from one moment on, beside others that are not', () => {
    const silent = {...LIFE, ...tellingOf(10)};
    const other = {...LIFE, entry: 1, name: 'entry-1-0'};
    const lines = [FIRST_LINE, ...many(0, {}).map(({id}) => lineFor(`b${id}`))];
    const lives = [silent, {...other, lines}];
    const calls = many(0, {});
    const others = calls.map(({id}) => ({id: `b${id}`, entry: 1}));
    const outcomes = [...calls, ...others].map(it => ({...CALL, ...it}));
    const rules = {lives, timeOrigin: 0, unconfigured: [], away: []};
    const thrownIn = () => [];
    const {violations} = judgeSteps(outcomes, [], {...rules, thrownIn});
    expect(violations).toEqual(['log-lost: entry-0-0 no line of 90 of 100']);
  });
  test('is not judged by a few requests', () => {
    expect(judge(many(0, {}).slice(0, 19)).broken).toEqual([]);
    expect(judge(many(0, {}).slice(0, 20)).broken).toEqual(['log-lost']);
  });
});

function lineFor(id: string): string {
  return `{"name":"request-ended","requestId":"${id}"}`;
}

// Guards against a judge that misses a log which grows with each error of a step.
describe('lines of one kind of error', () => {
  const times = {timeOrigin: 0, observedTo: 60_500};
  const failed = (count: number, fields: object = {}) =>
    Array.from({length: count}, () =>
      JSON.stringify({name: 'step-failed', step: 'gauges', ...fields}),
    );
  const logOf = (lines: readonly string[], life: Partial<LifeFacts> = {}) =>
    judgeLog({...LIFE, lines: [FIRST_LINE, ...lines], ...life}, times);
  test('are a few a minute at most', () => {
    expect(logOf(failed(5))).toEqual([]);
    expect(logOf(failed(6))).toEqual([
      'log: entry-0-0 6 lines in 60000 ms: step-failed     gauges  undefined',
    ]);
  });
  test('are fewer in a short life', () => {
    const end = {...ENDED, at: 10_500};
    expect(logOf(failed(2), {end})).toEqual([]);
    expect(logOf(failed(3), {end})).toHaveLength(1);
  });
  test('are counted by step and by place', () => {
    const steps = ['gauges', 'heartbeat', 'measures'];
    expect(logOf(steps.flatMap(step => failed(5, {step})))).toEqual([]);
    const causes = ['Error: x\n at a\n at b', 'Error: x\n at a\n at c'];
    expect(logOf(causes.flatMap(cause => failed(5, {cause})))).toEqual([]);
    expect(logOf(failed(6, {cause: causes[0]}))).toHaveLength(1);
  });
  test.each([
    'service-failed',
    'message-failed',
    'error-unowned',
    'call-failed',
    'peer-message-dropped',
    'step-failed',
  ])('are counted as %s', name => {
    expect(logOf(failed(6, {name}))).toHaveLength(1);
  });
  test('are not those of requests', () => {
    expect(logOf(failed(6, {name: 'request-ended'}))).toEqual([]);
  });
});

// Guards against a report in which one kind of violation hides the others.
test('a report shows two violations of a kind and process, and counts the others', () => {
  const lost = ['log: a 1', 'log: a 2', 'log: a 3', 'log: a 4'];
  expect(shorten([...lost, 'log: b 1', 'end: a 1'])).toEqual([
    'log: a 1',
    'log: a 2',
    'log: b 1',
    'end: a 1',
    'log: a 2 more',
  ]);
});
