/** Answers that callers get from an entry that calls replicas directly. */
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {
  answerWell,
  breakOff,
  refuse,
  signed,
} from '../../standins/users_platform/replica.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet();
});
afterEach(() => fleet.close());

const arrivals = () => fleet.desk.flatMap(({arrivals: all}) => all);

/** Writes raw bytes to the entry and returns the response bytes. */
function sendRaw(text: string): Promise<string> {
  const [host, port] = fleet.callers.split(':');
  return new Promise(resolve => {
    const socket = connect(Number(port), host);
    let received = '';
    socket.on('data', piece => {
      received += piece.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    socket.write(text);
  });
}

describe('a request served directly', () => {
  test('keeps method, path, query, body and end-to-end headers', async () => {
    const answer = await callEntry(fleet, '/again/a?b=c', {
      headers: {'X-Other': 'kept', 'X-Hop': 'not', Connection: 'X-Hop'},
      body: 'the prompt',
    });
    expect(answer).toMatchObject({status: 200, whole: true});
    const [arrival] = arrivals();
    expect(arrival).toMatchObject({
      method: 'POST',
      path: '/again/a?b=c',
      body: 'the prompt',
    });
    expect(arrival.headers['x-other']).toBe('kept');
    expect(arrival.headers['x-hop']).toBeUndefined();
    expect(answer.headers['x-response-seal']).toBe(`seal-${arrival.id}`);
  });

  test('carries the organisation instead of the key to the replica', async () => {
    await callEntry(fleet, '/again/', {headers: {'X-Tenant': 'forged'}});
    const [{headers}] = arrivals();
    expect(headers['x-tenant']).toBe('org-1');
    expect(headers.authorization).toBeUndefined();
    expect(headers['x-expect-replica']).toMatch(/^desk-/);
  });

  test('passes the remaining time to the replica', async () => {
    await callEntry(fleet, '/again/', {headers: {'X-Deadline-Ms': '300'}});
    const left = Number(arrivals()[0].headers['x-deadline-ms']);
    expect(left).toBeLessThanOrEqual(300);
    expect(left).toBeGreaterThan(100);
  });

  test('needs no key on a public route', async () => {
    const headers = {Authorization: ''};
    expect((await callEntry(fleet, '/open/', {headers})).status).toBe(200);
    expect(arrivals()[0].headers['x-tenant']).toBeUndefined();
  });

  test('is not run with an unknown key or route or without an id', async () => {
    const key = {Authorization: 'Token other'};
    expect((await callEntry(fleet, '/again/', {headers: key})).status).toBe(
      401,
    );
    expect((await callEntry(fleet, '/nowhere/')).status).toBe(404);
    const noHost = {Host: 'other.example'};
    expect((await callEntry(fleet, '/again/', {headers: noHost})).status).toBe(
      404,
    );
    const noId = {'X-Request-Id': ''};
    expect((await callEntry(fleet, '/again/', {headers: noId})).status).toBe(
      400,
    );
    expect(arrivals()).toEqual([]);
  });

  test('is not run when its headers or body are too large', async () => {
    const large = {'X-Large': 'x'.repeat(5_000)};
    expect((await callEntry(fleet, '/again/', {headers: large})).status).toBe(
      431,
    );
    const body = 'x'.repeat(10_001);
    expect((await callEntry(fleet, '/again/', {body})).status).toBe(413);
    expect(arrivals()).toEqual([]);
  });

  test('is not run when it smuggles a second request', async () => {
    const received = await sendRaw(
      'POST /again/ HTTP/1.1\r\nHost: models.example\r\nX-Request-Id: s1\r\n' +
        'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n' +
        '0\r\n\r\nGET /open/ HTTP/1.1\r\nHost: models.example\r\n\r\n',
    );
    expect(received).toMatch(/^HTTP\/1\.1 400 /);
    expect(arrivals()).toEqual([]);
  });
});

describe('a request that may run only once', () => {
  // The request may have run, so the caller gets 502, which promises nothing.
  test('is not sent to a second replica after a broken answer', async () => {
    for (const replica of fleet.desk) replica.behave(breakOff);
    expect((await callEntry(fleet, '/once/')).status).toBe(502);
    expect(arrivals()).toHaveLength(1);
  });

  // The replica states that it did not run the request.
  test('is sent to a second replica after a refusal', async () => {
    const [first, second] = fleet.desk;
    first.behave(refuse);
    for (let at = 0; at < 4; at++) {
      expect((await callEntry(fleet, '/once/')).status).toBe(200);
    }
    expect(second.arrivals).toHaveLength(4);
  });

  // Nothing ran, so the caller gets 503 and a time to retry.
  test('ends as not run when every replica refuses', async () => {
    for (const replica of fleet.desk) replica.behave(refuse);
    const answer = await callEntry(fleet, '/once/');
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });

  // The replica does not answer within the route's time limit.
  test('ends with 504 at the time limit, and its run is cancelled', async () => {
    for (const replica of fleet.desk) replica.behave(() => undefined);
    const startedAt = Date.now();
    expect((await callEntry(fleet, '/once/')).status).toBe(504);
    expect(Date.now() - startedAt).toBeLessThan(1_300);
    await until(() => arrivals()[0].left);
  });
});

describe('an idempotent request', () => {
  test('is sent to a second replica when the connection breaks', async () => {
    fleet.desk[0].behave(breakOff);
    for (let at = 0; at < 4; at++) {
      expect((await callEntry(fleet, '/again/')).status).toBe(200);
    }
  });

  test('is sent to a second replica when the first answers 500', async () => {
    let failed: string | undefined;
    for (const {behave, id} of fleet.desk) {
      behave((arrival, res, req) => {
        failed ??= id;
        if (id !== failed) {
          answerWell(arrival, res, req);
          return;
        }
        res.writeHead(500, signed(arrival));
        res.end('failed');
      });
    }
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
    expect(arrivals()).toHaveLength(2);
  });

  // A late answer to an earlier request is recognised by its request id.
  test('does not accept an answer to another request', async () => {
    fleet.desk[0].behave((_arrival, res) => {
      res.writeHead(200, {'X-Request-Id': 'x', 'X-Response-Seal': 'x'});
      res.end('of another');
    });
    for (let at = 0; at < 4; at++) {
      const {body} = await callEntry(fleet, '/again/');
      expect(body).toMatch(/^answer to /);
    }
  });

  // Such an answer ends when its connection closes. With a length added by the
  // entry, a truncated answer would look complete.
  test('keeps the framing of an answer without a length', async () => {
    for (const replica of fleet.desk) {
      replica.behave((arrival, _res, req) => {
        req.socket.end(
          'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n' +
            `X-Request-Id: ${arrival.id}\r\n\r\nhalf of i`,
        );
      });
    }
    const {headers, body} = await callEntry(fleet, '/again/');
    expect(body).toBe('half of i');
    expect(headers['content-length']).toBeUndefined();
    expect(headers['transfer-encoding']).toBeUndefined();
  });
});

describe('the configuration', () => {
  test('is in force as soon as the store reports it', async () => {
    fleet.store.put('config', 'main', configOf(2, ['key-2']));
    const other = {Authorization: 'Token key-2'};
    await until(
      async () =>
        (await callEntry(fleet, '/again/', {headers: other})).status === 200,
    );
    expect((await callEntry(fleet, '/again/')).status).toBe(401);
  });

  // A stale read returns an older version while a newer one is in force.
  test('never returns to an older version', async () => {
    fleet.store.put('config', 'main', configOf(7, ['key-7']));
    const headers = {Authorization: 'Token key-7'};
    const isServed = async () =>
      (await callEntry(fleet, '/again/', {headers})).status === 200;
    await until(isServed);
    fleet.store.put('config', 'main', configOf(3));
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(await isServed()).toBe(true);
  });

  test('is updated after the store has dropped its history', async () => {
    fleet.store.forgetHistory();
    fleet.store.put('config', 'main', configOf(2, ['key-2']));
    const headers = {Authorization: 'Token key-2'};
    await until(
      async () => (await callEntry(fleet, '/again/', {headers})).status === 200,
    );
  });

  // The new document is malformed, which the log reports.
  test('stays in force when a newer one cannot be read', async () => {
    fleet.store.put('config', 'main', {version: 9, routes: 'none'});
    const unreadable = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.recordUnreadable);
    await until(() => unreadable().length > 0);
    expect((await callEntry(fleet, '/again/')).status).toBe(200);
  });
});

describe('the metrics of an entry', () => {
  test('are updated every second', async () => {
    const {metrics} = fleet.runtime;
    const gauge = (name: string) =>
      metrics.value(`onyxloft_direct_${name}`, {});
    await until(() => gauge('replicas') === 4);
    expect(gauge('entries')).toBe(1);
    expect(gauge('evidence_age_ms')).toBeLessThan(2_000);
    expect(gauge('memory_leases')).toBe(0);
    expect(gauge('retries_left')).toBe(80);
    for (const replica of fleet.pool) replica.behave(() => undefined);
    const hanging = callEntry(fleet, '/stream/a');
    await until(() => gauge('open_requests') === 1);
    await hanging;
  });
});
