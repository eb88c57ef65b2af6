/**
 * Loopback ports for the processes of a fleet. A port that was free a moment
 * ago may be taken by any outgoing connection, or by another fleet that plans
 * at the same time, before its process listens. So ports come from below the
 * range that the system gives to outgoing connections, in blocks, and a fleet
 * keeps its blocks from others by listening on their first ports.
 */
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import type {Server} from 'node:net';

const IP = '127.0.0.1';
const FIRST_PORT = 10_000;
const BLOCK_PORTS = 100;
const BLOCKS = 200;
/** Of these ports, the one that `fetch` refuses as known for another protocol. */
const REFUSED_PORT = 10_080;

/** Listens on a port; undefined when it is taken. */
function tryListen(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer(socket => socket.destroy());
    server.once('error', () => resolve(undefined));
    server.listen(port, IP, () => resolve(server));
  });
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === undefined) return false;
  await new Promise(done => server.close(done));
  return true;
}

/** Free ports of a block, which stays this process's own until its end. */
async function takeBlock(block: number): Promise<readonly number[]> {
  const guardPort = FIRST_PORT + block * BLOCK_PORTS;
  const guard = await tryListen(guardPort);
  if (guard === undefined) return [];
  guard.unref();
  const free: number[] = [];
  for (let port = guardPort + 1; port < guardPort + BLOCK_PORTS; port++) {
    if (port !== REFUSED_PORT && (await isFree(port))) free.push(port);
  }
  return free;
}

/**
 * Hands out loopback ports that no other fleet is given, from the block `start`
 * on.
 */
export async function freeAddresses(
  count: number,
  start = randomInt(BLOCKS),
): Promise<string[]> {
  const ports: number[] = [];
  for (let i = 0; i < BLOCKS && ports.length < count; i++) {
    ports.push(...(await takeBlock((start + i) % BLOCKS)));
  }
  if (ports.length < count) throw new Error('no free loopback ports are left');
  return ports.slice(0, count).map(port => `${IP}:${port}`);
}
