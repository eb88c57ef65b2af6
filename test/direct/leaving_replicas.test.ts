/** Replicas that state in their answers that they are shutting down. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {announce} from '../../standins/users_platform/deployment.js';
import {
  breakOff,
  refuse,
  signed,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {CallerAnswer, DirectFleet} from '../support/direct_fleet.js';

/** Time for which a leaving replica still takes requests, in milliseconds. */
const LEAVING_MS = 2_000;
const LEAVING = {'Server-Leaving': '1'};
const REQUEST_INTERVAL_MS = 40;

/** A caller's answer, and when the request for it was sent. */
interface TimedAnswer {
  readonly sentAt: number;
  readonly answer: CallerAnswer;
}

/** Sends requests for the time, each REQUEST_INTERVAL_MS after the last. */
async function sendFor(
  fleet: DirectFleet,
  path: string,
  forMs: number,
): Promise<readonly TimedAnswer[]> {
  const answers: Array<Promise<TimedAnswer>> = [];
  const endsAt = performance.now() + forMs;
  while (performance.now() < endsAt) {
    const sentAt = performance.now();
    const headers = {'X-Token-Usage': '100,10'};
    const sent = callEntry(fleet, path, {headers});
    answers.push(sent.then(answer => ({sentAt, answer})));
    await sleep(REQUEST_INTERVAL_MS);
  }
  return Promise.all(answers);
}

function statusesOf(answers: readonly TimedAnswer[]): ReadonlySet<number> {
  return new Set(answers.map(({answer}) => answer.status));
}

/** Arrivals later than the time after the replica's first answer. */
function arrivalsAfter(
  {arrivals}: ReplicaStandIn,
  ms: number,
): readonly unknown[] {
  return arrivals.filter(({at}) => at > arrivals[0].at + ms);
}

describe('a replica that says that it is leaving', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet({timing: {leavingMs: LEAVING_MS}});
  });
  afterEach(() => fleet.close());

  // Guards against calls to a replica that is gone any moment, because the
  // store does not tell that it leaves.
  test.each(['silent', 'busy'] as const)(
    'gets no more calls while the store is %s',
    async mode => {
      fleet.store.setMode(mode);
      const [leaving] = fleet.desk;
      leaving.stateInAll(LEAVING);
      const answers = await sendFor(fleet, '/open/', LEAVING_MS + 1_500);
      expect(statusesOf(answers)).toEqual(new Set([200]));
      expect(leaving.arrivals.length).toBeGreaterThan(0);
      expect(arrivalsAfter(leaving, LEAVING_MS)).toHaveLength(0);
    },
  );

  // Guards against streams that the replica's end will break.
  test('gets no more streams while the store says that it is ready', async () => {
    const [leaving] = fleet.pool;
    for (const engine of fleet.pool) engine.behave(streamTo(2));
    leaving.stateInAll(LEAVING);
    const answers = await sendFor(fleet, '/stream/', LEAVING_MS + 1_000);
    expect(statusesOf(answers)).toEqual(new Set([200]));
    expect(leaving.arrivals.length).toBeGreaterThan(0);
    expect(arrivalsAfter(leaving, LEAVING_MS)).toHaveLength(0);
  });

  test('is told to operators once, with the age at each dispatch', async () => {
    fleet.desk[0].stateInAll(LEAVING);
    const said = () => fleet.runtime.eventsOf(DIRECT_EVENTS.replicaLeaving);
    await until(async () => {
      await callEntry(fleet, '/again/');
      return said().length > 0;
    });
    expect(said().map(({fields}) => fields)).toEqual([{replica: 'desk-0'}]);
  });
});

/** Sends calls until the entry knows that the replica leaves. */
async function learnLeaving(fleet: DirectFleet, path = '/open/') {
  const said = () => fleet.runtime.eventsOf(DIRECT_EVENTS.replicaLeaving);
  await until(async () => {
    await callEntry(fleet, path);
    return said().length > 0;
  });
}

