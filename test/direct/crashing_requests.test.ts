/** Requests that crash each replica that begins to run them. */
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
/** Once a request has ended so many replicas, all entries are to know. */
const ENDED = 3;
/** Within this time; see the users' bounds. */
const KNOWN_MS = 3_000;
/** After that, it may be sent so many times more. */
const SENDS_MORE = 3;
const REPEATS = 8;
/** A request that is quarantined is tried once within this time. */
const SOON_MS = 2_500;
/** Engines that a large prompt is read by, and some that it may end. */
const GROUP_REPLICAS = 14;
const CRASH_AFTER_MS = 60;
const LEAVE_AFTER_MS = 20;
/** A dead replica's record goes from the store after this time. */
const LAPSE_MS = 200;

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

async function startPoisoned(): Promise<DirectFleet> {
  const fleet = await start({pool: REPLICAS, desk: REPLICAS});
  for (const replica of fleet.pool) crashUnder(replica, POISON, streamTo(3));
  for (const replica of fleet.desk) crashUnder(replica, POISON, answerWell);
  return fleet;
}

const sendPoison = (entry: DirectFleet, path: string) =>
  callEntry(entry, path, {headers: HEADERS, body: POISON}).catch(err => err);
const runs = (replicas: readonly ReplicaStandIn[]) =>
  replicas.flatMap(it => it.arrivals).filter(({body}) => body.includes(POISON))
    .length;

/** Sends it to the entries in turn until it has ended three replicas. */
async function endReplicas(
  entries: readonly DirectFleet[],
  path: string,
  replicas: readonly ReplicaStandIn[],
): Promise<void> {
  for (let at = 0; runs(replicas) < ENDED; at++) {
    await sendPoison(entries[at % entries.length], path);
  }
}

/** How often it reaches replicas when it is repeated after that time. */
async function runsLater(
  entries: readonly DirectFleet[],
  path: string,
  replicas: readonly ReplicaStandIn[],
): Promise<number> {
  await endReplicas(entries, path, replicas);
  await sleep(KNOWN_MS);
  const before = runs(replicas);
  for (let at = 0; at < REPEATS; at++) {
    await sendPoison(entries[at % entries.length], path);
  }
  return runs(replicas) - before;
}

describe('a request that crashes no replica', () => {
  // Connections break and callers get 502, but the replicas live.
  test('is served after its connections broke at many replicas', async () => {
    const entry = await start({desk: REPLICAS});
    for (const it of entry.desk) it.behave(breakOff);
    for (let at = 0; at < REPEATS; at++) await callEntry(entry, '/again/a');
    for (const it of entry.desk) it.behave(answerWell);
    expect((await callEntry(entry, '/again/a')).status).toBe(200);
  });

  test('is served where requests with other bodies crash replicas', async () => {
    const entry = await startPoisoned();
    await endReplicas([entry], '/again/a', entry.desk);
    expect((await callEntry(entry, '/again/a')).status).toBe(200);
  });
});

describe('a request that only ran beside one that crashes replicas', () => {
  // Nothing tells it from the guilty one until it has run by itself.
  test('is served again soon, at all entries', async () => {
    const first = await startPoisoned();
    const second = await start({node: 'entry-2', beside: first});
    await endReplicas([first], '/stream/a', first.pool);
    await until(
      async () => (await sendPoison(second, '/stream/a')).status === 429,
    );
    for (const it of first.pool) it.behave(streamTo(3));
    const isServed = async (entry: DirectFleet) =>
      (await sendPoison(entry, '/stream/a')).status === 200;
    await until(() => isServed(second), SOON_MS);
    await until(() => isServed(first), SOON_MS);
    await until(() => first.store.names('onyxloft-quarantine').length === 0);
  }, 30_000);

  test('is tried by one entry alone', async () => {
    const first = await startPoisoned();
    const second = await start({node: 'entry-2', beside: first});
    await endReplicas([first], '/once/a', first.desk);
    const entries = [first, second];
    await until(
      async () => (await sendPoison(second, '/once/a')).status === 429,
    );
    await sleep(SOON_MS);
    const before = runs(first.desk);
    await Promise.all(
      [...entries, ...entries].map(entry => sendPoison(entry, '/once/a')),
    );
    expect(runs(first.desk) - before).toBe(1);
  }, 30_000);
});

