/** Streams that break, stall or are left by their caller. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  eventText,
  refuse,
  signed,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {Behaviour} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet();
});
afterEach(() => fleet.close());

const EVENTS = 6;
const WHOLE = Array.from({length: EVENTS}, (_, at) => eventText(at + 1)).join(
  '',
);
const HEADERS = {'X-Token-Usage': '1000,100'};
const stream = () => callEntry(fleet, '/stream/a', {headers: HEADERS});

/** Sends `count` events of a stream, then behaves like `then`. */
function eventsThen(count: number, then: Behaviour): Behaviour {
  return (arrival, res, req) => {
    res.writeHead(200, signed(arrival));
    for (let id = 1; id <= count; id++) res.write(eventText(id));
    setTimeout(() => then(arrival, res, req), 20);
  };
}

/** The replica that gets the first stream behaves like this, others succeed. */
function firstReplicaBehaves(behaviour: Behaviour): void {
  let isFirst = true;
  for (const replica of fleet.pool) {
    replica.behave((...args) => {
      const current = isFirst ? behaviour : streamTo(EVENTS);
      isFirst = false;
      current(...args);
    });
  }
}

describe('a stream', () => {
  test('reaches the caller completely', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(EVENTS));
    expect(await stream()).toMatchObject({
      status: 200,
      body: WHOLE,
      whole: true,
    });
  });

  // The replica crashes in the middle of event 4. The partial event must not be
  // forwarded, and the caller must get each event once.
  test('resumes at another replica when it breaks within an event', async () => {
    firstReplicaBehaves(
      eventsThen(3, (_arrival, res, req) => {
        res.write('id: 4\ndata: pie');
        setTimeout(() => req.socket.resetAndDestroy(), 10);
      }),
    );
    const answer = await stream();
    expect(answer).toMatchObject({body: WHOLE, whole: true});
    const resumed = fleet.pool.flatMap(it => it.arrivals)[1];
    expect(answer.headers['x-response-seal']).toMatch(/^seal-/);
    expect(
      fleet.pool
        .flatMap(it => it.arrivals)
        .map(it => it.headers['last-event-id']),
    ).toContain('3');
    expect(resumed).toBeDefined();
  });

  // The replica stops sending after event 2 and keeps the connection open. The
  // entry must close that connection.
  test('resumes at another replica when it stalls', async () => {
    firstReplicaBehaves(eventsThen(2, () => undefined));
    expect(await stream()).toMatchObject({body: WHOLE, whole: true});
    await until(() => fleet.pool.some(it => it.arrivals.some(a => a.left)));
  });

  // Both replicas fail; the caller must notice that its answer is incomplete.
  test('is cut instead of ended when no attempt is left', async () => {
    for (const replica of fleet.pool) {
      replica.behave(
        eventsThen(2, (_arrival, _res, req) => req.socket.resetAndDestroy()),
      );
    }
    const answer = await stream();
    expect(answer.whole).toBe(false);
    expect(answer.body).toBe(eventText(1) + eventText(2));
  });

  test('starts at another replica when the first refuses', async () => {
    firstReplicaBehaves(refuse);
    expect(await stream()).toMatchObject({body: WHOLE, whole: true});
  });

  // The caller leaves after the first event.
  test('is cancelled at the replica when its caller leaves', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(1_000, 20));
    await callEntry(fleet, '/stream/a', {
      headers: HEADERS,
      leaveAt: body => body.includes('id: 1'),
    });
    await until(() => fleet.pool.some(it => it.arrivals.some(a => a.left)));
  });

  test("resumes after the caller's last event", async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(EVENTS));
    const headers = {...HEADERS, 'Last-Event-Id': '4'};
    const {body} = await callEntry(fleet, '/stream/a', {headers});
    expect(body).toBe(eventText(5) + eventText(6));
  });

  // The caller lost its connection after the last event and resumes the stream.
  // The answer is empty but must still be the replica's.
  test('has the signature also when no event is left', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(EVENTS));
    const headers = {...HEADERS, 'Last-Event-Id': String(EVENTS)};
    const answer = await callEntry(fleet, '/stream/a', {headers});
    expect(answer).toMatchObject({status: 200, body: '', whole: true});
    expect(answer.headers['x-response-seal']).toMatch(/^seal-/);
  });
});
