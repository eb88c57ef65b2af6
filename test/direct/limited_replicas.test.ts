/** Replicas that name a request limit, behind several entries. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {announce} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  nameLimit,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';
import {allowedInWindow, mostInLimitWindow} from '../support/request_limits.js';

const REQUESTS_PER_S = 15;
const RUN_MS = 7_000;
/** An entry that had an answer with the limit is bound by it after this. */
const KNOWN_AFTER_MS = 500;

/**
 * Pause between calls that each need an answer. An entry whose event loop is
 * late closes connections unread when they come much faster than before.
 */
const CALL_INTERVAL_MS = 100;

/** Sends requests to the entries in turn for the time; all get status 200. */
async function sendTo(entries: readonly DirectFleet[], forMs: number) {
  const answers: Array<ReturnType<typeof callEntry>> = [];
  const endsAt = performance.now() + forMs;
  while (performance.now() < endsAt) {
    const entry = entries[answers.length % entries.length];
    answers.push(callEntry(entry, '/again/'));
    await sleep(1_000 / REQUESTS_PER_S);
  }
  const statuses = (await Promise.all(answers)).map(({status}) => status);
  expect(new Set(statuses)).toEqual(new Set([200]));
}

/** Arrivals since all entries can know of the limit. */
function boundArrivals({arrivals}: ReplicaStandIn): readonly number[] {
  const [first] = arrivals;
  return arrivals
    .map(({at}) => at)
    .filter(at => at > first.at + KNOWN_AFTER_MS);
}

describe.each([1, 3])('%i entries before a replica with a limit', count => {
  let entries: DirectFleet[];
  beforeEach(async () => {
    entries = [await startDirectFleet({desk: 2})];
    for (let at = 2; at <= count; at++) {
      const [sharedFleet] = entries;
      entries.push(await startDirectFleet({node: `entry-${at}`, sharedFleet}));
    }
  });
  afterEach(async () => {
    for (const entry of entries.reverse()) await entry.close();
  });

  // Guards against entries that each send as they like: a replica in need gets
  // a multiple of the requests that it says it can take.
  test('send it no more than that together', async () => {
    const [limited] = entries[0].desk;
    limited.behave(nameLimit(() => '1', answerWell));
    await sendTo(entries, RUN_MS);
    const most = mostInLimitWindow(boundArrivals(limited));
    expect(most).toBeLessThanOrEqual(allowedInWindow(1));
    expect(most).toBeGreaterThan(0);
  }, 20_000);
});

