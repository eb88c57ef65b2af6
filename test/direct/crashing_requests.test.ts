/** Requests that crash every replica on which they start. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {HOST} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  breakOff,
  crashUnder,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const POISON = 'a prompt that crashes';
const HEADERS = {'X-Token-Usage': '1000,100'};
const REPLICAS = 10;
/** All entries must refuse a request after it has ended this many replicas. */
const ENDED_REPLICAS = 3;
/** Time within which they must refuse it; from the users' bounds. */
const KNOWN_MS = 3_000;
/** Number of times that the request may still be sent after that time. */
const MAX_LATER_RUNS = 3;
const REPEATS = 8;
/** A quarantined request gets a trial within this time. */
const TRIAL_MS = 2_500;
/** Enough engines for one large prompt, and for those that it may end. */
const GROUP_REPLICAS = 14;
const CRASH_AFTER_MS = 60;
const LEAVE_AFTER_MS = 20;
/** A dead replica's record is removed from the store after this time. */
const RECORD_EXPIRY_MS = 200;

let open: DirectFleet[] = [];
afterEach(async () => {
  for (const fleet of open.reverse()) await fleet.close();
  open = [];
});

async function start(
  options: Parameters<typeof startDirectFleet>[0],
): Promise<DirectFleet> {
  const fleet = await startDirectFleet(options);
  open.push(fleet);
  return fleet;
}

async function startCrashingFleet(): Promise<DirectFleet> {
  const fleet = await start({pool: REPLICAS, desk: REPLICAS});
  for (const replica of fleet.pool) crashUnder(replica, POISON, streamTo(3));
  for (const replica of fleet.desk) crashUnder(replica, POISON, answerWell);
  return fleet;
}

const sendPoison = (entry: DirectFleet, path: string) =>
  callEntry(entry, path, {headers: HEADERS, body: POISON}).catch(err => err);
const countRuns = (replicas: readonly ReplicaStandIn[]) =>
  replicas.flatMap(it => it.arrivals).filter(({body}) => body.includes(POISON))
    .length;

/** Sends the request to the entries in turn until it ended three replicas. */
async function endReplicas(
  entries: readonly DirectFleet[],
  path: string,
  replicas: readonly ReplicaStandIn[],
): Promise<void> {
  for (let at = 0; countRuns(replicas) < ENDED_REPLICAS; at++) {
    await sendPoison(entries[at % entries.length], path);
  }
}

/** Counts its runs when it is repeated after all entries must refuse it. */
async function countLaterRuns(
  entries: readonly DirectFleet[],
  path: string,
  replicas: readonly ReplicaStandIn[],
): Promise<number> {
  await endReplicas(entries, path, replicas);
  await sleep(KNOWN_MS);
  const before = countRuns(replicas);
  for (let at = 0; at < REPEATS; at++) {
    await sendPoison(entries[at % entries.length], path);
  }
  return countRuns(replicas) - before;
}

describe('a request that crashes no replica', () => {
  // Connections break and callers get 502, but no replica has ended.
  test('is served after its connections broke at many replicas', async () => {
    const entry = await start({desk: REPLICAS});
    for (const it of entry.desk) it.behave(breakOff);
    for (let at = 0; at < REPEATS; at++) await callEntry(entry, '/again/a');
    for (const it of entry.desk) it.behave(answerWell);
    expect((await callEntry(entry, '/again/a')).status).toBe(200);
  });

  test('is served where requests with other bodies crash replicas', async () => {
    const entry = await startCrashingFleet();
    await endReplicas([entry], '/again/a', entry.desk);
    expect((await callEntry(entry, '/again/a')).status).toBe(200);
  });
});

describe('a harmless request that ran beside a crashing one', () => {
  // It looks like the crashing request until a trial has run by itself.
  test('is served again soon at all entries', async () => {
    const first = await startCrashingFleet();
    const second = await start({node: 'entry-2', sharedFleet: first});
    await endReplicas([first], '/stream/a', first.pool);
    await until(
      async () => (await sendPoison(second, '/stream/a')).status === 429,
    );
    for (const it of first.pool) it.behave(streamTo(3));
    const isServed = async (entry: DirectFleet) =>
      (await sendPoison(entry, '/stream/a')).status === 200;
    await until(() => isServed(second), TRIAL_MS);
    await until(() => isServed(first), TRIAL_MS);
    await until(() => first.store.names('onyxloft-quarantine').length === 0);
  }, 30_000);

  test('gets its trial at one entry only', async () => {
    const first = await startCrashingFleet();
    const second = await start({node: 'entry-2', sharedFleet: first});
    await endReplicas([first], '/once/a', first.desk);
    const entries = [first, second];
    await until(
      async () => (await sendPoison(second, '/once/a')).status === 429,
    );
    await sleep(TRIAL_MS);
    const before = countRuns(first.desk);
    await Promise.all(
      [...entries, ...entries].map(entry => sendPoison(entry, '/once/a')),
    );
    expect(countRuns(first.desk) - before).toBe(1);
  }, 30_000);
});