/** Calls that reach the replica of `count` more that are sent to the entry. */
async function arrivalsOf(
  fleet: DirectFleet,
  {arrivals}: ReplicaStandIn,
  count: number,
): Promise<number> {
  const before = arrivals.length;
  for (let sent = 0; sent < count; sent++) await callEntry(fleet, '/open/');
  return arrivals.length - before;
}

describe('the statement that a replica is leaving', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet({timing: {leavingMs: LEAVING_MS}});
  });
  afterEach(() => fleet.close());

  const cutBody: Behaviour = (arrival, res, req) => {
    res.writeHead(200, {...signed(arrival), 'Content-Length': '100'});
    res.write('a part');
    setTimeout(() => req.socket.resetAndDestroy(), 20);
  };
  const encodedBody: Behaviour = (arrival, res) => {
    res.writeHead(200, {...signed(arrival), 'Content-Encoding': 'gzip'});
    res.end('not the body');
  };

  // Guards against a statement that is read in whole successes only.
  test.each([
    ['a rejection', refuse],
    ['an answer that is cut', cutBody],
    ['an answer in another encoding', encodedBody],
  ])('counts on %s', async (_name, behaviour) => {
    fleet.desk[0].stateInAll(LEAVING);
    fleet.desk[0].behave(behaviour);
    await learnLeaving(fleet);
    expect(await arrivalsOf(fleet, fleet.desk[0], 20)).toBe(0);
  });

  test('does not count without an answer', async () => {
    fleet.desk[0].stateInAll(LEAVING);
    fleet.desk[0].behave(breakOff);
    for (let sent = 0; sent < 20; sent++) await callEntry(fleet, '/again/');
    const said = fleet.runtime.eventsOf(DIRECT_EVENTS.replicaLeaving);
    expect(said).toHaveLength(0);
  });

  test('counts on the answer to an order for memory', async () => {
    const [, helper] = fleet.pool;
    for (const engine of fleet.pool) {
      engine.behave(streamTo(2));
      engine.stateInAll(LEAVING);
    }
    const headers = {'X-Token-Usage': '15000,10'};
    await callEntry(fleet, '/long/', {headers});
    const said = fleet.runtime.eventsOf(DIRECT_EVENTS.replicaLeaving);
    expect(fleet.pool.flatMap(({orders}) => orders).length).toBeGreaterThan(0);
    expect(said.map(({fields}) => fields['replica'])).toContain(helper.id);
  });

  test('outlasts a record that says that the replica is ready', async () => {
    fleet.desk[0].stateInAll(LEAVING);
    await learnLeaving(fleet);
    fleet.store.remove('servers', 'desk-0');
    announce(fleet.store, fleet.desk[0], 'desk');
    await sleep(1_000);
    expect(await arrivalsOf(fleet, fleet.desk[0], 20)).toBe(0);
  });

  test('outlasts a restore of the store from an older copy', async () => {
    const copy = fleet.store.copy();
    fleet.desk[0].stateInAll(LEAVING);
    await learnLeaving(fleet);
    fleet.store.restore(copy);
    await sleep(1_000);
    expect(await arrivalsOf(fleet, fleet.desk[0], 20)).toBe(0);
  });

  test('outlasts a later answer without it', async () => {
    const [leaving] = fleet.desk;
    leaving.stateInAll(LEAVING);
    await learnLeaving(fleet);
    leaving.stateInAll({});
    expect(await arrivalsOf(fleet, leaving, 20)).toBe(0);
  });

  // Guards against a replica that stays without work after its restart.
  test('ends with the start that stated it', async () => {
    const [leaving] = fleet.desk;
    leaving.stateInAll(LEAVING);
    await learnLeaving(fleet);
    leaving.stateInAll({});
    announce(fleet.store, leaving, 'desk', 'ready', 2);
    const restarts = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.replicaRestarted);
    await until(() => restarts().length > 0);
    expect(await arrivalsOf(fleet, leaving, 20)).toBeGreaterThan(0);
  });

  test('is ignored with a line when it cannot be read', async () => {
    const [odd] = fleet.desk;
    odd.stateInAll({'Server-Leaving': 'soon'});
    const unread = () => fleet.runtime.eventsOf(DIRECT_EVENTS.noticeUnreadable);
    await until(async () => {
      await callEntry(fleet, '/again/');
      return unread().length > 0;
    });
    expect(unread()[0].fields).toMatchObject({notice: 'leaving', text: 'soon'});
    expect(await arrivalsOf(fleet, odd, 20)).toBeGreaterThan(0);
  });

  test('does not end an open stream', async () => {
    const [leaving] = fleet.pool;
    for (const engine of fleet.pool) engine.behave(streamTo(40, 50));
    leaving.stateInAll(LEAVING);
    const headers = {'X-Token-Usage': '100,10'};
    const streams = Array.from({length: 4}, () =>
      callEntry(fleet, '/stream/', {headers}),
    );
    const bodies = (await Promise.all(streams)).map(({body}) => body);
    expect(leaving.arrivals.length).toBeGreaterThan(0);
    for (const body of bodies) expect(body).toContain('piece 40');
  });
});

