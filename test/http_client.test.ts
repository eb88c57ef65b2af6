/** Reuse of idle connections by the client of the platform's services. */
import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {startRelay} from '../standins/relay_core.js';
import {createHttpClient} from '../src/stores/http_client.js';
import {createProcessClock} from '../src/utils/clock.js';

const SERVER_IDLE_TIMEOUT_MS = 5_000;
const STALL_MS = 400;

let server: Server;
let connections = 0;
beforeEach(async () => {
  connections = 0;
  server = createServer((_req, res) => res.end('well'));
  server.keepAliveTimeout = SERVER_IDLE_TIMEOUT_MS;
  server.on('connection', () => connections++);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
});
afterEach(() => {
  server.close();
  server.closeAllConnections();
});

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('an idle connection', () => {
  // Guards against calls that wait for their limit on one silent connection
  // after the other.
  test('is not reused after a call on another one got no answer', async () => {
    const {port} = server.address() as AddressInfo;
    const relay = await startRelay('127.0.0.1:0', `127.0.0.1:${port}`);
    const client = createHttpClient({
      url: `http://${relay.address}`,
      clock: createProcessClock(),
      timeoutMs: 200,
    });
    const call = () => client.call({method: 'GET', path: '/'});
    await Promise.all([call(), call(), call()]);
    relay.apply({silence: true});
    expect((await call()).isRight()).toBe(false);
    expect((await call()).isRight()).toBe(true);
    await client.close();
    await relay.close();
  });

  // A call that is sent while the server closes its idle connection has an
  // unknown outcome. The client therefore closes it well before the server.
  test('is reused at once, but not shortly before the server closes it', async () => {
    const {port} = server.address() as AddressInfo;
    const client = createHttpClient({
      url: `http://127.0.0.1:${port}`,
      clock: createProcessClock(),
    });
    const call = () => client.call({method: 'GET', path: '/'});
    await call();
    await call();
    expect(connections).toBe(1);
    await wait(SERVER_IDLE_TIMEOUT_MS - 1_000);
    expect((await call()).isRight()).toBe(true);
    expect(connections).toBe(2);
    await client.close();
  });

  // A server may state a shorter time in a later answer. A call on a connection
  // that is kept by an earlier statement would cross its close.
  test.each([2_000, 1_000])(
    'is kept by the newest time that the server stated, %i ms',
    async shorterMs => {
      const {port} = server.address() as AddressInfo;
      const client = createHttpClient({
        url: `http://127.0.0.1:${port}`,
        clock: createProcessClock(),
      });
      const call = () => client.call({method: 'GET', path: '/'});
      await call();
      server.keepAliveTimeout = shorterMs;
      await call();
      expect(connections).toBe(1);
      await wait(shorterMs - 1_000 + 200);
      expect((await call()).isRight()).toBe(true);
      expect(connections).toBe(2);
      await client.close();
    },
  );
});

describe('a call whose answer came while the process stood still', () => {
  // Guards against calls of unknown outcome beside a stall: the timer of a call
  // runs before what has come is read.
  test('is answered', async () => {
    server.prependListener('request', (_req, res: ServerResponse) => {
      res.once('finish', () => {
        const endsAt = performance.now() + STALL_MS;
        while (performance.now() < endsAt);
      });
    });
    const {port} = server.address() as AddressInfo;
    const client = createHttpClient({
      url: `http://127.0.0.1:${port}`,
      clock: createProcessClock(),
      timeoutMs: STALL_MS / 2,
    });
    expect((await client.call({method: 'GET', path: '/'})).isRight()).toBe(
      true,
    );
    await client.close();
  });
});
