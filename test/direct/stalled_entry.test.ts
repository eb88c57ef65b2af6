/** An entry whose event loop stands still while callers come and leave. */
import {Worker} from 'node:worker_threads';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {startReplica, streamTo} from '../../standins/users_platform/replica.js';
import {openDispatch} from '../../src/direct/dispatch.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {callEntry, startDirectFleet} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const CALLERS = 20;
/** Longest time for which the entry's loop is blocked, in milliseconds. */
const MAX_BLOCK_MS = 5_000;
/** Longer than a connection to a replica may take to open, in milliseconds. */
const DIAL_STALL_MS = 500;

/** Each caller sends its request and closes the connection. */
const CALLERS_PROGRAM = `
const {connect} = require('node:net');
const {workerData} = require('node:worker_threads');
const {host, port, texts, flag} = workerData;
let open = texts.length;
for (const text of texts) {
  const socket = connect(port, host, () => socket.end(text));
  socket.on('finish', () => {
    if (--open > 0) return;
    setTimeout(() => {
      Atomics.store(flag, 0, 1);
      Atomics.notify(flag, 0);
    }, 100);
  });
}
`;

function requestText(path: string, at: number): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: left-${at}`,
    `Authorization: Token ${KEY}`,
    'X-Token-Usage: 100,10',
    'Content-Length: 8',
    '',
    'a prompt',
  ].join('\r\n');
}

/** Blocks this process, and so the entry, until all callers have left. */
async function leaveDuringStall(
  fleet: DirectFleet,
  path: string,
): Promise<void> {
  const [host, port] = fleet.callers.split(':');
  const flag = new Int32Array(new SharedArrayBuffer(4));
  const texts = Array.from({length: CALLERS}, (_, at) => requestText(path, at));
  const worker = new Worker(CALLERS_PROGRAM, {
    eval: true,
    workerData: {host, port: Number(port), texts, flag},
  });
  Atomics.wait(flag, 0, 0, MAX_BLOCK_MS);
  expect(flag[0]).toBe(1);
  await sleep(500);
  await worker.terminate();
}

describe('an entry that stood still', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet();
    for (const engine of fleet.pool) engine.behave(streamTo(2));
    await callEntry(fleet, '/again/');
    await callEntry(fleet, '/stream/', {headers: {'X-Token-Usage': '100,10'}});
  });
  afterEach(() => fleet.close());

  // Guards against requests that lay unread in the sockets, and are sent on
  // before it is read that their callers have left.
  test.each(['/again/', '/once/', '/stream/'])(
    'sends no request to %s on whose caller has left meanwhile',
    async path => {
      const replicas = [...fleet.desk, ...fleet.pool];
      await leaveDuringStall(fleet, path);
      const arrived = replicas
        .flatMap(({arrivals}) => arrivals)
        .filter(({id}) => id.startsWith('left-'));
      expect(arrived).toEqual([]);
    },
  );
});

// Guards against sound replicas that count as failed, and requests that are
// refused, beside a stall: the timer of a dial runs before its end is read.
test('a connection that a replica accepted during a stall is used', async () => {
  const replica = await startReplica('replica-0');
  const outcome = new Promise<string>(resolve => {
    const spec = {
      address: replica.address,
      method: 'POST',
      path: '/',
      headers: ['X-Request-Id', 'dialled', 'Content-Length', '0'],
      body: Buffer.alloc(0),
    };
    openDispatch(spec, createProcessClock(), {
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => resolve('answered'),
      onBroken: (_sent, reason) => resolve(reason),
    });
  });
  // By then the connection is being opened.
  await new Promise<void>(resolve => process.nextTick(resolve));
  const endsAt = performance.now() + DIAL_STALL_MS;
  while (performance.now() < endsAt);
  expect(await outcome).toBe('answered');
  await replica.close();
});
