/** Replicas that start again under their name, as callers see it. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createReplicaTable} from '../../src/direct/replica_table.js';
import type {DirectReplica} from '../../src/direct/types.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {announce} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  signed,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {
  Behaviour,
  ReplicaStandIn,
} from '../../standins/users_platform/replica.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

let fleet: DirectFleet;

function announceStart(replica: ReplicaStandIn, born: number): void {
  const service = fleet.pool.includes(replica) ? 'pool' : 'desk';
  announce(fleet.store, replica, service, 'ready', born);
}

/** Replicas whose later start the entry has noticed. */
function startsKnown(): number {
  return fleet.runtime.eventsOf(DIRECT_EVENTS.replicaRestarted).length;
}

function restart(replica: ReplicaStandIn): void {
  replica.behave(streamTo(3));
  announceStart(replica, 2_000);
}

/** One event, and then nothing more on an open connection. */
const fallSilent: Behaviour = (arrival, res) => {
  res.writeHead(200, {...signed(arrival), 'Content-Type': 'text/event-stream'});
  res.write('id: 1\ndata: piece 1\n\n');
};
const ran = (replicas: readonly ReplicaStandIn[]) =>
  replicas.filter(it => it.arrivals.length > 0);

describe('a replica that starts again under its name', () => {
  beforeEach(async () => {
    fleet = await startDirectFleet({pool: 3});
    for (const replica of [...fleet.pool, ...fleet.desk]) {
      announceStart(replica, 1_000);
    }
    await until(() => startsKnown() === 5);
  });
  afterEach(() => fleet.close());

  // It wrote one event, then its process was replaced. Nothing resets the
  // connection, and the route allows pauses of 0.6 s, so that silence alone
  // would show after 1.5 s. The record's later start tells at once.
  test('leaves a stream to another replica', async () => {
    fleet.pool.forEach(it => it.behave(fallSilent));
    const running = callEntry(fleet, '/long/a');
    await until(() => ran(fleet.pool).length === 1);
    const [first] = ran(fleet.pool);
    for (const other of fleet.pool) other.behave(streamTo(3));
    const restartedAt = Date.now();
    restart(first);
    const answer = await running;
    expect(answer).toMatchObject({status: 200, whole: true});
    expect(answer.body.match(/id: \d/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
    expect(Date.now() - restartedAt).toBeLessThan(1_000);
  });

  // The call was sent once and may have run. The caller is told so now, and
  // not when its time is up; no replica gets the call a second time.
  test('ends a call that may not be repeated as unknown', async () => {
    fleet.desk.forEach(it => it.behave(() => undefined));
    const running = callEntry(fleet, '/once/a');
    await until(() => ran(fleet.desk).length === 1);
    const startedAt = Date.now();
    restart(ran(fleet.desk)[0]);
    expect((await running).status).toBe(502);
    expect(Date.now() - startedAt).toBeLessThan(600);
    expect(fleet.desk.flatMap(it => it.arrivals).length).toBe(1);
  });

  test('leaves a call that may be repeated to another one', async () => {
    fleet.desk.forEach(it => it.behave(() => undefined));
    const running = callEntry(fleet, '/again/a');
    await until(() => ran(fleet.desk).length === 1);
    for (const replica of fleet.desk) replica.behave(answerWell);
    restart(ran(fleet.desk)[0]);
    expect((await running).status).toBe(200);
  });

  // A helper's memory is gone with its process: the prompt would be waited for
  // until the engine that leads gives it up.
  test('ends a group of which it held a part', async () => {
    fleet.pool.forEach(it => it.behave(fallSilent));
    const headers = {'X-Token-Usage': '18000,100', 'X-Deadline-Ms': '9000'};
    const running = callEntry(fleet, '/long/a', {headers});
    await until(() => ran(fleet.pool).length === 1);
    const [lead] = ran(fleet.pool);
    const helper = fleet.pool.find(it => it !== lead && it.held.size > 0);
    for (const replica of fleet.pool) replica.behave(streamTo(3));
    const restartedAt = Date.now();
    restart(helper as ReplicaStandIn);
    expect(await running).toMatchObject({status: 200, whole: true});
    expect(Date.now() - restartedAt).toBeLessThan(1_000);
  });
});

describe('records of one name', () => {
  const start = (startedAt: number | undefined): DirectReplica => ({
    id: startedAt === undefined ? 'a' : `a@${startedAt}`,
    name: 'a',
    startedAt,
    service: 's',
    address: '127.0.0.1:1',
    failureDomain: 'd',
    places: 1,
    leaving: false,
  });
  function setUp() {
    const clock = createVirtualClock();
    const restarted: string[] = [];
    const one = createReplicaTable({
      clock,
      onRemoved: () => undefined,
      onRestarted: ({id}, now) => restarted.push(`${id} to ${now.id}`),
    });
    const put = (startedAt: number | undefined) =>
      one.applyChanges(new Map([['a', start(startedAt)]]));
    const serving = () => one.availableFor('s').map(({id}) => id);
    return {clock, fleet: one, put, serving, restarted};
  }

  test('that tell the same start change nothing', () => {
    const {put, restarted} = setUp();
    put(5);
    put(5);
    expect(restarted).toEqual([]);
  });

  test('that tell a later start end what the earlier one had', () => {
    const {put, serving, restarted} = setUp();
    put(5);
    put(6);
    expect(serving()).toEqual(['a@6']);
    expect(restarted).toEqual(['a@5 to a@6']);
  });

  test('that come back after a removal end it too', () => {
    const {fleet: one, put, restarted} = setUp();
    put(5);
    one.applyChanges(new Map([['a', undefined]]));
    put(6);
    expect(restarted).toEqual(['a@5 to a@6']);
  });

  // The last write of a process that was replaced is carried out late. The
  // living one writes over it within a second or two; its streams go on.
  test('that tell an earlier start are passed over', async () => {
    const {clock, put, serving, restarted} = setUp();
    put(6);
    put(5);
    await clock.advance(2_000);
    expect(serving()).toEqual(['a@6']);
    put(6);
    await clock.advance(10_000);
    expect(serving()).toEqual(['a@6']);
    expect(restarted).toEqual([]);
  });

  // A host whose time of day ran far ahead is set right, and its replica starts
  // again. Passed over for good, it would get no work until that time comes.
  test('that tell an earlier start for long are the truth', async () => {
    const {clock, put, serving, restarted} = setUp();
    put(9e15);
    put(5);
    await clock.advance(3_000);
    expect(serving()).toEqual(['a@5']);
    expect(restarted).toEqual(['a@9000000000000000 to a@5']);
  });

  test('that tell no start at all count as the earliest', async () => {
    const {clock, put, serving} = setUp();
    put(5);
    put(undefined);
    expect(serving()).toEqual(['a@5']);
    await clock.advance(3_000);
    expect(serving()).toEqual(['a']);
  });
});