describe('an entry whose only replica of a service names a limit', () => {
  let fleet: DirectFleet;
  let limit: string | undefined;
  beforeEach(async () => {
    fleet = await startDirectFleet({desk: 1, pool: 1});
    limit = '1';
    fleet.desk[0].behave(nameLimit(() => limit, answerWell));
    fleet.pool[0].behave(nameLimit(() => limit, streamTo(2)));
  });
  afterEach(() => fleet.close());
  const stream = () =>
    callEntry(fleet, '/stream/', {headers: {'X-Token-Usage': '100,10'}});
  const burst = async (path: string) => {
    const calls = Array.from({length: 8}, () => callEntry(fleet, path));
    return (await Promise.all(calls)).map(({status}) => status);
  };

  // Guards against callers that are held until their time is up, or that come
  // back for a place that is not there.
  test.each(['call', 'stream'])(
    'rejects a %s at once, with a time to come back that holds',
    async kind => {
      const call = () =>
        kind === 'stream' ? stream() : callEntry(fleet, '/again/');
      expect((await call()).status).toBe(200);
      const sentAt = performance.now();
      const rejected = await call();
      expect(performance.now() - sentAt).toBeLessThan(500);
      expect(rejected.status).toBe(503);
      const retryAfterMs = Number(rejected.headers['retry-after']) * 1_000;
      expect(retryAfterMs).toBeGreaterThan(0);
      await sleep(retryAfterMs);
      expect((await call()).status).toBe(200);
    },
  );

  test('serves all again once the limit has ended', async () => {
    await callEntry(fleet, '/again/');
    limit = undefined;
    const ended = () => fleet.runtime.eventsOf(DIRECT_EVENTS.limitEnded);
    await until(async () => {
      await callEntry(fleet, '/again/');
      return ended().length > 0;
    });
    expect(new Set(await burst('/again/'))).toEqual(new Set([200]));
  });

  // Guards against the limit of a process that is gone.
  test('serves all again once the replica has restarted', async () => {
    await callEntry(fleet, '/again/');
    limit = undefined;
    announce(fleet.store, fleet.desk[0], 'desk', 'ready', 2);
    const restarts = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.replicaRestarted);
    await until(() => restarts().length > 0);
    expect(new Set(await burst('/again/'))).toEqual(new Set([200]));
  });

  // A request that finds out whether the limit still holds may be refused.
  test('risks no call that may run once at a limit of 0', async () => {
    limit = '0';
    await callEntry(fleet, '/again/');
    const before = fleet.desk[0].arrivals.length;
    expect(new Set(await burst('/once/'))).toEqual(new Set([503]));
    expect(fleet.desk[0].arrivals).toHaveLength(before);
  });

  test('finds out that a limit of 0 has ended', async () => {
    limit = '0';
    await callEntry(fleet, '/again/');
    limit = undefined;
    const ended = () => fleet.runtime.eventsOf(DIRECT_EVENTS.limitEnded);
    await until(async () => {
      await sleep(CALL_INTERVAL_MS);
      await callEntry(fleet, '/again/');
      return ended().length > 0;
    }, 12_000);
  });
});

describe('an entry that never called the replica', () => {
  test('hears of its limit from a peer', async () => {
    const first = await startDirectFleet({desk: 1});
    const second = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: first,
    });
    first.desk[0].behave(nameLimit(() => '2.5', answerWell));
    await callEntry(first, '/again/');
    const learned = () => second.runtime.eventsOf(DIRECT_EVENTS.limitLearned);
    await until(() => learned().length > 0);
    expect(learned()[0].fields).toMatchObject({perSecond: 2.5, source: 'peer'});
    await second.close();
    await first.close();
  });
});

describe('engines that name a limit', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet({pool: 3});
  });
  afterEach(() => fleet.close());
  /** Statuses of streams that follow each other closely. */
  const sendStreams = async (count: number) => {
    const headers = {'X-Token-Usage': '100,10'};
    const statuses: number[] = [];
    for (let sent = 0; sent < count; sent++) {
      statuses.push((await callEntry(fleet, '/stream/', {headers})).status);
      await sleep(80);
    }
    return new Set(statuses);
  };

  // Guards against a replica in need that is chosen because it looks idle.
  test('are passed over while others take the streams', async () => {
    const [limited, ...others] = fleet.pool;
    limited.behave(nameLimit(() => '1', streamTo(2)));
    for (const other of others) other.behave(streamTo(2));
    expect(await sendStreams(60)).toEqual(new Set([200]));
    const most = mostInLimitWindow(boundArrivals(limited));
    expect(most).toBeLessThanOrEqual(allowedInWindow(1));
    const passedOver = fleet.runtime
      .eventsOf(DIRECT_EVENTS.dispatched)
      .filter(({fields}) => fields['passedOver'] !== undefined);
    expect(passedOver.length).toBeGreaterThan(0);
  });

  // Guards against a limit that is kept by not using the replica at all.
  test('get what they allow when all of them name one', async () => {
    for (const replica of fleet.pool) {
      replica.behave(nameLimit(() => '1', streamTo(2)));
    }
    expect(await sendStreams(75)).toEqual(new Set([200, 503]));
    for (const {arrivals} of fleet.pool) {
      expect(arrivals.length).toBeGreaterThanOrEqual(3);
      const times = arrivals.map(({at}) => at);
      expect(mostInLimitWindow(times)).toBeLessThanOrEqual(allowedInWindow(1));
    }
  });
});