describe('a quarantined request', () => {
  test('is refused at once with 429 and does not run', async () => {
    const entry = await startCrashingFleet();
    await endReplicas([entry], '/once/a', entry.desk);
    await until(
      async () => (await sendPoison(entry, '/once/a')).status === 429,
    );
    const before = countRuns(entry.desk);
    const answer = await sendPoison(entry, '/once/a');
    expect(answer.status).toBe(429);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(60);
    expect(countRuns(entry.desk)).toBe(before);
  });

  test('is recognised when its host is spelled differently', async () => {
    const entry = await startCrashingFleet();
    await endReplicas([entry], '/once/a', entry.desk);
    await until(
      async () => (await sendPoison(entry, '/once/a')).status === 429,
    );
    const before = countRuns(entry.desk);
    const headers = {Host: `${HOST.toUpperCase()}:80`};
    await callEntry(entry, '/once/a', {headers, body: POISON});
    expect(countRuns(entry.desk)).toBe(before);
  });

  test('is served again when an operator removes its record', async () => {
    const entry = await startCrashingFleet();
    await endReplicas([entry], '/once/a', entry.desk);
    const records = () => entry.store.names('onyxloft-quarantine');
    await until(() => records().length === 1);
    for (const it of entry.desk) it.behave(answerWell);
    entry.store.remove('onyxloft-quarantine', records()[0]);
    await until(
      async () => (await sendPoison(entry, '/once/a')).status === 200,
    );
  });
});

describe('a request that has crashed three replicas', () => {
  test('is not dispatched when repeated as a stream', async () => {
    const entry = await startCrashingFleet();
    const later = await countLaterRuns([entry], '/stream/a', entry.pool);
    expect(later).toBeLessThanOrEqual(MAX_LATER_RUNS);
    const innocent = await callEntry(entry, '/stream/a', {headers: HEADERS});
    expect(innocent).toMatchObject({status: 200, whole: true});
  }, 30_000);

  test('is not dispatched when repeated as a call', async () => {
    const entry = await startCrashingFleet();
    const later = await countLaterRuns([entry], '/again/a', entry.desk);
    expect(later).toBeLessThanOrEqual(MAX_LATER_RUNS);
    expect((await callEntry(entry, '/again/a')).status).toBe(200);
  }, 30_000);

  test('is not dispatched when repeated as a call that may run only once', async () => {
    const entry = await startCrashingFleet();
    const later = await countLaterRuns([entry], '/once/a', entry.desk);
    expect(later).toBeLessThanOrEqual(MAX_LATER_RUNS);
  }, 30_000);

  // The lead engine of the group crashes; the other members do not.
  test('is not dispatched when repeated as a prompt for a group', async () => {
    const entry = await start({pool: GROUP_REPLICAS});
    for (const it of entry.pool) crashUnder(it, POISON, streamTo(3));
    const headers = {'X-Token-Usage': '18000,100', 'X-Deadline-Ms': '2000'};
    const send = () =>
      callEntry(entry, '/long/a', {headers, body: POISON}).catch(err => err);
    while (countRuns(entry.pool) < ENDED_REPLICAS) await send();
    await sleep(KNOWN_MS);
    const before = countRuns(entry.pool);
    for (let at = 0; at < REPEATS; at++) await send();
    expect(countRuns(entry.pool) - before).toBeLessThanOrEqual(MAX_LATER_RUNS);
  }, 40_000);

  // No connection breaks; only the expired record shows that the replica ended.
  test('is not dispatched when its callers leave before the crash', async () => {
    const entry = await start({desk: REPLICAS});
    for (const it of entry.desk) {
      it.behave((arrival, res) => {
        if (!arrival.body.includes(POISON))
          return answerWell(arrival, res, res.req);
        setTimeout(() => it.crash(), CRASH_AFTER_MS);
        const removeRecord = () => entry.store.remove('servers', it.id);
        setTimeout(removeRecord, CRASH_AFTER_MS + RECORD_EXPIRY_MS);
      });
    }
    const headers = {'X-Deadline-Ms': String(LEAVE_AFTER_MS)};
    const send = async () => {
      await callEntry(entry, '/again/a', {headers, body: POISON});
      await sleep(2 * RECORD_EXPIRY_MS);
    };
    while (countRuns(entry.desk) < ENDED_REPLICAS) await send();
    await sleep(KNOWN_MS);
    const before = countRuns(entry.desk);
    for (let at = 0; at < REPEATS && before < REPLICAS - 1; at++) await send();
    expect(countRuns(entry.desk) - before).toBeLessThanOrEqual(MAX_LATER_RUNS);
  }, 40_000);

  // Each entry has observed fewer than three of the crashes itself.
  test('is not dispatched by other entries', async () => {
    const first = await startCrashingFleet();
    const second = await start({node: 'entry-2', sharedFleet: first});
    const later = await countLaterRuns([first, second], '/once/a', first.desk);
    expect(later).toBeLessThanOrEqual(MAX_LATER_RUNS);
  }, 30_000);

  test('is not dispatched by an entry that started later', async () => {
    const first = await startCrashingFleet();
    await endReplicas([first], '/stream/a', first.pool);
    await sleep(KNOWN_MS);
    const second = await start({node: 'entry-2', sharedFleet: first});
    const before = countRuns(first.pool);
    for (let at = 0; at < REPEATS; at++) await sendPoison(second, '/stream/a');
    expect(countRuns(first.pool) - before).toBeLessThanOrEqual(MAX_LATER_RUNS);
  }, 30_000);

  // All entries restart at once, so none can inform another.
  test('is not dispatched after all entries have restarted', async () => {
    const first = await startCrashingFleet();
    await endReplicas([first], '/stream/a', first.pool);
    await sleep(KNOWN_MS);
    await first.entry.kernel.stop();
    const second = await start({node: 'entry-2', sharedFleet: first});
    const before = countRuns(first.pool);
    for (let at = 0; at < REPEATS; at++) await sendPoison(second, '/stream/a');
    expect(countRuns(first.pool) - before).toBeLessThanOrEqual(MAX_LATER_RUNS);
  }, 30_000);
});
