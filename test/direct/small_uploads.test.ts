/** Uploads in chunks of one byte. */
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {HOST, KEY, configOf} from '../../standins/users_platform/deployment.js';
import {startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const CHUNK = '1\r\nx\r\n';
const END = '0\r\n\r\n';
const MAX_BODY_BYTES = 200_000;
const ROUTE_MS = 8_000;
const SLOW_CHUNKS = 60;
const SLOW_GAP_MS = 20;

let fleet: DirectFleet;
afterEach(() => fleet.close());

async function startWithLimits(): Promise<void> {
  fleet = await startDirectFleet({desk: 1});
  const {routes, limits, ...rest} = configOf(2);
  fleet.store.put('config', 'main', {
    ...rest,
    routes: routes.map(it => ({...it, timeoutMs: ROUTE_MS})),
    limits: {...limits, maxBodyBytes: MAX_BODY_BYTES},
  });
  const {eventsOf} = fleet.runtime;
  await until(() => eventsOf(DIRECT_EVENTS.configAdopted).length === 2);
}

/** Begins an upload, and collects what the entry answers. */
function upload(deadlineMs: number) {
  const [host, port] = fleet.callers.split(':');
  const socket = connect({host, port: Number(port)});
  const seen = {text: '', isEnded: false};
  socket.on('data', piece => (seen.text += piece.toString('utf8')));
  socket.on('close', () => (seen.isEnded = true));
  socket.on('error', () => undefined);
  const head = [
    'POST /once/a HTTP/1.1',
    `Host: ${HOST}`,
    'X-Request-Id: upload',
    `Authorization: Token ${KEY}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    'Transfer-Encoding: chunked',
    '',
    '',
  ];
  socket.write(head.join('\r\n'));
  return {socket, seen};
}

const bodies = () => fleet.desk[0].arrivals.map(({body}) => body.length);

// Guards against a bound that takes a sound upload for a flood.
test('a body of 200,000 chunks that come at once is whole', async () => {
  await startWithLimits();
  const {socket, seen} = upload(ROUTE_MS);
  socket.write(CHUNK.repeat(MAX_BODY_BYTES) + END);
  await until(() => seen.text !== '', ROUTE_MS);
  expect(seen.text).toMatch(/^HTTP\/1\.1 200 /);
  expect(bodies()).toEqual([MAX_BODY_BYTES]);
  socket.destroy();
});

// Guards against a slow caller that is taken for one that stalls.
test('a body whose chunks come slowly is whole', async () => {
  await startWithLimits();
  const {socket, seen} = upload(ROUTE_MS);
  for (let at = 0; at < SLOW_CHUNKS; at++) {
    socket.write(CHUNK);
    await sleep(SLOW_GAP_MS);
  }
  socket.write(END);
  await until(() => seen.text !== '', ROUTE_MS);
  expect(seen.text).toMatch(/^HTTP\/1\.1 200 /);
  expect(bodies()).toEqual([SLOW_CHUNKS]);
  socket.destroy();
});

// Guards against a body that is read on when its request can't be served any more.
test('a body that is late for its request is refused, and does not run', async () => {
  await startWithLimits();
  const {socket, seen} = upload(600);
  const timer = setInterval(() => socket.write(CHUNK.repeat(10)), SLOW_GAP_MS);
  await until(() => seen.isEnded, 4_000);
  clearInterval(timer);
  expect(seen.text).toMatch(/^HTTP\/1\.1 408 /);
  expect(bodies()).toEqual([]);
});