describe('the last replica of a service that is leaving', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet({
      desk: 1,
      timing: {leavingMs: LEAVING_MS},
    });
  });
  afterEach(() => fleet.close());

  // Guards against callers that are rejected while the replica still serves,
  // and against those that wait for one that is gone.
  test('is used while it serves, then callers are rejected at once', async () => {
    const [leaving] = fleet.desk;
    leaving.stateInAll(LEAVING);
    const first = performance.now();
    const answers = await sendFor(fleet, '/open/', LEAVING_MS + 500);
    const early = answers.filter(
      ({sentAt}) => sentAt < first + LEAVING_MS * 0.5,
    );
    const late = answers.filter(({sentAt}) => sentAt > first + LEAVING_MS);
    expect(statusesOf(early)).toEqual(new Set([200]));
    expect(statusesOf(late)).toEqual(new Set([503]));
    expect(arrivalsAfter(leaving, LEAVING_MS)).toHaveLength(0);
    const retryTimes = late.map(({answer}) =>
      Number(answer.headers['retry-after']),
    );
    expect(Math.min(...retryTimes)).toBeGreaterThan(0);
    expect(new Set(retryTimes).size).toBeGreaterThan(1);
  });

  test('is followed by its successor as soon as that is known', async () => {
    const [leaving] = fleet.desk;
    leaving.stateInAll(LEAVING);
    await learnLeaving(fleet);
    const [successor] = fleet.pool;
    announce(fleet.store, successor, 'desk');
    await until(async () => {
      await callEntry(fleet, '/open/');
      return successor.arrivals.length > 0;
    });
    expect(await arrivalsOf(fleet, leaving, 20)).toBe(0);
  });
});

describe('an entry that starts while the store lacks its last writes', () => {
  let fleets: DirectFleet[] = [];
  afterEach(async () => {
    for (const fleet of fleets.reverse()) await fleet.close();
    fleets = [];
  });

  // Guards against a replica that is used twice as long, since the store first
  // names its earlier start.
  test('counts the time of a leaving replica from its first statement', async () => {
    const timing = {leavingMs: LEAVING_MS};
    const fleet = await startDirectFleet({desk: 1, timing});
    fleets.push(fleet);
    const [leaving] = fleet.desk;
    announce(fleet.store, leaving, 'desk', 'ready', 1);
    const copy = fleet.store.copy();
    announce(fleet.store, leaving, 'desk', 'ready', 2);
    await fleet.entry.kernel.stop();
    fleet.store.restore(copy);
    leaving.stateInAll(LEAVING);
    const starting = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: fleet,
      timing,
    });
    fleets.push(starting);
    const restarts = () =>
      starting.runtime.eventsOf(DIRECT_EVENTS.replicaRestarted);
    const sent = sendFor(starting, '/open/', LEAVING_MS * 1.5);
    await sleep(LEAVING_MS / 2);
    announce(fleet.store, leaving, 'desk', 'ready', 2);
    await until(() => restarts().length > 0);
    await sent;
    expect(leaving.arrivals.length).toBeGreaterThan(0);
    expect(arrivalsAfter(leaving, LEAVING_MS)).toHaveLength(0);
  });
});
