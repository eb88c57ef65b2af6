/** What is known of replicas that have just started. */
import {beforeEach, describe, expect, test} from 'vitest';
import {COLD_PER_S} from '../../bench/cold_model.js';
import {headerCodec} from '../../platform/header_codec.js';
import {decodeConfig} from '../../platform/config_document.js';
import {decodeReplica} from '../../platform/replica_record.js';
import {createColdReplicas} from '../../src/direct/cold/cold_replicas.js';
import type {
  ColdReplicas,
  ColdSource,
} from '../../src/direct/cold/cold_replicas.js';
import type {StatedCold} from '../../src/direct/cold/cold_types.js';
import {decodeDatagram, encodeDatagram} from '../../src/direct/datagrams.js';
import {createKnownReplicas} from '../../src/direct/known_replicas.js';
import {createReplicaLimits} from '../../src/direct/limits/replica_limits.js';
import type {DirectReplica} from '../../src/direct/types.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';
import {configOf} from '../../standins/users_platform/deployment.js';

const COLD_MS = 3_000;
const RECORD = {
  service: 'pool',
  address: '10.0.0.1:80',
  zone: 'domain-1',
  slots: 4,
  state: 'ready',
};

describe("a replica's statement that it is cold", () => {
  test.each([
    ['0', {kind: 'cold', leftMs: 0}],
    ['1250.5', {kind: 'cold', leftMs: 1_250.5}],
    ['soon', {kind: 'unreadable', text: 'soon'}],
    ['-1', {kind: 'unreadable', text: '-1'}],
  ])('in a header is %s', (text, stated) => {
    const answer = headerCodec.readAnswer(200, {'x-cold-ms': text});
    expect(answer.notices?.cold).toEqual(stated);
  });

  test('is missing from most answers', () => {
    expect(headerCodec.readAnswer(200, {}).notices?.cold?.kind).toBe('none');
  });

  // Guards against a whole record that is rejected for one unreadable field.
  test.each([
    [undefined, {kind: 'none'}],
    [0, {kind: 'cold', leftMs: 0}],
    [900, {kind: 'cold', leftMs: 900}],
    [-1, {kind: 'unreadable', text: '-1'}],
    ['900', {kind: 'unreadable', text: '"900"'}],
    [null, {kind: 'unreadable', text: 'null'}],
    [{}, {kind: 'unreadable', text: '{}'}],
  ])('in a record is %j', (coldLeftMs, stated) => {
    const decoded = decodeReplica('r', {...RECORD, coldLeftMs});
    expect(decoded.extract()).toMatchObject({name: 'r', cold: stated});
  });

  // Guards against entries that list the store each second, because the
  // coldness that they know is never the same.
  test('is not part of the digest of the known replicas', () => {
    const digestOf = (spec: unknown) => {
      const known = createKnownReplicas();
      const replica = decodeReplica('r', spec).unsafeCoerce();
      known.replaceAll(new Map([['r', replica]]));
      return known.digest();
    };
    const digest = digestOf({...RECORD, coldLeftMs: 900});
    expect(digest).toBe(digestOf({...RECORD, coldLeftMs: 20}));
    expect(digest).not.toBe(digestOf({...RECORD, slots: 5}));
  });
});

describe("a service's cold start", () => {
  const coldStartOf = (fields: object) => {
    const config = {...configOf(1), services: [{name: 's', ...fields}]};
    return decodeConfig(config).unsafeCoerce().services.get('s')?.coldStart;
  };

  test('is in the configuration', () => {
    const coldStart = coldStartOf({coldStartS: 3, coldPerS: 26});
    expect(coldStart).toEqual({durationMs: 3_000, perSecond: 26});
  });

  // Guards against a configuration that is not adopted because of one field.
  test.each([
    {},
    {coldStartS: 3},
    {coldStartS: 0, coldPerS: 26},
    {coldStartS: 3, coldPerS: 0},
    {coldStartS: 3, coldPerS: -1},
    {coldStartS: '3', coldPerS: 26},
  ])('is none in %j', fields => {
    expect(coldStartOf(fields)).toBeUndefined();
  });
});

