/** Records and datagrams that come from other writers. */
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {decodeReplica, decodeReport} from '../../platform/replica_record.js';
import {createStoreClient} from '../../platform/store_client.js';
import {decodeEvents, decodePage} from '../../platform/stored_objects.js';
import {decodeDatagram, encodeDatagram} from '../../src/direct/datagrams.js';
import type {DirectStore} from '../../src/direct/types.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {startStore} from '../../standins/users_platform/store.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';

const GOOD = {
  service: 'pool',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 4,
  state: 'ready',
};
const RUNS = {numRuns: 300, seed: 1};
/** A good record with one field replaced, or any value at all. */
const foreign = fc.oneof(
  fc.anything(),
  fc
    .tuple(fc.constantFrom(...Object.keys(GOOD), 'born'), fc.anything())
    .map(([field, value]) => ({...GOOD, [field]: value})),
);

describe('a record by another writer', () => {
  test('names a replica only if every field is sound', () => {
    fc.assert(
      fc.property(foreign, spec => {
        decodeReplica('r', spec).ifRight(replica => {
          expect(replica.address).toMatch(/^\d+\.\d+\.\d+\.\d+:\d+$/);
          expect(replica.places).toSatisfy(Number.isInteger);
          expect(replica.places).toBeGreaterThan(0);
          expect(replica.places).toBeLessThanOrEqual(10_000);
          expect(replica.startedAt ?? 0).toSatisfy(Number.isSafeInteger);
        });
      }),
      RUNS,
    );
  });

  test.each([
    ['no address', {address: 'localhost'}],
    ['an address without a port', {address: '10.0.0.1'}],
    ['no places', {slots: 0}],
    ['a billion places', {slots: 1e9}],
    ['places as text', {slots: '4'}],
    ['half a place', {slots: 0.5}],
    ['an unknown state', {state: 'resting'}],
    ['no service', {service: undefined}],
    ['a service of another type', {service: 7}],
    ['a negative start', {born: -1}],
    ['a start that is no whole number', {born: 1.5}],
    ['a start as text', {born: '5'}],
  ])('names none with %s', (_what, field) => {
    expect(decodeReplica('r', {...GOOD, ...field}).isLeft()).toBe(true);
  });

  test('names one that tells no start, or one in the future', () => {
    const far = 9e15;
    const startOf = (spec: unknown) =>
      decodeReplica('r', spec).map(({startedAt}) => startedAt);
    expect(startOf(GOOD).extract()).toBeUndefined();
    expect(startOf({...GOOD, born: far}).extract()).toBe(far);
  });

  test('says nothing of a start that cannot be read in a report', () => {
    expect(decodeReport({born: '5'}).isLeft()).toBe(true);
    expect(decodeReport({born: 5}).extract()).toEqual({startedAt: 5});
  });

  test('tells of the reservations in a report that can be read', () => {
    const tickets = [
      {id: 'a', state: 'held'},
      {id: 'b', state: 'used'},
      {id: 'c', state: 'lent'},
      {state: 'used'},
      'd',
    ];
    const states = (report: unknown) =>
      decodeReport(report).map(({reservations}) => reservations);
    expect(states({tickets}).extract()).toEqual(
      new Map([
        ['a', 'unused'],
        ['b', 'used'],
      ]),
    );
    expect(states({tickets: 'none'}).extract()).toBeUndefined();
    expect(states({}).extract()).toBeUndefined();
  });
});

const object = (name: string, spec: unknown = GOOD) => ({
  metadata: {name, revision: 3},
  spec,
});
const pageOf = (items: readonly unknown[]) => ({
  items,
  hasMore: false,
  currentRev: 9,
});

describe('an answer of the store', () => {
  test('gives the good items among any others', () => {
    fc.assert(
      fc.property(fc.array(fc.jsonValue()), bad => {
        const text = JSON.stringify(pageOf([...bad, object('good')]));
        const names = decodePage(text).map(({objects}) =>
          objects.map(({name}) => name),
        );
        expect(names.orDefault([])).toContain('good');
      }),
      RUNS,
    );
  });

  test('gives the good events among any others', () => {
    fc.assert(
      fc.property(fc.array(fc.jsonValue()), bad => {
        const good = {object: object('good'), removed: false};
        const text = JSON.stringify({events: [...bad, good], currentRev: 9});
        const names = decodeEvents(text).map(({events}) =>
          events.map(({object: {name}}) => name),
        );
        expect(names.orDefault([])).toContain('good');
      }),
      RUNS,
    );
  });

  // One record's bytes are no JSON. The page is read as far as it goes, and
  // what is missing in it is not taken as gone.
  test('gives the others where one item is no JSON', () => {
    const [before, after] = ['a', 'b'].map(name =>
      JSON.stringify(object(name)),
    );
    const bad = '{"metadata":{"name":"x","revision":3},"spec":{"slots":zz}}';
    const text = `{"items":[${before},${bad},${after}],"hasMore":false,"currentRev":9}`;
    const page = decodePage(text).unsafeCoerce();
    expect(page.objects.map(({name}) => name)).toEqual(['a', 'b']);
    expect(page).toMatchObject({isPartial: true, currentRev: 9});
  });

  test('is never read as something else for a spoilt byte', () => {
    const names = ['a', 'b', 'c'];
    const text = JSON.stringify(pageOf(names.map(name => object(name))));
    fc.assert(
      fc.property(
        fc.nat(text.length - 1),
        fc.string({minLength: 1, maxLength: 1}),
        (at, char) => {
          const spoilt = text.slice(0, at) + char + text.slice(at + 1);
          decodePage(spoilt).ifRight(({objects}) => {
            expect(objects.length).toBeLessThanOrEqual(names.length);
          });
        },
      ),
      RUNS,
    );
  });
});

