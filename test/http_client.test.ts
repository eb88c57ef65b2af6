/** The client of the platform's services, and connections that are kept. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createHttpClient} from '../src/stores/http_client.js';
import {createProcessClock} from '../src/utils/clock.js';

const SERVER_KEEPS_MS = 5_000;

let server: Server;
let connections = 0;
beforeEach(async () => {
  connections = 0;
  server = createServer((_req, res) => res.end('well'));
  server.keepAliveTimeout = SERVER_KEEPS_MS;
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

describe('a kept connection', () => {
  // The server closes a connection that was idle for five seconds. A call sent
  // on it in that instant breaks, and whether it took effect is unknown: a
  // request that may not repeat would be refused for it. So a connection is
  // given up well before the server does it.
  test('is used again at once, and not shortly before its end', async () => {
    const {port} = server.address() as AddressInfo;
    const client = createHttpClient({
      url: `http://127.0.0.1:${port}`,
      clock: createProcessClock(),
    });
    const call = () => client.call({method: 'GET', path: '/'});
    await call();
    await call();
    expect(connections).toBe(1);
    await wait(SERVER_KEEPS_MS - 1_000);
    expect((await call()).isRight()).toBe(true);
    expect(connections).toBe(2);
    await client.close();
  });
});