describe('what an entry knows of cold replicas', () => {
  let clock: VirtualClock;
  let recorded: RecordingRuntime;
  let cold: ColdReplicas;
  let news: Array<[string, ColdSource]>;
  const createCold = (settings: object | undefined) => {
    const {log, metrics} = recorded.runtime;
    const created = createColdReplicas({
      clock,
      log,
      metrics,
      settings: settings && {overFactor: 1.5, slack: 5},
      onCold: (id, source) => news.push([id, source]),
    });
    const coldStart = {durationMs: COLD_MS, perSecond: COLD_PER_S};
    created.setServices(new Map([['pool', {coldStart}]]));
    return created;
  };
  beforeEach(() => {
    clock = createVirtualClock();
    clock.advance(10_000);
    recorded = createRecordingRuntime();
    news = [];
    cold = createCold({});
  });
  const startOf = (
    name: string,
    born: number,
    stated: StatedCold = {kind: 'none'},
  ): DirectReplica => ({
    ...decodeReplica(name, {...RECORD, born}).unsafeCoerce(),
    cold: stated,
  });
  const list = (...replicas: readonly DirectReplica[]) =>
    cold.listed(new Map(replicas.map(it => [it.name, it])), true);
  const write = (replica: DirectReplica) =>
    cold.listed(new Map([[replica.name, replica]]), false);
  const stated = (leftMs: number): StatedCold => ({kind: 'cold', leftMs});

  test('comes from records, of the first listing too', () => {
    list(startOf('a', 1, stated(2_000)), startOf('b', 1, stated(0)));
    expect([cold.limitOf('a@1'), cold.limitOf('b@1')]).toEqual([26, undefined]);
    clock.advance(2_000);
    expect([cold.limitOf('a@1'), cold.count()]).toEqual([undefined, 0]);
  });

  // Guards against an entry that takes all replicas for cold when it starts.
  test('presumes nothing of the first listing', () => {
    list(startOf('a', 1));
    expect(cold.leftMs('a@1')).toBe(0);
  });

  test('presumes that one which appears or restarts is cold', () => {
    list(startOf('a', 1));
    write(startOf('b', 1));
    write(startOf('a', 2));
    expect([cold.leftMs('b@1'), cold.leftMs('a@2')]).toEqual([3_000, 3_000]);
    expect(news).toEqual([
      ['b@1', 'presumed'],
      ['a@2', 'presumed'],
    ]);
  });

  // A replica that is silent for a few seconds loses its record and writes it
  // again. It was limited as if it had just started.
  test('does not presume that one whose record comes back is cold', () => {
    list(startOf('a', 1), startOf('b', 1));
    cold.removed('a@1');
    clock.advance(1_000);
    write(startOf('a', 1));
    list(startOf('a', 1));
    cold.removed('b@1');
    list(startOf('a', 1), startOf('b', 1));
    expect([cold.leftMs('a@1'), cold.leftMs('b@1')]).toEqual([0, 0]);
    expect(news).toEqual([]);
  });

  test('remembers how long one whose record comes back stays cold', () => {
    list();
    write(startOf('a', 1));
    clock.advance(1_000);
    cold.removed('a@1');
    expect(cold.leftMs('a@1')).toBe(0);
    clock.advance(500);
    write(startOf('a', 1));
    expect(cold.leftMs('a@1')).toBe(1_500);
  });

  test('presumes a domain cold together with one whose record comes back', () => {
    list(startOf('a', 1));
    cold.removed('a@1');
    cold.presumeCold('domain-1');
    write(startOf('a', 1));
    expect(cold.leftMs('a@1')).toBe(3_000);
  });

  test('takes the first record of a start before a presumption', () => {
    list();
    write(startOf('b', 1, stated(0)));
    write(startOf('c', 1, stated(500)));
    expect([cold.leftMs('b@1'), cold.leftMs('c@1')]).toEqual([0, 500]);
  });

  test('ends with an answer to a request that was sent later', () => {
    list();
    write(startOf('a', 1));
    const {now} = clock;
    clock.advance(100);
    cold.answered('a@1', now() - 200, stated(0));
    expect(cold.leftMs('a@1')).toBe(2_900);
    cold.answered('a@1', now() - 50, stated(0));
    expect(cold.leftMs('a@1')).toBe(0);
    expect(recorded.eventsOf(DIRECT_EVENTS.replicaWarm)).toHaveLength(1);
  });

  // A record may have been written before the restart or the end of an
  // evacuation, and arrive after it.
  test('does not end with a record that may be older', () => {
    list(startOf('a', 1));
    cold.presumeCold('domain-1');
    clock.advance(1_000);
    write(startOf('a', 1, stated(0)));
    expect(cold.leftMs('a@1')).toBe(2_000);
    clock.advance(1_000);
    write(startOf('a', 1, stated(0)));
    expect(cold.leftMs('a@1')).toBe(0);
  });

  test('presumes a whole failure domain, and no other', () => {
    const other = {...startOf('b', 1), failureDomain: 'domain-2'};
    list(startOf('a', 1), other);
    cold.presumeCold('domain-1');
    expect([cold.leftMs('a@1'), cold.leftMs('b@1')]).toEqual([3_000, 0]);
  });

  test('begins again whenever the replica says so', () => {
    list(startOf('a', 1));
    cold.answered('a@1', clock.now(), stated(700));
    expect([cold.leftMs('a@1'), news]).toEqual([700, [['a@1', 'answer']]]);
  });

  // Guards against a line each second for a record that stays as it is.
  test('counts an unreadable statement, and logs it once', () => {
    list(startOf('a', 1, {kind: 'unreadable', text: 'x'}));
    write(startOf('a', 1, {kind: 'unreadable', text: 'x'}));
    expect(recorded.eventsOf(DIRECT_EVENTS.coldUnreadable)).toHaveLength(1);
    const name = 'onyxloft_direct_cold_unreadable_total';
    expect(recorded.metrics.total(name)).toBe(2);
  });

  // An entry that cannot reach the store knows only the earlier start.
  test('comes from a peer that knows another start of the name', () => {
    list(startOf('a', 1));
    const report = {name: 'a', leftMs: 1_000, ageMs: 50, perSecond: 26};
    cold.merge('a@2', report);
    expect([cold.limitOf('a@1'), cold.limitOf('a@2')]).toEqual([26, 26]);
    expect(cold.leftMs('a@1')).toBe(1_000);
  });

  test('is not what an older report says', () => {
    list();
    write(startOf('a', 1, stated(500)));
    clock.advance(600);
    const report = {name: 'a', leftMs: 2_000, ageMs: 700, perSecond: 26};
    cold.merge('a@1', report);
    expect(cold.leftMs('a@1')).toBe(0);
  });

  test('does not matter without the setting or for another service', () => {
    cold = createCold(undefined);
    list(startOf('a', 1, stated(2_000)));
    expect([cold.limitOf('a@1'), cold.count()]).toEqual([undefined, 0]);
    cold = createCold({});
    const other = {...startOf('a', 1, stated(2_000)), service: 'desk'};
    list(other);
    expect(cold.limitOf('a@1')).toBeUndefined();
  });

  test('is dropped with the start', () => {
    list(startOf('a', 1, stated(2_000)));
    cold.forget('a@1');
    expect(cold.leftMs('a@1')).toBe(0);
  });
});

