/** What the soak of odd bytes holds processes and answers to, without a process. */
import {describe, expect, test} from 'vitest';
import {readSoFar} from '../fault_soak/kept_connection.js';
import type {Outcome} from '../fault_soak/odd_wires/honest_callers.js';
import {STREAM_EVENTS} from '../fault_soak/odd_wires/odd_replica.js';
import type {SentAnswer} from '../fault_soak/odd_wires/odd_replica.js';
import {judgeAnswers, judgeLines} from '../fault_soak/odd_wires/wires_judge.js';
import type {AnswerRules} from '../fault_soak/odd_wires/wires_judge.js';
import type {LifeFacts} from '../fault_soak/starts_and_ends/starts_judge.js';
import {eventText} from '../standins/users_platform/replica.js';

const LIFE: LifeFacts = {
  name: 'entry-0-0',
  entry: 0,
  clearAt: 0,
  readyAt: 100,
  signals: [],
  end: undefined,
  overLimitMb: undefined,
  lines: [],
};
const CALL: Outcome = {
  id: 'a',
  kind: 'again',
  entry: 0,
  sentAt: 1_000,
  endedAt: 1_100,
  status: 200,
  seal: 'seal-a',
  body: 'answer to a',
  isWhole: true,
  surplus: '',
};
const SENT: SentAnswer = {
  number: 7,
  id: 'a',
  status: 200,
  body: 'odd answer 7 to a',
  head: '',
  isHeadWrong: false,
  isCut: false,
  isNotRun: false,
  hasOddEvents: false,
};
const FAILED = {status: 502, seal: undefined, body: ''};

function eventsUpTo(last: number, isOdd = false): string {
  const ids = Array.from({length: last}, (_, at) => at + 1);
  const text = ids.map(eventText).join('');
  return isOdd ? text.replaceAll('piece', 'odd 7 piece') : text;
}

function brokenOf(
  outcome: Partial<Outcome>,
  sent: ReadonlyArray<Partial<SentAnswer>> = [],
  rules: Partial<AnswerRules> = {},
): string[] {
  const report = judgeAnswers([{...CALL, ...outcome}], {
    lives: [LIFE],
    sent: sent.map(it => ({...SENT, ...it})),
    soundRuns: () => 1,
    away: [],
    ...rules,
  });
  return report.violations.map(it => it.split(':')[0]);
}

// Guards against a judge that misses a fault of a service which ended no process.
test('lines of faults are named with their process', () => {
  const lines = ['service-failed', 'invariant-violated', 'process-failed'].map(
    name => `{"name":"${name}"}`,
  );
  const broken = judgeLines({...LIFE, lines: ['{"name":"ready"}', ...lines]});
  expect(broken.map(it => it.split(' ')[0])).toEqual([
    'service-failed:',
    'invariant-violated:',
    'process-failed:',
  ]);
  expect(broken[0]).toContain('entry-0-0');
});

// Guards against a judge that takes a wrong answer for a right one, or blames an
// entry for what a replica said.
describe('an answer', () => {
  test('of a sound replica, whole and sealed, is in order', () => {
    expect(brokenOf({})).toEqual([]);
  });
  test.each([0, 99, 100, 101, 199, 600, 999])(
    'with status %i is none',
    status => expect(brokenOf({status}, [{status}])).toEqual(['status']),
  );
  test('without the seal of its replica is no success', () => {
    expect(brokenOf({seal: undefined})).toEqual(['unsealed']);
    expect(brokenOf({seal: 'seal-b'})).toEqual(['unsealed']);
  });
  test('has an end, in time', () => {
    const late = {status: 500, endedAt: 8_900, isWhole: false};
    expect(brokenOf(late, [{status: 500}])).toEqual(['stalled']);
    const stream = {
      kind: 'odd-stream',
      endedAt: 8_900,
      isWhole: false,
    } as const;
    expect(brokenOf({...stream, body: ''})).toEqual([]);
  });
  test('with bytes behind it is wrong', () => {
    expect(brokenOf({surplus: 'x'})).toEqual(['surplus']);
  });
  test('has the whole body of one that was sent whole', () => {
    const {body} = SENT;
    expect(brokenOf({body}, [{}])).toEqual([]);
    expect(brokenOf({body}, [{isCut: true}])).toEqual(['mixed']);
    expect(brokenOf({body}, [{isHeadWrong: true}])).toEqual(['mixed']);
    expect(brokenOf({body}, [{status: 500}])).toEqual(['mixed']);
    expect(brokenOf({body: 'odd'}, [{}])).toEqual(['mixed']);
    expect(brokenOf({body: 'answer to b'})).toEqual(['mixed']);
  });
  test('that is visibly cut is no wrong success', () => {
    const outcome = {kind: 'once', body: 'odd', isWhole: false} as const;
    expect(brokenOf(outcome, [{}], {soundRuns: () => 0})).toEqual([]);
  });
  test('under a seal has the status that was sent', () => {
    const outcome = {kind: 'odd-call', status: 404} as const;
    expect(brokenOf(outcome, [{status: 404}])).toEqual([]);
    expect(brokenOf(outcome, [{status: 500}])).toEqual(['other-status']);
  });
});

