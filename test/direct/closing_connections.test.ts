/** Requests on connections that the entry closes are not passed on. */
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {streamTo} from '../../standins/users_platform/replica.js';
import {startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

/** Time in which a request that was taken would reach its replica. */
const PASS_ON_MS = 300;

let fleet: DirectFleet;
beforeEach(async () => {
  fleet = await startDirectFleet();
});
afterEach(() => fleet.close());

function requestText(path: string, id: string): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `Authorization: Token ${KEY}`,
    'X-Token-Usage: 1000,100',
    'X-Deadline-Ms: 5000',
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');
}

/** Opens a connection that collects what it receives. */
function openConnection() {
  const [host, port] = fleet.callers.split(':');
  const socket = connect({host, port: Number(port), allowHalfOpen: true});
  const seen = {text: '', isEnded: false};
  socket.on('data', piece => {
    seen.text += piece.toString('utf8');
  });
  socket.on('end', () => {
    seen.isEnded = true;
  });
  socket.on('error', () => undefined);
  return {socket, seen};
}

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const arrivals = () => fleet.desk.flatMap(replica => replica.arrivals);

describe('a request on a connection that the entry has closed in its direction', () => {
  // Guards against a request that runs and whose answer cannot be written.
  test('is not passed on at a drain', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(20, 10));
    const {socket, seen} = openConnection();
    socket.write(requestText('/stream/a', 'first'));
    await until(() => seen.text.includes('200 OK'));
    fleet.entry.drain().catch(() => undefined);
    await until(() => seen.isEnded);
    socket.write(requestText('/once/b', 'second'));
    await wait(PASS_ON_MS);
    expect(arrivals()).toEqual([]);
    socket.destroy();
  });

  test('is not passed on after a refusal that closes the connection', async () => {
    const {socket, seen} = openConnection();
    const large = requestText('/once/a', 'first').replace(
      'Content-Length: 0',
      'Content-Length: 20000',
    );
    socket.write(`${large}${'x'.repeat(20_000)}`);
    socket.write(requestText('/once/b', 'second'));
    await until(() => seen.text.includes('413'));
    await wait(PASS_ON_MS);
    expect(arrivals()).toEqual([]);
    socket.destroy();
  });
});

describe('requests that were read behind a stream, at a drain', () => {
  // Guards against requests that were read whole and get no answer at a stop.
  test.each([
    ['at once', 20, 0],
    ['when new connections are refused already', 300, 280],
  ])('are answered before it closes: %s', async (_what, events, behind) => {
    for (const replica of fleet.pool) replica.behave(streamTo(events, 10));
    const {socket, seen} = openConnection();
    socket.write(requestText('/stream/a', 'first'));
    await until(() => seen.text.includes('200 OK'));
    const writeTwo = () =>
      socket.write(
        requestText('/once/b', 'second') + requestText('/once/b', 'third'),
      );
    if (behind === 0) writeTwo();
    const drained = fleet.entry.drain().catch(() => undefined);
    await until(() => seen.text.includes(`id: ${behind || 1}\n`), 10_000);
    if (behind > 0) writeTwo();
    await until(() => seen.isEnded, 6_000);
    const places = ['answer to second', 'answer to third'].map(text =>
      seen.text.indexOf(text),
    );
    expect(places).not.toContain(-1);
    expect(places).toEqual([...places].sort((a, b) => a - b));
    expect(arrivals().map(it => it.headers['x-request-id'])).toEqual([
      'second',
      'third',
    ]);
    // Only the last answer closes the connection, and nothing follows it.
    const heads = seen.text.split('HTTP/1.1 200 OK').slice(1);
    const closing = heads.map(head => /connection: close/i.test(head));
    expect(closing).toEqual([false, false, true]);
    socket.write(requestText('/once/b', 'fourth'));
    await wait(PASS_ON_MS);
    expect(arrivals()).toHaveLength(2);
    socket.destroy();
    await drained;
  });

  test('are answered behind one that is refused', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(20, 10));
    const {socket, seen} = openConnection();
    socket.write(requestText('/stream/a', 'first'));
    await until(() => seen.text.includes('200 OK'));
    socket.write(requestText('/nowhere/b', 'second'));
    socket.write(requestText('/once/b', 'third'));
    fleet.entry.drain().catch(() => undefined);
    await until(() => seen.isEnded);
    expect(seen.text).toContain('404');
    expect(seen.text).toContain('answer to third');
    socket.destroy();
  });
});

describe('bytes that are no request', () => {
  // Guards against a refusal that is written into the answer before it.
  test('are refused when the requests before them are answered', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(20, 10));
    const {socket, seen} = openConnection();
    socket.write(requestText('/stream/a', 'first'));
    await until(() => seen.text.includes('200 OK'));
    socket.write(requestText('/once/b', 'second'));
    socket.write('no request at all\r\n\r\n');
    await until(() => seen.isEnded);
    const parts = seen.text.split('HTTP/1.1 ').slice(1);
    expect(parts.map(part => part.slice(0, 3))).toEqual(['200', '200', '400']);
    expect(parts[0]).toMatch(/id: 20\n[^]*\r\n0\r\n\r\n$/);
    expect(parts[1]).toContain('answer to second');
    socket.destroy();
  });
});

describe('requests that are pipelined on an open connection', () => {
  test('are all answered, in their order', async () => {
    const {socket, seen} = openConnection();
    const ids = ['first', 'second', 'third'];
    socket.write(ids.map(id => requestText('/once/a', id)).join(''));
    await until(() => seen.text.includes('answer to third'));
    const places = ids.map(id => seen.text.indexOf(`answer to ${id}`));
    expect(places).toEqual([...places].sort((a, b) => a - b));
    expect(places).not.toContain(-1);
    socket.destroy();
  });
});

describe('a request that names no host', () => {
  // Guards against a request behind it that runs and whose answer cannot be
  // written, since the parser's own refusal closes the connection.
  test('is refused in turn, and the one behind it is answered', async () => {
    const {socket, seen} = openConnection();
    const nameless = requestText('/once/b', 'second').replace(
      /Host: .*\r\n/,
      '',
    );
    socket.write(requestText('/once/a', 'first'));
    socket.write(nameless);
    socket.write(requestText('/once/c', 'third'));
    await until(() => /answer to third/.test(seen.text) || seen.isEnded);
    const statuses = [...seen.text.matchAll(/HTTP\/1\.1 (\d+)/g)];
    expect(statuses.map(([, status]) => status)).toEqual(['200', '400', '200']);
    expect(arrivals().map(({id}) => id)).toEqual(['first', 'third']);
    socket.destroy();
  });
});
