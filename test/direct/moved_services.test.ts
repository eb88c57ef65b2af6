/** Requests that no replica has begun while their route leads elsewhere. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {
  ENGINE,
  KEY,
  announce,
  configOf,
} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  breakOff,
  refuse,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const REFUSED_AFTER_MS = 300;
/** Prompts of this size fill an engine four at a time. */
const LARGE = {headers: {'X-Token-Usage': '2000,400'}};

let fleet: DirectFleet;
let other: ReplicaStandIn;
beforeEach(async () => {
  fleet = await startDirectFleet({pool: 1, desk: 1});
  other = await startReplica('other-0');
  announce(fleet.store, other, 'other');
  const known = () =>
    fleet.runtime.metrics.value('onyxloft_direct_replicas', {});
  await until(() => known() === 3);
});
afterEach(async () => {
  await fleet.close();
  await other.close();
});

/** All routes lead to the service `other`. */
async function move(
  version = 2,
  engine?: typeof ENGINE,
  change: object = {},
): Promise<void> {
  const config = configOf(version);
  fleet.store.put('config', 'main', {
    ...config,
    routes: config.routes.map(route => ({...route, service: 'other'})),
    services: [...config.services, {name: 'other', engine}],
    ...change,
  });
  const adopted = () => fleet.runtime.eventsOf(DIRECT_EVENTS.configAdopted);
  await until(() => adopted().some(({fields}) => fields.version === version));
}

const refuseLate: Behaviour = (...args) => {
  setTimeout(() => refuse(...args), REFUSED_AFTER_MS);
};

// Guards against requests that are refused for want of room where the newest
// configuration has room for them.
describe('a request that has not run is answered by the new service', () => {
  test('while it waits for room at the old one', async () => {
    const [engine] = fleet.pool;
    engine.behave(streamTo(60, 60));
    other.behave(streamTo(2));
    const full = Array.from({length: 4}, () =>
      callEntry(fleet, '/long/a', LARGE),
    );
    await until(() => engine.arrivals.length === 4);
    const waiting = callEntry(fleet, '/stream/a', LARGE);
    const isWaiting = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.waiting).length > 0;
    await until(isWaiting);
    await move(2, ENGINE);
    expect(await waiting).toMatchObject({status: 200, whole: true});
    expect(other.arrivals).toHaveLength(1);
    await Promise.all(full);
  });

  test.each(['/again/', '/once/'])(
    'when the old one refuses its call to %s',
    async path => {
      const [desk] = fleet.desk;
      desk.behave(refuseLate);
      other.behave(answerWell);
      const answer = callEntry(fleet, path);
      await until(() => desk.arrivals.length === 1);
      await move();
      expect(await answer).toMatchObject({status: 200, whole: true});
      expect(other.arrivals).toHaveLength(1);
    },
  );

  // Guards against a refusal beside a version that comes before the records of
  // the new service's replicas.
  test('but by the old one while the new one has no replica', async () => {
    const [desk] = fleet.desk;
    let calls = 0;
    desk.behave((...args) =>
      (calls++ === 0 ? refuseLate : answerWell)(...args),
    );
    const answer = callEntry(fleet, '/again/');
    await until(() => desk.arrivals.length === 1);
    const routes = configOf(2).routes.map(it => ({...it, service: 'later'}));
    await move(2, undefined, {routes});
    expect(await answer).toMatchObject({status: 200, whole: true});
    expect(desk.arrivals).toHaveLength(2);
  });

  test('when the old one refuses its stream', async () => {
    const [engine] = fleet.pool;
    engine.behave(refuseLate);
    other.behave(streamTo(2));
    const answer = callEntry(fleet, '/stream/a', LARGE);
    await until(() => engine.arrivals.length === 1);
    await move();
    expect(await answer).toMatchObject({status: 200, whole: true});
  });
});

describe('an idempotent call whose service has ended', () => {
  /** Sends it; the only replica of its service ends while it runs the call. */
  const startCall = () => {
    const [desk] = fleet.desk;
    desk.behave(() => {
      setTimeout(() => {
        fleet.store.remove('servers', desk.id);
        desk.crash();
      }, REFUSED_AFTER_MS);
    });
    other.behave(answerWell);
    return callEntry(fleet, '/again/');
  };

  // Guards against a failure that only says that an operator has moved the
  // traffic and stopped the replicas.
  test('is answered by the new service', async () => {
    const answer = startCall();
    await until(() => fleet.desk[0].arrivals.length === 1);
    await move();
    expect(await answer).toMatchObject({status: 200, whole: true});
    expect(other.arrivals).toHaveLength(1);
  });

  // Guards against two runs of one request that name two organisations.
  test('stays where the key belongs to another organisation by then', async () => {
    const answer = startCall();
    await until(() => fleet.desk[0].arrivals.length === 1);
    const tenants = [{name: 'org-2', apiKeys: [KEY]}];
    await move(2, undefined, {tenants});
    expect((await answer).status).toBeGreaterThan(500);
    expect(other.arrivals).toHaveLength(0);
  });
});

