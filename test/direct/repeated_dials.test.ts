/** Calls whose only replica ends under them. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {callEntry, startDirectFleet} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

/** The request, and one more that finds its port closed. */
const MOST_DISPATCHES = 2;

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet({desk: 1});
});
afterEach(() => fleet.close());

describe('an idempotent call whose only replica ends, while its record stays', () => {
  // Guards against a caller that is kept until its time is up, and against an
  // entry that does nothing but dial a closed port.
  test('ends soon, after one more attempt to connect', async () => {
    const [desk] = fleet.desk;
    desk.behave(() => desk.crash());
    const sentAt = performance.now();
    expect(await callEntry(fleet, '/again/')).toMatchObject({status: 502});
    expect(performance.now() - sentAt).toBeLessThan(500);
    const dispatched = fleet.runtime.eventsOf(DIRECT_EVENTS.dispatched);
    expect(dispatched.length).toBeLessThanOrEqual(MOST_DISPATCHES);
  });

  // Guards against a bound that also ends the second attempt that may succeed.
  test('is repeated there when its connection broke and the replica lives', async () => {
    const [desk] = fleet.desk;
    let calls = 0;
    desk.behave((arrival, res, req) => {
      if (calls++ === 0) req.socket.resetAndDestroy();
      else {
        res.writeHead(200, {
          'X-Response-Seal': 'seal',
          'X-Request-Id': arrival.id,
        });
        res.end('well');
      }
    });
    expect(await callEntry(fleet, '/again/')).toMatchObject({
      status: 200,
      body: 'well',
    });
  });
});
