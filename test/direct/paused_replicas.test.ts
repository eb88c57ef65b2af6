/** Replicas that turn requests away and ask the entry for a pause. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  answerWell,
  askForPause,
  refuse,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const PAUSE_MS = 3_000;
const PAUSE_TEXT = '3';
/** Requests that reach the replica this soon after its answer are no fault. */
const UNDER_WAY_MS = 500;
/** Most requests that may reach the replica in the rest of its pause. */
const MOST_IN_PAUSE = 2;
const REQUEST_INTERVAL_MS = 40;

/** Sends requests for the time and returns their statuses. */
async function sendFor(
  fleet: DirectFleet,
  path: string,
  forMs: number,
): Promise<readonly number[]> {
  const answers: Array<ReturnType<typeof callEntry>> = [];
  const endsAt = performance.now() + forMs;
  while (performance.now() < endsAt) {
    const headers = {'X-Token-Usage': '100,10'};
    answers.push(callEntry(fleet, path, {headers}));
    await sleep(REQUEST_INTERVAL_MS);
  }
  return (await Promise.all(answers)).map(({status}) => status);
}

/** Requests that reached the replica in its first pause. */
function arrivalsInPause({arrivals}: ReplicaStandIn): readonly unknown[] {
  const [{at: from}] = arrivals;
  return arrivals.filter(
    ({at}) => at > from + UNDER_WAY_MS && at < from + PAUSE_MS,
  );
}

describe('a replica that asks for a pause', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet();
  });
  afterEach(() => fleet.close());

  // Guards against calls that are turned away one after another, because a
  // replica that turns all away looks idle and fast.
  test.each(['/again/', '/open/'])(
    'gets no more calls to %s in it',
    async path => {
      const [paused, other] = fleet.desk;
      paused.behave(askForPause(PAUSE_TEXT));
      other.behave(answerWell);
      const statuses = await sendFor(fleet, path, PAUSE_MS + 200);
      expect(paused.arrivals.length).toBeGreaterThan(0);
      expect(arrivalsInPause(paused).length).toBeLessThanOrEqual(MOST_IN_PAUSE);
      const turnedAway = statuses.filter(status => status !== 200);
      expect(turnedAway.length).toBeLessThanOrEqual(MOST_IN_PAUSE);
    },
  );

  test('gets no more streams in it', async () => {
    const [paused, other] = fleet.pool;
    paused.behave(askForPause(PAUSE_TEXT));
    other.behave(streamTo(2));
    await sendFor(fleet, '/stream/', PAUSE_MS + 200);
    expect(paused.arrivals.length).toBeGreaterThan(0);
    expect(arrivalsInPause(paused).length).toBeLessThanOrEqual(MOST_IN_PAUSE);
  });
});

describe('an entry whose only replica of a service asks for a pause', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet({desk: 1, pool: 1});
  });
  afterEach(() => fleet.close());
  const pauseFor = (text: string) => {
    const [replica] = fleet.desk;
    replica.behave(askForPause(text));
    return callEntry(fleet, '/again/').then(() => replica);
  };
  const burst = async (path: string, count: number) => {
    const calls = Array.from({length: count}, () => callEntry(fleet, path));
    return Promise.all(calls);
  };

  // Guards against callers that are held until their time is up, or that come
  // back at one moment.
  test('rejects at once, with times to come back that hold', async () => {
    const replica = await pauseFor('1');
    const sentAt = performance.now();
    const rejected = await burst('/again/', 8);
    expect(performance.now() - sentAt).toBeLessThan(500);
    expect(replica.arrivals).toHaveLength(1);
    const times = rejected.map(({headers}) => Number(headers['retry-after']));
    expect(rejected.map(({status}) => status)).toEqual(Array(8).fill(503));
    expect(new Set(times).size).toBeGreaterThan(1);
    replica.behave(answerWell);
    await sleep(Math.max(...times) * 1_000);
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
  });

  test('waits for an end that comes in time', async () => {
    const replica = await pauseFor('0.05');
    replica.behave(answerWell);
    const answers = await burst('/once/', 1);
    expect(answers.map(({status}) => status)).toEqual([200]);
  });

  // Guards against a crowd that is turned away at the end of each pause.
  test('sends one request first when the pause ends', async () => {
    const replica = await pauseFor('0.3');
    await sleep(500);
    replica.behave(refuse);
    await burst('/again/', 10);
    expect(replica.arrivals.length).toBeLessThanOrEqual(2);
  });

  test('serves all again after some answers', async () => {
    const replica = await pauseFor('0.3');
    replica.behave(answerWell);
    const resumed = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.replicaResumed).length > 0;
    await sleep(400);
    await until(async () => {
      await callEntry(fleet, '/again/');
      return resumed();
    });
    const answers = await burst('/again/', 10);
    expect(new Set(answers.map(({status}) => status))).toEqual(new Set([200]));
  });

  // Guards against a replica in need that counts as ill.
  test('does not suspect it', async () => {
    await pauseFor('0.2');
    const line = () => fleet.runtime.eventsOf(DIRECT_EVENTS.replicaPaused);
    expect(line()[0].fields).toMatchObject({replica: 'desk-0', forMs: 200});
    fleet.desk[0].behave(answerWell);
    await sleep(300);
    expect((await callEntry(fleet, '/once/')).status).toBe(200);
  });
});

describe('another entry than the one that was asked for a pause', () => {
  test('goes on with its requests', async () => {
    const first = await startDirectFleet({desk: 1});
    const second = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: first,
    });
    const [replica] = first.desk;
    replica.behave(askForPause(PAUSE_TEXT));
    expect((await callEntry(first, '/again/')).status).toBe(503);
    replica.behave(answerWell);
    expect((await callEntry(second, '/again/')).status).toBe(200);
    expect((await callEntry(first, '/again/')).status).toBe(503);
    await second.close();
    await first.close();
  });
});
