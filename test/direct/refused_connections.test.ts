/** Callers whose new connections the entry has no room for. */
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, describe, expect, test} from 'vitest';
import {createConnectionGuards} from '../../src/direct/boundary/connection_guard.js';
import {createConnectionEnds} from '../../src/direct/callers/connection_end.js';
import {createInputDiscards} from '../../src/direct/callers/input_discards.js';
import {createConnectionRefusals} from '../../src/direct/callers/connection_refusals.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {
  openRawCaller,
  requestText,
  startCallersServer,
} from '../support/callers_server.js';
import type {
  CallersServerFixture,
  RawCaller,
} from '../support/callers_server.js';
import {until} from '../support/direct_fleet.js';
import {createVirtualClock} from '../support/virtual_clock.js';

/** More than the kernel's buffers of both ends hold. */
const BODY = 'x'.repeat(8_000_000);
const PIECE = 'x'.repeat(16 * 1024);
/** Longer than the entry waits for a caller that sends nothing. */
const SLOW_MS = 3_500;
const PIECE_MS = 50;
const HEAD = `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY.length}\r\n\r\n`;

let fixture: CallersServerFixture;
const callers: RawCaller[] = [];
afterEach(async () => {
  for (const {socket} of callers.splice(0)) socket.destroy();
  await fixture?.server.close();
});

function open(): RawCaller {
  const caller = openRawCaller(fixture.address);
  callers.push(caller);
  return caller;
}

describe('a caller on a new connection that the entry does not serve', () => {
  const handled: Array<string | undefined> = [];
  const start = async (maxDescriptors?: number): Promise<void> => {
    handled.length = 0;
    const handler = ({url}: {url?: string}) => void handled.push(url);
    fixture = await startCallersServer(
      {},
      handler,
      maxDescriptors,
      () => false,
    );
  };

  // Guards against a reset, after which the caller does not know whether its
  // request ran.
  test('reads when to come back, also if it sends its body first', async () => {
    await start();
    const caller = open();
    caller.socket.pause();
    await new Promise(sent => caller.socket.write(HEAD + BODY, sent));
    caller.socket.resume();
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toMatch(/^HTTP\/1\.1 503 /);
    expect(caller.text()).toMatch(/^retry-after: 0\.\d+\r$/im);
    expect(caller.closedBy()).toBe('end');
    expect(handled).toEqual([]);
  });

  // Guards against a slow body that is reset in the middle.
  test('reads it also if its body takes seconds', async () => {
    await start();
    const caller = open();
    caller.socket.pause();
    caller.socket.write(HEAD);
    // By the clock: timers that are late would make the body take longer than
    // the rest of a refused request is discarded.
    const startedAt = performance.now();
    while (performance.now() - startedAt < SLOW_MS) {
      if (!caller.socket.destroyed) caller.socket.write(PIECE);
      await sleep(PIECE_MS);
    }
    caller.socket.resume();
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toMatch(/^HTTP\/1\.1 503 /);
    expect(caller.closedBy()).toBe('end');
  }, 10_000);

  // Guards against an answer that a caller takes for that to a later request.
  test('reads nothing before it has sent a request', async () => {
    await start();
    const caller = open();
    await sleep(500);
    expect(caller.text()).toBe('');
    caller.socket.write(requestText('/late'));
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toMatch(/^HTTP\/1\.1 503 /);
  });

  // Guards against descriptors that refused callers keep.
  test('is closed when it sends nothing', async () => {
    await start();
    const caller = open();
    await until(() => caller.closedBy() !== undefined);
    expect(caller.text()).toBe('');
  });

  // Guards against refused connections that use up the descriptors.
  test('is closed unread beyond the descriptors', async () => {
    const few = 20;
    await start(few);
    Array.from({length: few}, open);
    const isClosed = ({closedBy}: RawCaller) => closedBy() !== undefined;
    await until(() => callers.filter(isClosed).length >= few / 2, 1_000);
    expect(callers.filter(isClosed).length).toBeLessThan(few);
  });
});

// Guards against a reset of a caller whose first bytes lie in the kernel when the
// wait for them ends, since timers run first where the process was late.
test('a caller whose bytes came while the process stood still is answered', async () => {
  const listener = createServer({allowHalfOpen: true}).listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const {port} = listener.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  const [[socket]] = (await Promise.all([
    once(listener, 'connection'),
    once(caller, 'connect'),
  ])) as [[Socket], unknown];
  let text = '';
  let isReset = false;
  caller.on('data', chunk => (text += chunk.toString()));
  caller.on('error', () => (isReset = true));
  const clock = createVirtualClock();
  const guards = createConnectionGuards(createRecordingRuntime().runtime);
  const collect = () => undefined;
  const discards = createInputDiscards({clock, guards, collect});
  const ends = createConnectionEnds({clock, guards, discards});
  const refusals = createConnectionRefusals({
    clock,
    random: () => 0,
    ends,
    discards,
    guards,
  });
  refusals.refuse(socket);
  caller.write(HEAD);
  // The first timer fires before the event loop polls.
  const fired = clock.step();
  await until(() => text.includes(' 503 ') || isReset || caller.destroyed);
  await fired;
  caller.destroy();
  socket.destroy();
  listener.close();
  expect(text).toMatch(/^HTTP\/1\.1 503 /);
});
