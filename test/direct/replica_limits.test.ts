/** What an entry knows of the request limits that replicas name. */
import {beforeEach, describe, expect, test} from 'vitest';
import {headerCodec} from '../../platform/header_codec.js';
import {createReplicaLimits} from '../../src/direct/limits/replica_limits.js';
import type {ReplicaLimits} from '../../src/direct/limits/replica_limits.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';

describe("an answer's request limit", () => {
  const limitIn = (status: number, text?: string) =>
    headerCodec.readAnswer(
      status,
      text === undefined ? {} : {'server-limit': text},
    ).requestLimit;

  test('is a decimal number of requests a second', () => {
    expect(limitIn(200, '1.4')).toEqual({kind: 'limited', perSecond: 1.4});
    expect(limitIn(503, '0')).toEqual({kind: 'limited', perSecond: 0});
    expect(limitIn(200)).toEqual({kind: 'none'});
  });

  test.each(['', '-1', '1e3', 'NaN', 'Infinity', '2,5', 'three'])(
    'cannot be read from "%s"',
    text => expect(limitIn(200, text)).toEqual({kind: 'unreadable', text}),
  );

  // Another replica at the address says nothing about the expected one.
  test('does not count from another replica', () => {
    expect(limitIn(421, '3')).toBeUndefined();
  });
});

describe('the limit of a replica', () => {
  let clock: VirtualClock;
  let recorded: RecordingRuntime;
  let limits: ReplicaLimits;
  let reported: string[];
  beforeEach(() => {
    clock = createVirtualClock();
    recorded = createRecordingRuntime();
    reported = [];
    limits = createReplicaLimits({
      clock,
      log: recorded.runtime.log,
      isInUse: replicaId => replicaId !== 'gone',
      onChange: ({replicaId}, change) =>
        reported.push(`${replicaId} ${change}`),
    });
  });
  const name = (perSecond: number, sentAt = clock.now()) =>
    limits.answered('a', sentAt, {kind: 'limited', perSecond});

  test('follows the answers: it is learned, changes and ends', () => {
    name(2);
    name(2);
    expect(limits.limitOf('a')).toBe(2);
    name(0.5);
    expect(limits.limitOf('a')).toBe(0.5);
    clock.advance(10);
    limits.answered('a', clock.now(), {kind: 'none'});
    expect(limits.limitOf('a')).toBeUndefined();
    expect(recorded.eventsOf(DIRECT_EVENTS.limitLearned)).toHaveLength(2);
    expect(recorded.eventsOf(DIRECT_EVENTS.limitEnded)).toHaveLength(1);
  });

  // At a limit of nearly 0, entries ask for no permit for what may run once, so
  // they would not learn from their home that the limit has risen.
  test('is told apart where it rises from nearly 0', () => {
    [0, 0.1, 5, 6, 0].forEach(perSecond => name(perSecond));
    expect(reported).toEqual([
      'a began',
      'a changed',
      'a reopened',
      'a changed',
      'a changed',
    ]);
  });

  // Guards against a limit that is dropped because an older answer, on another
  // connection, arrives after the one that named it.
  test('is not ended by an answer to an earlier request', () => {
    const before = clock.now();
    clock.advance(5);
    name(1);
    limits.answered('a', before, {kind: 'none'});
    expect(limits.limitOf('a')).toBe(1);
  });

  test('stays as it was when it cannot be read', () => {
    name(1.5);
    limits.answered('a', clock.now(), {kind: 'unreadable', text: 'x'});
    expect(limits.limitOf('a')).toBe(1.5);
    const [{fields}] = recorded.eventsOf(DIRECT_EVENTS.limitUnreadable);
    expect(fields).toMatchObject({replica: 'a', text: 'x', perSecond: 1.5});
  });

  // Guards against a peer's older report that undoes what an answer has said.
  test("is the newest statement, whatever the order of peers' reports", () => {
    clock.advance(1_000);
    name(2);
    limits.merge({replicaId: 'a', perSecond: 9, ageMs: 500});
    expect(limits.limitOf('a')).toBe(2);
    clock.advance(100);
    limits.merge({replicaId: 'a', perSecond: undefined, ageMs: 50});
    expect(limits.limitOf('a')).toBeUndefined();
    limits.merge({replicaId: 'a', perSecond: 2, ageMs: 90});
    expect(limits.limitOf('a')).toBeUndefined();
    expect(reported).toEqual(['a began']);
  });

  // Guards against reports of a replica that has ended, which entries would
  // repeat to each other for good.
  test('is not taken over for a replica that is not in use', () => {
    limits.merge({replicaId: 'gone', perSecond: 2, ageMs: 0});
    expect(limits.limitOf('gone')).toBeUndefined();
  });

  test('is reported in turn, with its age', () => {
    name(2);
    limits.answered('b', 0, {kind: 'limited', perSecond: 3});
    clock.advance(40);
    const ids = () => limits.nextReports(1).map(it => it.replicaId);
    expect([ids(), ids(), ids()]).toEqual([['a'], ['b'], ['a']]);
    expect(limits.nextReports(1)).toEqual([
      {replicaId: 'b', perSecond: 3, ageMs: 40},
    ]);
  });

  // Guards against a report on its way that overrides an answer since then.
  test('is not overridden by a report that was sent before the answer', () => {
    clock.advance(1_000);
    name(1);
    clock.advance(4);
    limits.merge({replicaId: 'a', perSecond: 10, ageMs: 0});
    expect(limits.limitOf('a')).toBe(1);
  });

  test('is gone when the replica has ended', () => {
    name(1);
    limits.forget('a');
    expect(limits.limitOf('a')).toBeUndefined();
    expect([limits.count(), limits.sum()]).toEqual([0, 0]);
  });
});