// Guards against a judge that misses a second run, or a false promise of none.
describe('a request that must run once', () => {
  const once = {kind: 'once'} as const;
  test('does not run twice', () => {
    expect(brokenOf(once, [], {soundRuns: () => 2})).toEqual(['twice']);
    expect(brokenOf(once, [{}])).toEqual(['twice']);
    expect(brokenOf(once, [{isNotRun: true}])).toEqual([]);
  });
  // Guards against a promise of its replica's that a run stands behind.
  test('is not refused after it ran, by its replica either', () => {
    const refused = {...once, status: 503, seal: undefined};
    const none = {soundRuns: () => 0};
    expect(brokenOf(refused, [{}], none)).toEqual(['refused']);
    expect(brokenOf(refused, [{status: 503}], none)).toEqual(['refused']);
    expect(brokenOf(refused, [{status: 503, isNotRun: true}], none)).toEqual(
      [],
    );
    expect(brokenOf(refused, [], none)).toEqual([]);
  });
});

// Guards against a judge that misses a splice, a gap or an end before the last event.
describe('a stream', () => {
  const stream = {kind: 'stream', body: eventsUpTo(STREAM_EVENTS)} as const;
  test('has all events once and in order, or is visibly cut', () => {
    expect(brokenOf(stream)).toEqual([]);
    expect(brokenOf({...stream, body: eventsUpTo(2)})).toEqual(['part']);
    const cut = {...stream, isWhole: false};
    expect(brokenOf({...cut, body: eventsUpTo(2)})).toEqual([]);
    const doubled = `${eventsUpTo(2)}${eventsUpTo(STREAM_EVENTS)}`;
    expect(brokenOf({...stream, body: doubled})).toEqual(['order']);
    expect(brokenOf({...cut, body: eventText(2)})).toEqual(['order']);
  });
  test('has no event of an answer that is no success', () => {
    const rest = eventsUpTo(STREAM_EVENTS, true).slice(
      eventsUpTo(1, true).length,
    );
    const body = `${eventsUpTo(1)}${rest}`;
    expect(brokenOf({...stream, body}, [{}])).toEqual([]);
    const wrong = {status: 99, isHeadWrong: true};
    expect(brokenOf({...stream, body}, [wrong])).toEqual(['spliced']);
    expect(brokenOf({...stream, body}, [{status: 404}])).toEqual(['spliced']);
    expect(brokenOf({...stream, body})).toEqual(['spliced']);
  });
  test('may be odd in what an odd replica sent', () => {
    const odd = {...stream, body: eventText(5)};
    expect(brokenOf(odd, [{hasOddEvents: true}])).toEqual([]);
  });
});

// Guards against a judge that lets odd bytes cost the callers beside them.
describe('a request that may be repeated', () => {
  test('is served by an entry in service', () => {
    expect(brokenOf(FAILED)).toEqual(['unserved']);
    expect(brokenOf({...FAILED, status: undefined})).toEqual(['unserved']);
    expect(brokenOf({...FAILED, kind: 'once'})).toEqual([]);
  });
  test('may fail as its replica says', () => {
    expect(brokenOf({...FAILED, status: 404}, [{status: 404}])).toEqual([]);
    expect(brokenOf(FAILED, [{status: 404}])).toEqual(['unserved']);
  });
  test('may fail before a start, after a signal and at an end', () => {
    const lives = [
      {...LIFE, readyAt: 1_050},
      {...LIFE, signals: [{signal: 'SIGTERM', at: 1_050, isEarly: false}]},
      {...LIFE, end: {at: 1_150, code: 1, signal: null}},
    ] as const;
    for (const life of lives) {
      expect(brokenOf(FAILED, [], {lives: [life]})).toEqual([]);
    }
  });
  test('may be refused while the store is odd, but not fail', () => {
    const away = [{from: 900, to: 1_200}];
    expect(brokenOf({...FAILED, status: 503}, [], {away})).toEqual([]);
    expect(brokenOf(FAILED, [], {away})).toEqual(['unserved']);
  });
});

// Guards against a reader that takes a part of an answer for a whole one.
describe('the reader of answers', () => {
  const head = 'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n';
  test('reads a length and chunks', () => {
    const whole = {status: 200, seal: 's', body: 'ok', isWhole: true};
    expect(readSoFar(`${head}Content-Length: 2\r\n\r\nok`)).toMatchObject(
      whole,
    );
    const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`;
    expect(readSoFar(`${chunked}0\r\n\r\n`)).toMatchObject(whole);
    expect(readSoFar(chunked)).toMatchObject({body: 'ok', isWhole: false});
  });
  test('takes nothing without an end for whole, and tells of a surplus', () => {
    expect(readSoFar(head).status).toBe(undefined);
    expect(readSoFar(`${head}\r\nok`)).toMatchObject({isWhole: false});
    expect(readSoFar(`${head}Content-Length: 1\r\n\r\nok`).surplus).toBe('k');
    const bare = readSoFar('HTTP/1.1 101 Odd\r\n\r\nx');
    expect(bare).toMatchObject({status: 101, isWhole: true, surplus: 'x'});
  });
});