// Guards against more runs than the version allows that admitted the request.
test('an idempotent call that has used up its attempts stays with its service', async () => {
  const [desk] = fleet.desk;
  desk.behave((...args) => {
    setTimeout(() => breakOff(...args), REFUSED_AFTER_MS);
  });
  other.behave(answerWell);
  const answer = callEntry(fleet, '/again/');
  await until(() => desk.arrivals.length === 1);
  const routes = configOf(2).routes.map(route => ({
    ...route,
    service: 'other',
    maxAttempts: 4,
  }));
  await move(2, undefined, {routes});
  expect((await answer).status).toBeGreaterThan(500);
  expect(desk.arrivals).toHaveLength(2);
  expect(other.arrivals).toHaveLength(0);
});

describe('a stream waits for room at an engine', () => {
  /** Streams that fill the engine for a while, and one that waits. */
  const startWaiting = async (events = 60) => {
    const [engine] = fleet.pool;
    engine.behave(streamTo(events, 60));
    const full = Array.from({length: 4}, () =>
      callEntry(fleet, '/long/a', LARGE),
    );
    await until(() => engine.arrivals.length === 4);
    const waiting = callEntry(fleet, '/stream/a', LARGE);
    const isWaiting = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.waiting).length > 0;
    await until(isWaiting);
    engine.behave(streamTo(2));
    return {engine, waiting, full: Promise.all(full)};
  };
  const withFigures = (engine: typeof ENGINE, version = 2) =>
    move(version, undefined, {
      ...configOf(version),
      services: [{name: 'pool', engine}, {name: 'desk'}],
    });

  // Guards against a refusal by figures that are not in force any more.
  test('and is placed by a version that states more memory', async () => {
    const {engine, waiting, full} = await startWaiting();
    await withFigures({...ENGINE, kvCapacityTokens: 100_000, slots: 100});
    expect(await waiting).toMatchObject({status: 200, whole: true});
    expect(engine.arrivals).toHaveLength(5);
    await full;
  });

  // Guards against requests that are held for longer with each version.
  test('and waits no longer for a version that changes nothing for it', async () => {
    const {waiting, full} = await startWaiting();
    const since = performance.now();
    await withFigures(ENGINE);
    expect(await waiting).toMatchObject({status: 503});
    expect(performance.now() - since).toBeLessThan(1_800);
    await full;
  });

  // Guards against a refusal by a version that names no service for the route:
  // it would not admit the request, which came before it.
  test('and stays there where its route has no service any more', async () => {
    const {waiting, engine, full} = await startWaiting(10);
    const routes = configOf(2).routes.map(it => ({...it, service: undefined}));
    await move(2, undefined, {routes});
    expect(await waiting).toMatchObject({status: 200, whole: true});
    expect(engine.arrivals).toHaveLength(5);
    await full;
  });

  // Guards against the same where each version states other figures.
  test('and waits no longer for versions that state other figures', async () => {
    const {waiting, full} = await startWaiting();
    const since = performance.now();
    const answeredAt = waiting.then(() => performance.now());
    for (let version = 2; version < 14; version++) {
      const read_per_s = ENGINE.read_per_s + version;
      await withFigures({...ENGINE, read_per_s}, version);
      await sleep(100);
    }
    expect(await waiting).toMatchObject({status: 503});
    expect((await answeredAt) - since).toBeLessThan(1_800);
    await full;
  });
});

// Guards against a second run at a service that was not asked for, and against
// a denial of what was allowed when it was sent.
describe('a request stays with its service', () => {
  test('once a replica may have run it', async () => {
    const [desk] = fleet.desk;
    desk.behave((...args) => {
      setTimeout(() => breakOff(...args), REFUSED_AFTER_MS);
    });
    const answer = callEntry(fleet, '/once/');
    await until(() => desk.arrivals.length === 1);
    await move();
    expect(await answer).toMatchObject({status: 502});
    expect([desk.arrivals.length, other.arrivals.length]).toEqual([1, 0]);
  });

  test('once it has sent events of its stream', async () => {
    const [engine] = fleet.pool;
    engine.behave((arrival, res, req) => {
      streamTo(60, 60)(arrival, res, req);
      setTimeout(() => breakOff(arrival, res, req), REFUSED_AFTER_MS);
    });
    const answer = callEntry(fleet, '/stream/a', LARGE);
    await until(() => engine.arrivals.length === 1);
    await move(2, ENGINE);
    expect(await answer).toMatchObject({status: 200, whole: false});
    expect(other.arrivals).toHaveLength(0);
  });

  test.each([
    ['no route leads anywhere', {routes: []}],
    ['its key is removed', {tenants: [{name: 'org-1', apiKeys: ['another']}]}],
  ])('where %s, and is refused as not run', async (_, change) => {
    const [desk] = fleet.desk;
    desk.behave(refuseLate);
    const answer = callEntry(fleet, '/once/');
    await until(() => desk.arrivals.length === 1);
    await move(2, undefined, change);
    expect(await answer).toMatchObject({status: 503});
    expect(other.arrivals).toHaveLength(0);
  });

  test('where a part of its route still leads there', async () => {
    const [desk] = fleet.desk;
    desk.behave(refuseLate);
    const answer = callEntry(fleet, '/once/');
    await until(() => desk.arrivals.length === 1);
    const split = [
      {service: 'other', weight: 99},
      {service: 'desk', weight: 1},
    ];
    const routes = configOf(2).routes.map(route => ({
      ...route,
      service: undefined,
      trafficSplit: split,
    }));
    await move(2, undefined, {routes});
    expect(await answer).toMatchObject({status: 503});
    expect(other.arrivals).toHaveLength(0);
  });
});
