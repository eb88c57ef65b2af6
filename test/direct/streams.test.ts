/** Streams that break, fall silent or are left. */
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

/** Sends some events of a stream, then does something else. */
function eventsThen(count: number, then: Behaviour): Behaviour {
  return (arrival, res, req) => {
    res.writeHead(200, signed(arrival));
    for (let id = 1; id <= count; id++) res.write(eventText(id));
    setTimeout(() => then(arrival, res, req), 20);
  };
}

/** The replica that gets the first stream does this, all others stream well. */
function firstDoes(behaviour: Behaviour): void {
  let first = true;
  for (const replica of fleet.pool) {
    replica.behave((...args) => {
      const now = first ? behaviour : streamTo(EVENTS);
      first = false;
      now(...args);
    });
  }
}

describe('a stream', () => {
  test('reaches the caller whole', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(EVENTS));
    expect(await stream()).toMatchObject({
      status: 200,
      body: WHOLE,
      whole: true,
    });
  });

  // The replica crashes in the middle of event 4. The caller sees one answer
  // with each event once: the torn piece is not passed on, and another replica
  // goes on after event 3.
  test('goes on at another replica when it breaks within an event', async () => {
    firstDoes(
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

  // The replica goes dark after event 2 without closing its connection. The
  // entry waits a few times the pause aim, then the stream goes on elsewhere,
  // and the silent connection is closed.
  test('goes on at another replica when it falls silent', async () => {
    firstDoes(eventsThen(2, () => undefined));
    expect(await stream()).toMatchObject({body: WHOLE, whole: true});
    await until(() => fleet.pool.some(it => it.arrivals.some(a => a.left)));
  });

  // Both replicas break; the caller must see that its answer is not whole.
  test('is cut, not ended, when no attempt is left', async () => {
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
    firstDoes(refuse);
    expect(await stream()).toMatchObject({body: WHOLE, whole: true});
  });

  // The caller leaves after the first event: the replica's work ends with it.
  test('ends at the replica when its caller leaves', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(1_000, 20));
    await callEntry(fleet, '/stream/a', {
      headers: HEADERS,
      leaveAt: body => body.includes('id: 1'),
    });
    await until(() => fleet.pool.some(it => it.arrivals.some(a => a.left)));
  });

  test('resumes where its caller says', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(EVENTS));
    const headers = {...HEADERS, 'Last-Event-Id': '4'};
    const {body} = await callEntry(fleet, '/stream/a', {headers});
    expect(body).toBe(eventText(5) + eventText(6));
  });

  // The caller lost its connection after the last event and asks for what
  // comes after it. Nothing does; the answer is empty, and still the replica's.
  test('bears the signature also when no event is left', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(EVENTS));
    const headers = {...HEADERS, 'Last-Event-Id': String(EVENTS)};
    const answer = await callEntry(fleet, '/stream/a', {headers});
    expect(answer).toMatchObject({status: 200, body: '', whole: true});
    expect(answer.headers['x-response-seal']).toMatch(/^seal-/);
  });
});
