/**
 * What a start can meet: addresses that others hold, settings not yet whole, a
 * clock that jumps.
 */
import {createSocket} from 'node:dgram';
import {rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/types/runtime.js';

/** Order of an entry's addresses; peers use theirs for both protocols. */
export const HELD = [
  'callers',
  'ready',
  'metrics',
  'peers-tcp',
  'peers-udp',
] as const;
export type Held = (typeof HELD)[number];

export const BROKEN_SETTINGS = ['absent', 'empty', 'half', 'pieces'] as const;
export type BrokenSettings = (typeof BROKEN_SETTINGS)[number];

const PIECES = 12;
const LATEST_JUMP_MS = 1_500;
const LONGEST_JUMP_MS = 10_000;

/** Holds one of an entry's addresses; resolves to what releases it. */
export async function hold(
  which: Held,
  addresses: readonly string[],
): Promise<() => void> {
  const at = Math.min(HELD.indexOf(which), addresses.length - 1);
  const [ip, port] = addresses[at].split(':');
  return which === 'peers-udp'
    ? holdUdp(ip, Number(port))
    : holdTcp(ip, Number(port));
}

async function holdTcp(ip: string, port: number): Promise<() => void> {
  const server = createServer(socket => socket.destroy());
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return () => server.close();
}

async function holdUdp(ip: string, port: number): Promise<() => void> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, ip, resolve);
  });
  return () => socket.close();
}

/** Leaves the file broken, and resolves when it is whole after so long. */
export function breakSettings(
  how: BrokenSettings,
  path: string,
  text: string,
  forMs: number,
): Promise<void> {
  if (how === 'absent') rmSync(path, {force: true});
  else if (how === 'half') writeFileSync(path, text.slice(0, text.length / 2));
  else writeFileSync(path, '');
  return how === 'pieces'
    ? writeInPieces(path, text, forMs)
    : sleep(forMs).then(() => writeFileSync(path, text));
}

async function writeInPieces(
  path: string,
  text: string,
  forMs: number,
): Promise<void> {
  const size = Math.ceil(text.length / PIECES);
  for (let from = 0; from < text.length; from += size) {
    await sleep(forMs / PIECES);
    writeFileSync(path, text.slice(from, from + size), {flag: 'a'});
  }
}

/** Text of a program whose time of day jumps soon after its start, and back. */
export function jumpingClock(random: Random): string {
  const from = Math.floor(random.next() * LATEST_JUMP_MS);
  const to = from + Math.floor(random.next() * LONGEST_JUMP_MS);
  const byMs = Math.floor((2 * random.next() - 1) * LONGEST_JUMP_MS);
  return `"use strict";
{
  const Real = Date;
  const jump = () =>
    performance.now() >= ${from} && performance.now() < ${to} ? ${byMs} : 0;
  globalThis.Date = class extends Real {
    constructor(...args) {
      super(...(args.length === 0 ? [Date.now()] : args));
    }
    static now() {
      return Real.now() + jump();
    }
  };
}
`;
}
