/** Requests that are under way while the configuration changes. */
import {afterEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {
  ENGINE,
  KEY,
  configOf,
} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  breakOff,
  eventText,
  signed,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {CallerAnswer, DirectFleet} from '../support/direct_fleet.js';

type Config = ReturnType<typeof configOf>;
type RouteDocument = Omit<Config['routes'][number], 'name'> & {
  readonly name: string;
};
/** A version in which one thing is different. */
type Change = (before: Config) => unknown;

const EVENTS = 6;
const WHOLE = Array.from({length: EVENTS}, (_, at) => eventText(at + 1)).join(
  '',
);
/** Of each stream, long enough for a version to come in between. */
const PAUSE_MS = 60;
const ANSWER_MS = 400;
const STREAM = {headers: {'X-Token-Usage': '100,10'}};

let fleet: DirectFleet;
let added: ReplicaStandIn[] = [];
afterEach(async () => {
  await fleet.close();
  await Promise.all(added.map(replica => replica.close()));
  added = [];
});

/** Changes the routes; `undefined` drops one. */
const routes =
  (change: (route: RouteDocument) => object | undefined): Change =>
  before => ({
    ...before,
    routes: before.routes.map(change).filter(changed => changed !== undefined),
  });
const set =
  (fields: object): Change =>
  before =>
    routes(route => ({...route, ...fields}))(before);

const CHANGES: ReadonlyArray<readonly [string, Change]> = [
  ['its route leads to another service', set({service: 'other'})],
  [
    'its route is split',
    set({
      service: undefined,
      trafficSplit: [
        {service: 'pool', weight: 1},
        {service: 'desk', weight: 1},
      ],
    }),
  ],
  ['its route is dropped', before => ({...before, routes: []})],
  ['its service is removed', before => ({...before, routes: [], services: []})],
  [
    'its service has other figures',
    before => ({
      ...before,
      services: [
        {name: 'pool', engine: {...ENGINE, slots: 1, kvCapacityTokens: 50}},
        {name: 'desk'},
      ],
    }),
  ],
  [
    'its key is removed',
    before => ({
      ...before,
      tenants: [{name: 'org-1', apiKeys: ['another']}],
    }),
  ],
  [
    'its key belongs to another organisation',
    before => ({
      ...before,
      tenants: [{name: 'org-2', apiKeys: [KEY]}],
    }),
  ],
  ['its route allows less time', set({timeoutMs: 100})],
  ['its route allows more time', set({timeoutMs: 20_000})],
  ['its route allows one attempt', set({maxAttempts: 1})],
  ['its route allows shorter pauses', set({gapAimMs: 5, sloMs: 5})],
  ['its route allows longer pauses', set({gapAimMs: 60_000, sloMs: 60_000})],
];

/** Puts the version and waits until the entry has adopted it. */
async function adopt(version: number, change: Change): Promise<void> {
  fleet.store.put('config', 'main', change(configOf(version)));
  const versions = () =>
    fleet.runtime
      .eventsOf(DIRECT_EVENTS.configAdopted)
      .map(({fields}) => fields.version);
  await until(() => versions().includes(version));
}

const stream = () => callEntry(fleet, '/stream/a', STREAM);
const call = () => callEntry(fleet, '/again/a');
const all = () => [...fleet.pool, ...fleet.desk];
const arrivals = () => all().flatMap(replica => replica.arrivals);
const arrived = (count = 1) => until(() => arrivals().length === count);

function expectWhole(answer: CallerAnswer): void {
  expect(answer).toMatchObject({status: 200, body: WHOLE, whole: true});
}

const slowly: Behaviour = (...args) => {
  setTimeout(() => answerWell(...args), ANSWER_MS);
};

const breakOffLate: Behaviour = (...args) => {
  setTimeout(() => breakOff(...args), ANSWER_MS);
};

/** The replica that gets the first request behaves in one way, others well. */
function firstBehaves(
  replicas: readonly ReplicaStandIn[],
  first: Behaviour,
  others: Behaviour,
): void {
  let chosen: ReplicaStandIn | undefined;
  for (const replica of replicas) {
    replica.behave((...args) => {
      chosen ??= replica;
      (chosen === replica ? first : others)(...args);
    });
  }
}

/** Sends some events, and then never anything. */
const hangAfter =
  (count: number): Behaviour =>
  (arrival, res) => {
    res.writeHead(200, {
      ...signed(arrival),
      'Content-Type': 'text/event-stream',
    });
    for (let id = 1; id <= count; id++) res.write(eventText(id));
  };

// Guards against an answer that is ended by a version which came after it.
describe.each(CHANGES)('requests are under way when %s', (_, change) => {
  test('and they are answered, each after one run', async () => {
    fleet = await startDirectFleet();
    fleet.pool.forEach(replica => replica.behave(streamTo(EVENTS, PAUSE_MS)));
    fleet.desk.forEach(replica => replica.behave(slowly));
    const answers = Promise.all([stream(), call()]);
    await arrived(2);
    await adopt(2, change);
    const [streamed, called] = await answers;
    expectWhole(streamed);
    expect(called).toMatchObject({status: 200, whole: true});
    expect(arrivals()).toHaveLength(2);
  });

  test('and second replicas answer them as they came', async () => {
    fleet = await startDirectFleet();
    firstBehaves(fleet.pool, hangAfter(2), streamTo(EVENTS));
    firstBehaves(fleet.desk, breakOffLate, answerWell);
    const answers = Promise.all([stream(), call()]);
    await arrived(2);
    await adopt(2, change);
    const [streamed, called] = await answers;
    expectWhole(streamed);
    expect(called).toMatchObject({status: 200, whole: true});
    expect(arrivals()).toHaveLength(4);
    const organisations = arrivals().map(({headers}) => headers['x-tenant']);
    expect(new Set(organisations)).toEqual(new Set(['org-1']));
  });
});

// Guards against a second run of a request that was sent as one to run once.
test('a call that may run once does so, also when its route is made safe', async () => {
  fleet = await startDirectFleet();
  firstBehaves(fleet.desk, breakOffLate, answerWell);
  const answer = callEntry(fleet, '/once/a');
  await arrived();
  await adopt(2, set({kind: 'safe', maxAttempts: 3}));
  expect(await answer).toMatchObject({status: 502});
  expect(arrivals()).toHaveLength(1);
});

describe('the time of a route changes beside a call', () => {
  const hang = () => fleet.desk.forEach(it => it.behave(() => undefined));
  const endedAfterMs = async (timeoutMs: number, deadlineMs: number) => {
    fleet = await startDirectFleet();
    hang();
    const sentAt = performance.now();
    const answer = callEntry(fleet, '/again/a', {
      headers: {'X-Deadline-Ms': String(deadlineMs)},
    });
    await arrived();
    await adopt(2, set({timeoutMs}));
    expect(await answer).toMatchObject({status: 504});
    return performance.now() - sentAt;
  };

  // The replica was told the earlier time, and stops at it.
  test.each([
    ['rises', 5_000],
    ['falls', 50],
  ])('%s, and it ends after the time that it came with', async (_, ms) => {
    const took = await endedAfterMs(ms, 10_000);
    expect(took).toBeGreaterThan(780);
    expect(took).toBeLessThan(1_500);
  });

  test('rises, and its caller is answered when its own time is up', async () => {
    const took = await endedAfterMs(5_000, 600);
    expect(took).toBeLessThan(1_200);
  });
});

// Guards against a version that is missed, or one that comes late and counts.
test('a route that is dropped and back serves again, and streams go on beside it', async () => {
  fleet = await startDirectFleet();
  fleet.pool.forEach(replica => replica.behave(streamTo(EVENTS, 200)));
  const answer = stream();
  await arrived();
  await adopt(2, before => ({...before, routes: []}));
  expect((await stream()).status).toBe(404);
  await adopt(3, before => before);
  fleet.pool.forEach(replica => replica.behave(streamTo(EVENTS)));
  expectWhole(await stream());
  expectWhole(await answer);
});
