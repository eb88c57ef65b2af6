/** The relay that stands for the network in process tests and the soak. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {startRelay} from '../standins/relay_core.js';
import type {Relay} from '../standins/relay_core.js';
import {until} from './support/direct_fleet.js';

let echo: Server;
let relay: Relay;
beforeEach(async () => {
  echo = createServer(socket => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  await new Promise<void>(resolve => {
    echo.listen(0, '127.0.0.1', resolve);
  });
  const {port} = echo.address() as AddressInfo;
  relay = await startRelay('127.0.0.1:0', `127.0.0.1:${port}`);
});
afterEach(async () => {
  await relay.close();
  echo.close();
});

function open() {
  const [host, port] = relay.address.split(':');
  const socket = connect(Number(port), host);
  let came = '';
  socket.on('data', piece => {
    came += piece.toString();
  });
  socket.on('error', () => undefined);
  return {socket, came: () => came};
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a relay', () => {
  // A delay ends while pieces are under way. The next ones must not overtake
  // them: no network reorders the bytes of a TCP connection.
  test('keeps the order of bytes when its delay changes', async () => {
    const {socket, came} = open();
    relay.apply({delayMs: 100});
    socket.write('a');
    await pause(30);
    relay.apply({delayMs: 0});
    socket.write('b');
    await until(() => came().length === 2);
    expect(came()).toBe('ab');
    socket.destroy();
  });

  // One direction is cut for a while. TCP sends again what was lost, so both
  // ends see a pause and no gap.
  test('brings what was sent into a cut after it', async () => {
    const {socket, came} = open();
    socket.write('a');
    await until(() => came() === 'a');
    relay.apply({cut: 'towards-caller'});
    socket.write('b');
    await pause(50);
    expect(came()).toBe('a');
    relay.apply({cut: 'none'});
    await until(() => came() === 'ab');
    socket.destroy();
  });

  test('forgets connections without telling either end', async () => {
    const first = open();
    first.socket.write('a');
    await until(() => first.came() === 'a');
    relay.apply({silence: true});
    first.socket.write('b');
    const second = open();
    second.socket.write('c');
    await until(() => second.came() === 'c');
    expect(first.came()).toBe('a');
    expect(relay.counts()).toMatchObject({open: 2, silent: 1});
    first.socket.destroy();
    second.socket.destroy();
  });
});
