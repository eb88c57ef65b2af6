/**
 * Answers that end at their head, whatever body it promises: how the entry reads
 * them, with each version of Node's parser, and which bytes its caller gets.
 */
import {IncomingMessage} from 'node:http';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterEach, describe, expect, test, vi} from 'vitest';
import {openDispatch} from '../../src/direct/dispatch.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {eventText, signed} from '../../standins/users_platform/replica.js';
import {startDirectFleet, until} from '../support/direct_fleet.js';

const PROMISES = ['Content-Length: 5', 'Transfer-Encoding: chunked'];
const STATUSES = ['204 No Content', '304 Not Modified'];

describe('a parser that awaits the promised body', () => {
  let server: Server;
  let sockets: Socket[] = [];
  afterEach(async () => {
    vi.restoreAllMocks();
    sockets.forEach(socket => socket.destroy());
    sockets = [];
    await new Promise(resolve => server.close(resolve));
  });

  /** Resolves with the callbacks, in order, until the attempt has ended. */
  async function callbacksOf(head: string, method: string): Promise<string[]> {
    // No answer ends by the parser.
    vi.spyOn(IncomingMessage.prototype, 'push').mockReturnValue(true);
    server = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(`${head}\r\n\r\n`));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const spec = {
      address: `127.0.0.1:${port}`,
      method,
      path: '/a',
      headers: ['X-Request-Id', 'a', 'Content-Length', '0'],
      body: Buffer.alloc(0),
    };
    const callbacks: string[] = [];
    await new Promise<void>(resolve => {
      const dispatch = openDispatch(spec, createProcessClock(), {
        onHead: ({status}) => callbacks.push(`head ${status}`),
        onData: chunk => callbacks.push(`data ${chunk}`),
        onEnd: endsWithConnection => {
          callbacks.push(`end ${endsWithConnection}`);
          resolve();
        },
        onBroken: (_sent, reason) => {
          callbacks.push(`broken ${reason}`);
          resolve();
        },
      });
      setTimeout(dispatch.cancel, 1_000).unref();
      setTimeout(resolve, 1_100).unref();
    });
    await until(() => sockets.every(socket => socket.destroyed));
    return callbacks;
  }

  // Guards against a whole answer that is taken for one that broke off, and
  // against a connection that stays open for the rest of it.
  test.each(
    STATUSES.flatMap(status => PROMISES.map(promise => ({status, promise}))),
  )('does not delay the end of $status, $promise', async it => {
    const head = `HTTP/1.1 ${it.status}\r\n${it.promise}`;
    const status = it.status.slice(0, 3);
    expect(await callbacksOf(head, 'POST')).toEqual([
      `head ${status}`,
      'end false',
    ]);
  });

  // Guards against the same for a request that asks for the head only.
  test('does not delay the answer to HEAD', async () => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Length: 5';
    expect(await callbacksOf(head, 'HEAD')).toEqual(['head 200', 'end false']);
  });
});

// Guards against callers that wait for a body which a 204 can't have, or that
// take the next answer for it.
test('a caller gets a 204 without a length, chunks or a body', async () => {
  const fleet = await startDirectFleet();
  for (const replica of [...fleet.desk, ...fleet.pool]) {
    replica.behave((arrival, _res, {socket}) => {
      const own = Object.entries(signed(arrival)).map(it => it.join(': '));
      const promise = PROMISES[Number(arrival.path.at(-1))];
      const head = ['HTTP/1.1 204 No Content', ...own, promise].join('\r\n');
      socket.end(`${head}\r\n\r\n${eventText(1)}`);
    });
  }
  const [host, port] = fleet.callers.split(':');
  for (const path of ['/again/', '/once/', '/stream/']) {
    for (const at of PROMISES.keys()) {
      const bytes = await new Promise<string>((resolve, reject) => {
        const socket = connect(Number(port), host);
        let text = '';
        socket.on('data', chunk => (text += chunk.toString('latin1')));
        socket.on('end', () => resolve(text));
        socket.on('error', reject);
        socket.write(
          `POST ${path}${at} HTTP/1.1\r\nHost: ${HOST}\r\n` +
            `Authorization: Token ${KEY}\r\nX-Request-Id: ${path}${at}\r\n` +
            'X-Token-Usage: 10,10\r\nConnection: close\r\n' +
            'Content-Length: 0\r\n\r\n',
        );
      });
      expect(bytes).toMatch(/^HTTP\/1\.1 204 No Content\r\n/);
      expect(bytes).not.toMatch(/content-length|transfer-encoding/i);
      expect(bytes.split('\r\n\r\n')[1]).toBe('');
    }
  }
  await fleet.close();
});
