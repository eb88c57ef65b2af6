/** Callers that keep connections, against servers that end them. */
import {get} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {useConnection, watchLocalEnd} from '../fault_soak/kept_connection.js';
import type {KeptOutcome, KeptRequest} from '../fault_soak/kept_connection.js';

let server: Server;
afterEach(() => server.close());

async function listen(take: (socket: Socket) => void): Promise<string> {
  server = createServer(take);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function outcomesAt(address: string) {
  const outcomes: Array<KeptOutcome<KeptRequest>> = [];
  await useConnection<KeptRequest>({
    address,
    nextRequest: () => ({id: 'a', path: '/a', deadlineMs: 1_000}),
    pauseMs: () => 0,
    isOver: () => outcomes.length > 1,
    onEnd: it => outcomes.push(it),
  });
  return outcomes;
}

// Guards against a reset that can't be matched with the line that tells of it, since
// the caller never saw its connection open.
test('a caller knows its end of a connection that is reset at once', async () => {
  const ends: string[] = [];
  const address = await listen(socket => {
    ends.push(`${socket.remoteAddress}:${socket.remotePort}`);
    socket.resetAndDestroy();
  });
  const [outcome] = await outcomesAt(address);
  expect(outcome).toMatchObject({isWhole: false, status: undefined});
  let localEnd: () => string | undefined = () => undefined;
  const req = get(`http://${address}/`, {agent: false});
  req.once('socket', socket => {
    localEnd = watchLocalEnd(socket);
  });
  await new Promise(resolve => req.once('error', resolve));
  expect([outcome.connection, localEnd()]).toEqual(ends);
});

// Guards against a caller that takes a refused connection for one that was open.
test('a caller tells of a connection that nobody takes', async () => {
  const address = await listen(() => undefined);
  await new Promise(resolve => server.close(resolve));
  const [outcome, ...others] = await outcomesAt(address);
  expect(outcome).toMatchObject({request: undefined, isTaken: false});
  expect(others).toEqual([]);
});

// Guards against bytes that no request asked for, taken for the next one's answer.
test('a caller leaves a connection with bytes behind an answer', async () => {
  const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
  const address = await listen(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(`${answer}more`));
  });
  const [outcome, ...others] = await outcomesAt(address);
  expect(outcome).toMatchObject({isWhole: true, surplus: 'more'});
  expect(others).toEqual([]);
});
