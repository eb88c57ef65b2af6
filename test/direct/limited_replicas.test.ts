/** Replicas that name a request limit, behind several entries. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {answerWell, nameLimit} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';
import {allowedInWindow, mostInWindow} from '../support/request_limits.js';

const REQUESTS_PER_S = 15;
const RUN_MS = 7_000;
/** An entry that had an answer with the limit is bound by it after this. */
const KNOWN_AFTER_MS = 500;

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
    const most = mostInWindow(boundArrivals(limited));
    expect(most).toBeLessThanOrEqual(allowedInWindow(1));
    expect(most).toBeGreaterThan(0);
  }, 20_000);
});
