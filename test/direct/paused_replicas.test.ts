/** Replicas that turn requests away and ask the entry for a pause. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  answerWell,
  askForPause,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet} from '../support/direct_fleet.js';
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
