/**
 * Failure domains that an operator evacuates, with real entries: what reaches
 * their replicas is counted there.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {configOf} from '../../standins/users_platform/deployment.js';
import {answerWell, streamTo} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {CallerAnswer, DirectFleet} from '../support/direct_fleet.js';

const EVACUATE_MS = 5_000;
/** Half of the bound, within which nothing more should be sent. */
const TARGET_MS = EVACUATE_MS / 2;
const REQUEST_INTERVAL_MS = 15;
const KIND = 'evacuations';
const TIMING = {evacuateMs: EVACUATE_MS};
/** The prompt needs the memory of several engines. */
const GROUP_HEADERS = {'X-Token-Usage': '12000,10'};
const SMALL_HEADERS = {'X-Token-Usage': '100,10'};
/** Time limits that a busy machine does not reach. */
const PATIENT_CONFIG = withTimes(configOf(2), {
  timeoutMs: 20_000,
  sloMs: 10_000,
});
const PATIENT_DEADLINE = {'X-Deadline-Ms': '20000'};

function withTimes(
  config: ReturnType<typeof configOf>,
  times: {readonly timeoutMs: number; readonly sloMs: number},
) {
  const routes = config.routes.map(route => ({...route, ...times}));
  return {...config, routes};
}

/** A fleet whose replicas alternate between the two domains. */
async function startFleet(): Promise<DirectFleet> {
  const fleet = await startDirectFleet({
    pool: 4,
    desk: 4,
    timing: TIMING,
    domainOf,
  });
  for (const replica of fleet.pool) replica.behave(streamTo(3));
  for (const replica of fleet.desk) replica.behave(answerWell);
  return fleet;
}

function domainOf(at: number): string {
  return at % 2 === 0 ? 'domain-1' : 'domain-2';
}

function replicasIn(
  {pool, desk}: DirectFleet,
  domain: string,
): readonly ReplicaStandIn[] {
  return [pool, desk].flatMap(all =>
    all.filter((_, at) => domainOf(at) === domain),
  );
}

/** Requests and reservations that reached the replicas, without releases. */
function countArrivals(replicas: readonly ReplicaStandIn[]): number {
  return replicas.reduce(
    (sum, {arrivals, orders}) =>
      sum +
      arrivals.length +
      orders.filter(({operation}) => operation === 'reserve').length,
    0,
  );
}

/** Sends all kinds of requests to the entries until it is stopped. */
function startLoad(
  entries: readonly DirectFleet[],
  more: Readonly<Record<string, string>> = {},
) {
  const answers: Array<Promise<CallerAnswer>> = [];
  let isStopped = false;
  const run = async (): Promise<void> => {
    for (let at = 0; !isStopped; at++) {
      const entry = entries[at % entries.length];
      const isGroup = at % 7 === 0;
      const path = ['/stream/', '/again/', '/once/'][at % 3];
      const headers = {...(isGroup ? GROUP_HEADERS : SMALL_HEADERS), ...more};
      answers.push(callEntry(entry, isGroup ? '/long/' : path, {headers}));
      await sleep(REQUEST_INTERVAL_MS);
    }
  };
  const ended = run();
  return async (): Promise<readonly number[]> => {
    isStopped = true;
    await ended;
    return (await Promise.all(answers)).map(({status}) => status);
  };
}

