/** What the soak of silent replicas holds entries to, without a network. */
import {describe, expect, test} from 'vitest';
import {
  STREAM_EVENTS,
  judge,
} from '../fault_soak/silent_replicas/silence_judge.js';
import type {
  Ended,
  RequestFacts,
} from '../fault_soak/silent_replicas/silence_judge.js';
import {
  chooseSilent,
  coveredMs,
} from '../fault_soak/silent_replicas/silence_shapes.js';
import {eventText} from '../standins/users_platform/replica.js';

const SENT_AT = 50_000;
const GRACE_MS = 8_000;
const EVENTS = Array.from({length: STREAM_EVENTS}, (_, at) =>
  eventText(at + 1),
);

function stream(tookMs: number, changed: Partial<Ended> = {}): Ended {
  return {
    id: 'stream-1-at-0',
    kind: 'stream',
    entry: 0,
    key: 'key-1',
    wasConnected: true,
    sentAt: SENT_AT,
    endedAt: SENT_AT + tookMs,
    firstEventAt: SENT_AT + 10,
    longestPauseMs: 60,
    status: 200,
    body: EVENTS.join(''),
    isWhole: true,
    ...changed,
  };
}

const CUT = {body: EVENTS.slice(0, 9).join(''), isWhole: false};
const NO_ANSWER = {status: undefined, body: '', isWhole: false};
const REFUSED = {status: 503, body: 'no room', isWhole: true};

function facts(changed: Partial<RequestFacts> = {}): RequestFacts {
  return {
    runs: 1,
    attempts: 1,
    isAtWork: () => false,
    brokeOff: false,
    stop: undefined,
    graceMs: GRACE_MS,
    silentMs: 0,
    entrySilentMs: 0,
    isStillRun: false,
    allowedBySome: true,
    allowedByAll: true,
    ...changed,
  };
}

function stoppedAt(from: number): Partial<RequestFacts> {
  return {stop: {entry: 0, from, to: Infinity}};
}

// Guards against a judge that passes over answers that are ended too soon.
describe('an answer that would have come', () => {
  test('is not cut while its replica is silent', () => {
    expect(judge(stream(2_500, CUT), facts({silentMs: 1_200}))).toHaveLength(1);
  });
  test('is not replaced by a failure', () => {
    const failed = {...REFUSED, status: 502};
    expect(judge(stream(1_000, failed), facts())).toHaveLength(1);
  });
  test('may be refused only if nothing ran', () => {
    expect(judge(stream(1_000, REFUSED), facts({runs: 0}))).toEqual([]);
    expect(judge(stream(1_000, REFUSED), facts())).toHaveLength(1);
  });
  test('may be cut at its deadline', () => {
    const silent = facts({silentMs: 8_000});
    expect(judge(stream(9_900, CUT), silent)).toEqual([]);
  });
  test('has each event once and in order', () => {
    const body = [...EVENTS.slice(0, 9), EVENTS[8]].join('');
    expect(judge(stream(2_500, {...CUT, body}), facts())).toHaveLength(1);
    const short = {body: CUT.body, isWhole: true};
    expect(judge(stream(2_500, short), facts())).toHaveLength(1);
  });
});

// Guards against a judge for which waiting for any replica is right.
describe('a caller', () => {
  test('is not kept at a replica that is gone for good', () => {
    expect(judge(stream(6_000), facts())).toHaveLength(1);
    expect(judge(stream(9_900, CUT), facts())).toHaveLength(1);
  });
  test('may wait for a sound replica that is silent', () => {
    expect(judge(stream(6_000), facts({silentMs: 2_500}))).toEqual([]);
  });
  test('has an end soon after its deadline', () => {
    const call = {kind: 'once', ...NO_ANSWER} as const;
    expect(judge(stream(12_000, call), facts())).toHaveLength(1);
  });
});

// Guards against a stop or a new version that excuses more than it may.
describe('beside planned work', () => {
  test('a request that crosses the close may get no answer', () => {
    const stopped = stoppedAt(SENT_AT - 1_000);
    const crossing = facts({runs: 0, ...stopped});
    expect(judge(stream(150, NO_ANSWER), crossing)).toEqual([]);
    expect(judge(stream(250, NO_ANSWER), crossing)).toHaveLength(1);
    expect(judge(stream(150, NO_ANSWER), facts(stopped))).toHaveLength(1);
    expect(judge(stream(150, NO_ANSWER), facts({runs: 0}))).toHaveLength(1);
  });
  test('the end of the grace time cuts only what is still at work', () => {
    const stopped = stoppedAt(SENT_AT + 500);
    const isAtWork = () => true;
    const working = facts({...stopped, isAtWork, silentMs: 5_000});
    expect(judge(stream(7_600, CUT), working)).toEqual([]);
    expect(judge(stream(2_900, CUT), working)).toHaveLength(1);
    const idle = facts({...stopped, silentMs: 5_000});
    expect(judge(stream(7_600, CUT), idle)).toHaveLength(1);
  });
  test('the end of the grace time cuts nothing sent late', () => {
    const late = {...stoppedAt(SENT_AT - 3_100), isAtWork: () => true};
    const cut = stream(4_500, CUT);
    expect(judge(cut, facts({...late, silentMs: 5_000}))).toHaveLength(1);
  });
  test('a denial is judged if all versions allow the request', () => {
    const denied = stream(20, {...REFUSED, status: 404});
    const none = {runs: 0};
    expect(judge(denied, facts(none))).toHaveLength(1);
    expect(judge(denied, facts({...none, allowedByAll: false}))).toEqual([]);
  });
  test('a cut by the end of a replica is not judged', () => {
    expect(judge(stream(900, CUT), facts({brokeOff: true}))).toEqual([]);
    expect(judge(stream(900, CUT), facts())).toHaveLength(1);
  });
  test('a cut is judged whatever versions allow', () => {
    const outside = {allowedBySome: false, allowedByAll: false};
    expect(judge(stream(900, CUT), facts(outside))).toHaveLength(1);
  });
});

// Guards against calls that run twice, or run though they were refused.
test('a call runs once at most, and not where it was refused', () => {
  const call = {kind: 'once', body: 'answer to stream-1-at-0'} as const;
  expect(judge(stream(20, call), facts())).toEqual([]);
  expect(judge(stream(20, call), facts({runs: 2}))).toHaveLength(1);
  const refused = {...call, ...REFUSED};
  expect(judge(stream(20, refused), facts({runs: 0}))).toEqual([]);
  expect(judge(stream(20, refused), facts()).length).toBeGreaterThan(0);
});

// Guards against overlapping silences that are counted twice.
test('silences that overlap count once', () => {
  const spans = [
    {from: 30, to: 50},
    {from: 10, to: 40},
    {from: 15, to: 20},
    {from: 90, to: Infinity},
  ];
  expect(coveredMs(spans, 0, 100)).toBe(50);
  expect(coveredMs(spans, 35, 45)).toBe(10);
  expect(coveredMs([], 0, 100)).toBe(0);
});

// Guards against groups that leave engines out.
test('one engine, each in turn, a failure domain or all fall silent', () => {
  const [a, b, c] = ['domain-1', 'domain-2', 'domain-1'].map(domain => ({
    domain,
  }));
  const engines = [a, b, c];
  expect(chooseSilent(engines, 'one', 4)).toEqual([a]);
  expect(chooseSilent(engines, 'turn', 4)).toEqual([b]);
  expect(chooseSilent(engines, 'domain', 3)).toEqual([a, c]);
  expect(chooseSilent(engines, 'all', 1)).toEqual(engines);
});
