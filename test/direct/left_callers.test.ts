/** Callers that leave, or send invalid bytes, within a request. */
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const GRACE_S = 6;
/** A drain that nothing holds up ends within this time, in milliseconds. */
const DRAINED_WITHIN_MS = 4_000;
const PART_OF_BODY = `${headOf('left', 'Content-Length: 1000')}xxxxx`;

let fleet: DirectFleet;
afterEach(() => fleet.close());

function headOf(id: string, ...more: readonly string[]): string {
  return [
    'POST /again/a HTTP/1.1',
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `Authorization: Token ${KEY}`,
    ...more,
    '',
    '',
  ].join('\r\n');
}

function open() {
  const [host, port] = fleet.callers.split(':');
  const socket = connect({host, port: Number(port), allowHalfOpen: true});
  const seen = {text: '', isEnded: false};
  socket.on('data', piece => (seen.text += piece.toString('utf8')));
  socket.on('end', () => (seen.isEnded = true));
  socket.on('error', () => undefined);
  return {socket, seen};
}

async function drainMs(): Promise<number> {
  const startedAt = performance.now();
  await fleet.entry.drain();
  return performance.now() - startedAt;
}

describe('a caller that leaves in the middle of a request', () => {
  // Guards against a connection, and the bytes held for it, that stay for ever.
  test.each([
    ['and ends its direction', false],
    ['and closes the connection', true],
  ])('%s, holds up no drain', async (_how, closes) => {
    fleet = await startDirectFleet({timing: {graceS: GRACE_S}});
    const {socket} = open();
    socket.write(PART_OF_BODY);
    await sleep(100);
    if (closes) socket.destroy();
    else socket.end();
    await sleep(200);
    expect(await drainMs()).toBeLessThan(DRAINED_WITHIN_MS);
    socket.destroy();
  });

  // Guards against a connection that stays when the run before was cancelled.
  test.each([
    ['part of a head', 'POST /again/b HTT'],
    ['part of a body', PART_OF_BODY],
    ['a tunnel', 'CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n'],
  ])('with %s behind an open one, holds up no drain', async (_what, behind) => {
    fleet = await startDirectFleet({timing: {graceS: GRACE_S}});
    for (const replica of fleet.desk) replica.behave(() => undefined);
    const {socket} = open();
    socket.write(headOf('first', 'Content-Length: 0'));
    await until(() => fleet.desk.some(({arrivals}) => arrivals.length > 0));
    socket.write(behind);
    await sleep(100);
    socket.destroy();
    await sleep(200);
    expect(await drainMs()).toBeLessThan(DRAINED_WITHIN_MS);
  });

  // Guards against an entry that refuses all bodies for those that never came.
  test('leaves its share of the held bytes to others', async () => {
    fleet = await startDirectFleet({
      memoryMb: 1,
      slowReaders: {callerTimeoutMs: 1_000, maxHeldShare: 0.1},
    });
    for (let at = 0; at < 14; at++) {
      const {socket} = open();
      socket.write(`${headOf(`left-${at}`, 'Content-Length: 9000')}xxx`);
      await sleep(20);
      socket.destroy();
    }
    await sleep(100);
    const body = 'y'.repeat(8_000);
    expect((await callEntry(fleet, '/again/', {body})).status).toBe(200);
  });
});

describe('a caller that stops in the middle of a body', () => {
  // Guards against a connection, and the bytes held for it, that stay for ever.
  test('is refused after the idle time', async () => {
    fleet = await startDirectFleet({timing: {configMs: 100}});
    const config = configOf(2);
    const limits = {...config.limits, headerTimeoutMs: 300, idleTimeoutMs: 300};
    fleet.store.put('config', 'main', {...config, limits});
    await sleep(500);
    const {socket, seen} = open();
    socket.write(PART_OF_BODY);
    await until(() => seen.isEnded, 5_000);
    expect(seen.text).toMatch(/^HTTP\/1\.1 408 /);
    socket.destroy();
  });
});

describe('a request whose own body is invalid', () => {
  // Guards against a refusal that waits for the answer to the same request.
  test('is refused', async () => {
    fleet = await startDirectFleet();
    const {socket, seen} = open();
    socket.write(headOf('first', 'Transfer-Encoding: chunked'));
    await sleep(100);
    socket.write('5\r\nhello\r\nZZ\r\nbad\r\n');
    await until(() => seen.isEnded);
    expect(seen.text).toMatch(/^HTTP\/1\.1 400 /);
    socket.destroy();
  });

  // Guards against a refused request that counts as open until the grace time
  // is over, and is then refused once more.
  test('is refused behind an earlier one, and holds up no drain', async () => {
    fleet = await startDirectFleet({timing: {graceS: GRACE_S}});
    const {socket, seen} = open();
    socket.write(headOf('first', 'Content-Length: 0'));
    socket.write(headOf('second', 'Transfer-Encoding: chunked'));
    socket.write('5\r\nhello\r\nZZ\r\n');
    await until(() => seen.isEnded);
    const statuses = [...seen.text.matchAll(/HTTP\/1\.1 (\d+)/g)];
    expect(statuses.map(([, status]) => status)).toEqual(['200', '400']);
    expect(await drainMs()).toBeLessThan(DRAINED_WITHIN_MS);
    socket.destroy();
  });
});

describe('a caller that goes on sending behind a refusal', () => {
  // Guards against processor time for requests that cannot be answered any more.
  test('has nothing read as requests', async () => {
    fleet = await startDirectFleet();
    const {socket, seen} = open();
    const more = headOf('late', 'Content-Length: 0').repeat(200);
    const large = 12_000;
    socket.write(headOf('large', 'Transfer-Encoding: chunked'));
    socket.write(`${large.toString(16)}\r\n${'x'.repeat(large)}`);
    await until(() => seen.text.includes('413'));
    socket.write('\r\n0\r\n\r\n');
    for (let at = 0; at < 20; at++) {
      if (!socket.destroyed) socket.write(more);
      await sleep(20);
    }
    const unread = fleet.runtime.eventsOf(DIRECT_EVENTS.unread);
    expect(unread).toHaveLength(0);
    socket.destroy();
  });
});