describe('a report of coldness', () => {
  const report = {
    replicaId: 'a@2',
    perSecond: undefined,
    ageMs: 1e9,
    cold: {name: 'a', leftMs: 900, ageMs: 10, perSecond: 26},
  };

  test('is in the datagrams that entries of the previous version read', () => {
    const bytes = encodeDatagram({kind: 'limits', reports: [report]});
    expect(decodeDatagram(bytes).extract()).toEqual({
      kind: 'limits',
      reports: [report],
    });
  });

  // Guards against an entry of the previous version that takes the report for
  // the end of a limit which the replica names.
  test('does not end a limit that the replica names', () => {
    const clock = createVirtualClock();
    clock.advance(1_000);
    const limits = createReplicaLimits({
      clock,
      log: () => undefined,
      isInUse: () => true,
      onChange: () => undefined,
    });
    limits.answered('a@2', 0, {kind: 'limited', perSecond: 3});
    clock.advance(10);
    limits.merge(report);
    expect(limits.limitOf('a@2')).toBe(3);
  });

  test.each([
    {leftMs: -1},
    {ageMs: -1},
    {perSecond: 0},
    {perSecond: 'many'},
    {name: 7},
  ])('with %j is dropped', wrong => {
    const reports = [{...report, cold: {...report.cold, ...wrong}}];
    const bytes = Buffer.from(JSON.stringify({kind: 'limits', reports}));
    expect(decodeDatagram(bytes).isNothing()).toBe(true);
  });
});