describe('an evacuated failure domain', () => {
  let first: DirectFleet;
  let entries: readonly DirectFleet[];
  beforeEach(async () => {
    first = await startFleet();
    const second = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: first,
      timing: TIMING,
    });
    entries = [first, second];
  });
  afterEach(async () => {
    for (const entry of [...entries].reverse()) await entry.close();
  });
  const hasPatientConfig = ({runtime}: DirectFleet) =>
    runtime
      .eventsOf(DIRECT_EVENTS.configAdopted)
      .some(({fields}) => fields['version'] === PATIENT_CONFIG.version);
  const hasLearned = (entry: DirectFleet) =>
    entry.runtime.eventsOf(DIRECT_EVENTS.evacuationBegan).length > 0;

  // Guards against anything that is sent to a domain after its evacuation.
  test('gets nothing more under load, and is used again after its end', async () => {
    const stop = startLoad(entries);
    const inDomain = replicasIn(first, 'domain-1');
    const hasGroups = () => inDomain.some(({orders}) => orders.length > 0);
    await until(() => countArrivals(inDomain) > 30 && hasGroups());
    first.store.put(KIND, 'domain-1', {});
    await sleep(TARGET_MS);
    const before = countArrivals(inDomain);
    await sleep(1_500);
    expect(countArrivals(inDomain)).toBe(before);
    first.store.remove(KIND, 'domain-1');
    await until(() => countArrivals(inDomain) > before + 10);
    const statuses = await stop();
    expect(new Set(statuses)).toEqual(new Set([200]));
    expect(statuses.length).toBeGreaterThan(100);
  });

  // Guards against an entry that must know its own domain's replicas to serve.
  test('still has entries that serve callers from elsewhere', async () => {
    first.store.put(KIND, 'domain-1', 'no object at all');
    await until(() => entries.every(hasLearned));
    const stop = startLoad(entries);
    await sleep(500);
    expect(new Set(await stop())).toEqual(new Set([200]));
  });

  // Guards against callers that wait until their time limit.
  test('leads to rejections at once where a service is nowhere else', async () => {
    for (const domain of ['domain-1', 'domain-2']) {
      first.store.put(KIND, domain, {});
    }
    const replicas = [...first.pool, ...first.desk];
    await until(() =>
      entries.every(
        ({runtime}) =>
          runtime.eventsOf(DIRECT_EVENTS.evacuationBegan).length === 2,
      ),
    );
    const before = countArrivals(replicas);
    const sentAt = performance.now();
    const answers = await Promise.all(
      ['/stream/', '/long/', '/once/', '/again/'].map(path =>
        callEntry(first, path, {headers: SMALL_HEADERS}),
      ),
    );
    expect(performance.now() - sentAt).toBeLessThan(500);
    expect(answers.map(({status}) => status)).toEqual(Array(4).fill(503));
    for (const {headers} of answers) {
      expect(Number(headers['retry-after'])).toBeGreaterThan(1);
    }
    expect(countArrivals(replicas)).toBe(before);
  });

  // Guards against an entry that serves before it knows the evacuations.
  test('gets nothing from an entry that starts meanwhile', async () => {
    first.store.put('config', 'main', PATIENT_CONFIG);
    await until(() => entries.every(hasPatientConfig));
    first.store.put(KIND, 'domain-1', {});
    await until(() => entries.every(hasLearned));
    const inDomain = replicasIn(first, 'domain-1');
    const before = countArrivals(inDomain);
    const third = await startDirectFleet({
      node: 'entry-3',
      sharedFleet: first,
      timing: TIMING,
    });
    entries = [...entries, third];
    const stop = startLoad([third], PATIENT_DEADLINE);
    await sleep(600);
    expect(new Set(await stop())).toEqual(new Set([200]));
    expect(countArrivals(inDomain)).toBe(before);
  });

  // Guards against streams that are cut off although they run well.
  test('completes the streams that run there', async () => {
    for (const replica of first.pool) replica.behave(streamTo(20, 50));
    const streams = Array.from({length: 8}, () =>
      callEntry(first, '/stream/', {headers: SMALL_HEADERS}),
    );
    const inDomain = replicasIn(first, 'domain-1');
    await until(() => countArrivals(first.pool) === streams.length);
    expect(countArrivals(inDomain)).toBeGreaterThan(0);
    first.store.put(KIND, 'domain-1', {});
    await until(() => hasLearned(first));
    const before = countArrivals(inDomain);
    const answers = await Promise.all(streams);
    expect(answers.map(({status, whole}) => [status, whole])).toEqual(
      Array(8).fill([200, true]),
    );
    for (const {body} of answers) expect(body).toContain('piece 20');
    expect(countArrivals(inDomain)).toBe(before);
    await until(
      () =>
        first.runtime.eventsOf(DIRECT_EVENTS.evacuationDrained).length === 1,
    );
  });
});

describe('an entry whose settings have no bound for evacuations', () => {
  test('makes no call for them', async () => {
    const fleet = await startDirectFleet();
    fleet.store.put(KIND, 'domain-1', {});
    await sleep(200);
    expect(fleet.runtime.metrics.render()).not.toContain('list evacuations');
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
    await fleet.close();
  });
});