describe('a request that is refused for good', () => {
  test('is told so at once, and that it has not run', async () => {
    const entry = await startPoisoned();
    await endReplicas([entry], '/once/a', entry.desk);
    await until(
      async () => (await sendPoison(entry, '/once/a')).status === 429,
    );
    const before = runs(entry.desk);
    const answer = await sendPoison(entry, '/once/a');
    expect(answer.status).toBe(429);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(60);
    expect(runs(entry.desk)).toBe(before);
  });

  test('is known when its host is written in another way', async () => {
    const entry = await startPoisoned();
    await endReplicas([entry], '/once/a', entry.desk);
    await until(
      async () => (await sendPoison(entry, '/once/a')).status === 429,
    );
    const before = runs(entry.desk);
    const headers = {Host: `${HOST.toUpperCase()}:80`};
    await callEntry(entry, '/once/a', {headers, body: POISON});
    expect(runs(entry.desk)).toBe(before);
  });

  test('is served again when an operator removes its record', async () => {
    const entry = await startPoisoned();
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
  test('is not sent on when it comes again, as a stream', async () => {
    const entry = await startPoisoned();
    const later = await runsLater([entry], '/stream/a', entry.pool);
    expect(later).toBeLessThanOrEqual(SENDS_MORE);
    const innocent = await callEntry(entry, '/stream/a', {headers: HEADERS});
    expect(innocent).toMatchObject({status: 200, whole: true});
  }, 30_000);

  test('is not sent on when it comes again, as a call', async () => {
    const entry = await startPoisoned();
    const later = await runsLater([entry], '/again/a', entry.desk);
    expect(later).toBeLessThanOrEqual(SENDS_MORE);
    expect((await callEntry(entry, '/again/a')).status).toBe(200);
  }, 30_000);

  test('is not sent on when it comes again, as a call that may run once', async () => {
    const entry = await startPoisoned();
    const later = await runsLater([entry], '/once/a', entry.desk);
    expect(later).toBeLessThanOrEqual(SENDS_MORE);
  }, 30_000);

  // The engine that leads the group crashes; the members of it live on.
  test('is not sent on when it comes again, as a prompt for a group', async () => {
    const entry = await start({pool: GROUP_REPLICAS});
    for (const it of entry.pool) crashUnder(it, POISON, streamTo(3));
    const headers = {'X-Token-Usage': '18000,100', 'X-Deadline-Ms': '2000'};
    const send = () =>
      callEntry(entry, '/long/a', {headers, body: POISON}).catch(err => err);
    while (runs(entry.pool) < ENDED) await send();
    await sleep(KNOWN_MS);
    const before = runs(entry.pool);
    for (let at = 0; at < REPEATS; at++) await send();
    expect(runs(entry.pool) - before).toBeLessThanOrEqual(SENDS_MORE);
  }, 40_000);

  // No connection breaks; only the replica's record that lapses shows the end.
  test('is not sent on when its callers leave before the crash', async () => {
    const entry = await start({desk: REPLICAS});
    for (const it of entry.desk) {
      it.behave((arrival, res) => {
        if (!arrival.body.includes(POISON))
          return answerWell(arrival, res, res.req);
        setTimeout(() => it.crash(), CRASH_AFTER_MS);
        const lapse = () => entry.store.remove('servers', it.id);
        setTimeout(lapse, CRASH_AFTER_MS + LAPSE_MS);
      });
    }
    const headers = {'X-Deadline-Ms': String(LEAVE_AFTER_MS)};
    const send = async () => {
      await callEntry(entry, '/again/a', {headers, body: POISON});
      await sleep(2 * LAPSE_MS);
    };
    while (runs(entry.desk) < ENDED) await send();
    await sleep(KNOWN_MS);
    const before = runs(entry.desk);
    for (let at = 0; at < REPEATS && before < REPLICAS - 1; at++) await send();
    expect(runs(entry.desk) - before).toBeLessThanOrEqual(SENDS_MORE);
  }, 40_000);

  // Each entry has seen fewer than three of the crashes itself.
  test('is not sent on by other entries', async () => {
    const first = await startPoisoned();
    const second = await start({node: 'entry-2', beside: first});
    const later = await runsLater([first, second], '/once/a', first.desk);
    expect(later).toBeLessThanOrEqual(SENDS_MORE);
  }, 30_000);

  test('is not sent on by an entry that has started since', async () => {
    const first = await startPoisoned();
    await endReplicas([first], '/stream/a', first.pool);
    await sleep(KNOWN_MS);
    const second = await start({node: 'entry-2', beside: first});
    const before = runs(first.pool);
    for (let at = 0; at < REPEATS; at++) await sendPoison(second, '/stream/a');
    expect(runs(first.pool) - before).toBeLessThanOrEqual(SENDS_MORE);
  }, 30_000);

  // All entries restart at once, so that none can tell another.
  test('is not sent on after all entries have started again', async () => {
    const first = await startPoisoned();
    await endReplicas([first], '/stream/a', first.pool);
    await sleep(KNOWN_MS);
    await first.entry.kernel.stop();
    const second = await start({node: 'entry-2', beside: first});
    const before = runs(first.pool);
    for (let at = 0; at < REPEATS; at++) await sendPoison(second, '/stream/a');
    expect(runs(first.pool) - before).toBeLessThanOrEqual(SENDS_MORE);
  }, 30_000);
});
