/** Replicas that state in their answers that they are shutting down. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {streamTo} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
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
