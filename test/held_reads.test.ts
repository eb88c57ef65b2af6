/** Connections that are not read for a while, under Node's HTTP code. */
import {createServer, request} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test} from 'vitest';
import {holdReads, releaseReads} from '../src/utils/held_reads.js';

const PIECES = 3_000;
const CHUNKS = '1\r\nx\r\n'.repeat(PIECES);
const END = '0\r\n\r\n';
const SETTLE_MS = 60;

const closers: Array<() => void> = [];
afterEach(() => closers.splice(0).forEach(close => close()));

async function listen(server: Pick<Server, 'listen' | 'address' | 'close'>) {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  return (server.address() as AddressInfo).port;
}

/** Counts the pieces of a body, whose message is never paused. */
function countPieces(message: IncomingMessage) {
  const counted = {pieces: 0, hasEnded: false};
  message.on('data', () => counted.pieces++);
  message.on('end', () => (counted.hasEnded = true));
  message.on('error', () => undefined);
  return counted;
}

// Guards against a hold that Node's HTTP client undoes, and against pieces that
// wait in the message.
test('an answer that is held is not read on until it is released', async () => {
  let peer: Socket | undefined;
  const server = createTcpServer(socket => {
    peer = socket;
    closers.push(() => socket.destroy());
    const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
    socket.once('data', () => socket.write(head + CHUNKS));
  });
  const port = await listen(server);
  const req = request({port, host: '127.0.0.1', agent: false});
  const answered = new Promise<IncomingMessage>(resolve =>
    req.once('response', resolve),
  );
  req.end();
  const res = await answered;
  const counted = countPieces(res);
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(PIECES);
  holdReads(res.socket, 'turn');
  holdReads(res.socket, 'reader');
  peer?.write(CHUNKS);
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(PIECES);
  expect(res.readableLength).toBe(0);
  releaseReads(res.socket, 'turn');
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(PIECES);
  releaseReads(res.socket, 'reader');
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(2 * PIECES);
  peer?.write(END);
  await sleep(SETTLE_MS);
  expect(counted.hasEnded).toBe(true);
});

test('an upload that is held is not read on until it is released', async () => {
  let received: IncomingMessage | undefined;
  const counted = {pieces: 0};
  const server = createServer((req, res) => {
    received = req;
    req.on('data', () => counted.pieces++);
    req.on('end', () => res.end('well'));
  });
  const port = await listen(server);
  const caller = connect(port, '127.0.0.1');
  closers.push(() => caller.destroy());
  let answer = '';
  caller.on('data', piece => (answer += String(piece)));
  const head =
    'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
  caller.write(head + CHUNKS);
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(PIECES);
  const {socket} = received as IncomingMessage;
  holdReads(socket, 'turn');
  caller.write(CHUNKS);
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(PIECES);
  releaseReads(socket, 'turn');
  caller.write(END);
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(2 * PIECES);
  expect(answer).toMatch(/^HTTP\/1\.1 200 /);
  // The next request on the connection is read as usual.
  answer = '';
  caller.write(head + CHUNKS + END);
  await sleep(SETTLE_MS);
  expect(counted.pieces).toBe(3 * PIECES);
  expect(answer).toMatch(/^HTTP\/1\.1 200 /);
});

test('a release without a hold changes nothing', () => {
  const socket = connect({port: 1, host: '127.0.0.1'});
  socket.on('error', () => undefined);
  closers.push(() => socket.destroy());
  const {pause, resume} = socket;
  releaseReads(socket, 'turn');
  holdReads(socket, 'turn');
  expect(socket.resume).not.toBe(resume);
  releaseReads(socket, 'room');
  expect(socket.resume).not.toBe(resume);
  releaseReads(socket, 'turn');
  expect([socket.pause, socket.resume]).toEqual([pause, resume]);
});
