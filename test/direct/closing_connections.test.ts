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

  test('is not passed on when it was pipelined before a drain', async () => {
    for (const replica of fleet.pool) replica.behave(streamTo(20, 10));
    const {socket, seen} = openConnection();
    socket.write(requestText('/stream/a', 'first'));
    await until(() => seen.text.includes('200 OK'));
    socket.write(requestText('/once/b', 'second'));
    fleet.entry.drain().catch(() => undefined);
    await until(() => seen.isEnded);
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