describe('a store with records by other writers', () => {
  let stored: StoreStandIn;
  let store: DirectStore;
  let recorded: RecordingRuntime;
  beforeEach(async () => {
    stored = await startStore();
    recorded = createRecordingRuntime();
    const {log, metrics} = recorded.runtime;
    const clock = createProcessClock();
    store = createStoreClient({address: stored.address, clock, metrics, log});
  });
  afterEach(() => stored.close());
  const told = () => recorded.eventsOf(DIRECT_EVENTS.recordUnreadable).length;

  test('lists the others, and tells of each once a revision', async () => {
    stored.put('servers', 'a', GOOD);
    stored.put('servers', 'bad', {service: 5});
    stored.put('servers', 'c', GOOD);
    for (let times = 0; times < 3; times++) {
      const {items} = (await store.replicas.list()).unsafeCoerce();
      expect([...items.keys()]).toEqual(['a', 'c']);
    }
    expect(told()).toBe(1);
    stored.put('servers', 'bad', 'not even an object');
    await store.replicas.list();
    expect(told()).toBe(2);
  });

  test('watches on after one of them', async () => {
    const {position} = (await store.replicas.list()).unsafeCoerce();
    stored.put('servers', 'bad', null);
    stored.put('servers', 'good', GOOD);
    const changes = (await store.replicas.watch(position, 100)).unsafeCoerce();
    expect(changes.items.get('good')).toMatchObject({name: 'good'});
    expect(changes.items.get('bad')).toBeUndefined();
  });

  test('names no entry without an address', async () => {
    const entry = {node: 'e', incarnation: 'i', ip: '10.0.0.1', port: 7};
    stored.put('onyxloft-entries', 'e', entry);
    stored.put('onyxloft-entries', 'f', {...entry, ip: 'nowhere'});
    stored.put('onyxloft-entries', 'g', {...entry, port: 0});
    stored.put('onyxloft-entries', 'h', [entry]);
    const entries = (await store.listEntries()).unsafeCoerce();
    expect(entries).toEqual([entry]);
  });
});

describe('a datagram by another program', () => {
  const from = {node: 'e', incarnation: 'i', ip: '10.0.0.1', port: 7};
  const load = {
    replicaId: 'r',
    running: 1,
    tokens: 2,
    readMs: 3,
    readers: [{slackMs: -1, marginMs: 2, weight: 3}],
    writers: [{pauseAimMs: Infinity, weight: 4}],
  };
  const sent = encodeDatagram({kind: 'load', from, seq: 1, loads: [load]});

  test('is dropped, whatever its bytes are', () => {
    fc.assert(
      fc.property(fc.uint8Array(), bytes => {
        expect(decodeDatagram(Buffer.from(bytes)).isNothing()).toBe(true);
      }),
      RUNS,
    );
  });

  test('is dropped with any part that is not as it is sent', () => {
    const value = JSON.parse(sent.toString()) as Record<string, unknown>;
    fc.assert(
      fc.property(
        fc.constantFrom('kind', 'from', 'seq', 'loads'),
        fc.jsonValue(),
        (field, other) => {
          const bytes = JSON.stringify({...value, [field]: other});
          decodeDatagram(Buffer.from(bytes)).ifJust(datagram => {
            if (datagram.kind !== 'load') throw new Error(datagram.kind);
            expect(datagram.loads).toSatisfy(Array.isArray);
            expect(datagram.seq).toBeTypeOf('number');
          });
        },
      ),
      RUNS,
    );
    const packed = [['r', 1, 2, 3, [[1, 2, 'x']], []]];
    const bytes = JSON.stringify({...value, loads: packed});
    expect(decodeDatagram(Buffer.from(bytes)).isNothing()).toBe(true);
  });

  test('of an entry arrives as it was', () => {
    expect(decodeDatagram(sent).extract()).toEqual({
      kind: 'load',
      from,
      seq: 1,
      loads: [load],
    });
  });

  // Its age is below zero: evidence from the future would keep a key in force
  // that was taken away.
  test('that tells evidence of the future is dropped', () => {
    const knowledge = {
      era: 1,
      evidenceAgeMs: -5,
      configVersion: 1,
      replicasDigest: '',
    };
    const bytes = encodeDatagram({kind: 'answer', question: 1, knowledge});
    expect(decodeDatagram(bytes).isNothing()).toBe(true);
  });
});
