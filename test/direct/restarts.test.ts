/** Replicas that restart under their name. */
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

/** Number of restarts that the entry has noticed. */
function countRestarts(): number {
  return fleet.runtime.eventsOf(DIRECT_EVENTS.replicaRestarted).length;
}

function restart(replica: ReplicaStandIn): void {
  replica.behave(streamTo(3));
  announceStart(replica, 2_000);
}

/** Sends one event and then nothing more on the open connection. */
const stall: Behaviour = (arrival, res) => {
  res.writeHead(200, {...signed(arrival), 'Content-Type': 'text/event-stream'});
  res.write('id: 1\ndata: piece 1\n\n');
};
const replicasWithRuns = (replicas: readonly ReplicaStandIn[]) =>
  replicas.filter(it => it.arrivals.length > 0);

describe('a replica that restarts under its name', () => {
  beforeEach(async () => {
    fleet = await startDirectFleet({pool: 3});
    for (const replica of [...fleet.pool, ...fleet.desk]) {
      announceStart(replica, 1_000);
    }
    await until(() => countRestarts() === 5);
  });
  afterEach(() => fleet.close());

  // Nothing resets the connection. Silence alone would be noticed after 1.5 s,
  // since the route allows pauses of 0.6 s; the new record shows it at once.
  test('loses its stream to another replica', async () => {
    fleet.pool.forEach(it => it.behave(stall));
    const running = callEntry(fleet, '/long/a');
    await until(() => replicasWithRuns(fleet.pool).length === 1);
    const [first] = replicasWithRuns(fleet.pool);
    for (const other of fleet.pool) other.behave(streamTo(3));
    const restartedAt = Date.now();
    restart(first);
    const answer = await running;
    expect(answer).toMatchObject({status: 200, whole: true});
    expect(answer.body.match(/id: \d/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
    expect(Date.now() - restartedAt).toBeLessThan(1_000);
  });

  // The call may have run. Its caller gets 502 at once instead of at the time
  // limit, and no replica gets the call a second time.
  test('ends a call that may run only once with an unknown outcome', async () => {
    fleet.desk.forEach(it => it.behave(() => undefined));
    const running = callEntry(fleet, '/once/a');
    await until(() => replicasWithRuns(fleet.desk).length === 1);
    const startedAt = Date.now();
    restart(replicasWithRuns(fleet.desk)[0]);
    expect((await running).status).toBe(502);
    expect(Date.now() - startedAt).toBeLessThan(600);
    expect(fleet.desk.flatMap(it => it.arrivals).length).toBe(1);
  });

  test('loses its idempotent call to another replica', async () => {
    fleet.desk.forEach(it => it.behave(() => undefined));
    const running = callEntry(fleet, '/again/a');
    await until(() => replicasWithRuns(fleet.desk).length === 1);
    for (const replica of fleet.desk) replica.behave(answerWell);
    restart(replicasWithRuns(fleet.desk)[0]);
    expect((await running).status).toBe(200);
  });

  // The helper's memory is lost. Without the notice, the entry would wait until
  // the lead engine gives up.
  test('ends the group that it was a member of', async () => {
    fleet.pool.forEach(it => it.behave(stall));
    const headers = {'X-Token-Usage': '18000,100', 'X-Deadline-Ms': '9000'};
    const running = callEntry(fleet, '/long/a', {headers});
    await until(() => replicasWithRuns(fleet.pool).length === 1);
    const [lead] = replicasWithRuns(fleet.pool);
    const helper = fleet.pool.find(it => it !== lead && it.held.size > 0);
    for (const replica of fleet.pool) replica.behave(streamTo(3));
    const restartedAt = Date.now();
    restart(helper as ReplicaStandIn);
    expect(await running).toMatchObject({status: 200, whole: true});
    expect(Date.now() - restartedAt).toBeLessThan(1_000);
  });
});

/** Interval at which a replica writes its record. */
const HEARTBEAT_MS = 1_200;
/** Longest pause of a process that then goes on. */
const PAUSED_MS = 2_500;
/** Time after which a record with an earlier start time counts. */
const ACCEPTED_MS = 4_500;

describe('records of replicas with one name', () => {
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
    const maybeSame: string[] = [];
    const table = createReplicaTable({
      clock,
      onRemoved: () => undefined,
      onRestarted: ({id}, now, mayBeSame) => {
        restarted.push(`${id} to ${now.id}`);
        if (mayBeSame) maybeSame.push(now.id);
      },
    });
    const put = (startedAt: number | undefined) =>
      table.applyChanges(new Map([['a', start(startedAt)]]));
    const available = () => table.availableFor('s').map(({id}) => id);
    return {clock, table, put, available, restarted, maybeSame};
  }

  test('with the same start time change nothing', () => {
    const {put, restarted} = setUp();
    put(5);
    put(5);
    expect(restarted).toEqual([]);
  });

  test('with a later start time replace the earlier replica', () => {
    const {put, available, restarted} = setUp();
    put(5);
    put(6);
    expect(available()).toEqual(['a@6']);
    expect(restarted).toEqual(['a@5 to a@6']);
  });

  test('with a later start time replace a removed replica too', () => {
    const {table, put, restarted} = setUp();
    put(5);
    table.applyChanges(new Map([['a', undefined]]));
    put(6);
    expect(restarted).toEqual(['a@5 to a@6']);
  });

  // Guards against a record of a restored copy that hides the running start.
  test('from a copy of the store may be of an earlier start than the running one', () => {
    const {clock, table, put, maybeSame} = setUp();
    put(4);
    put(5);
    table.startedUnsettled();
    clock.advance(1_000);
    put(6);
    clock.advance(10_000);
    put(7);
    expect(maybeSame).toEqual(['a@6']);
  });

  // A late write of a replaced process is overwritten by the live process
  // within a second or two; the streams of the live process continue.
  test('with an earlier start time are ignored at first', async () => {
    const {clock, put, available, restarted} = setUp();
    put(6);
    put(5);
    await clock.advance(2_000);
    expect(available()).toEqual(['a@6']);
    put(6);
    await clock.advance(10_000);
    expect(available()).toEqual(['a@6']);
    expect(restarted).toEqual([]);
  });

  // The live process is paused for 2.5 s when a late write of its predecessor
  // lands; its streams were ended as those of a replaced process.
  test('with an earlier start time are ignored while the live process is paused', () => {
    const {clock, put, available, restarted} = setUp();
    put(6);
    put(5);
    clock.advance(HEARTBEAT_MS + PAUSED_MS);
    expect(available()).toEqual(['a@6']);
    put(6);
    clock.advance(10_000);
    expect(available()).toEqual(['a@6']);
    expect(restarted).toEqual([]);
  });

  // The clock of the host was far ahead and was corrected. If its record were
  // ignored for good, the replica would get no work until that time.
  test('with an earlier start time are accepted when they persist', async () => {
    const {clock, put, available, restarted} = setUp();
    put(9e15);
    put(5);
    await clock.advance(ACCEPTED_MS - 1);
    expect(available()).toEqual(['a@9000000000000000']);
    await clock.advance(1);
    expect(available()).toEqual(['a@5']);
    expect(restarted).toEqual(['a@9000000000000000 to a@5']);
  });

  test('without a start time count as the earliest', async () => {
    const {clock, put, available} = setUp();
    put(5);
    put(undefined);
    expect(available()).toEqual(['a@5']);
    await clock.advance(ACCEPTED_MS);
    expect(available()).toEqual(['a']);
  });
});
