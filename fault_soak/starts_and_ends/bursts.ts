/**
 * Bursts of callers at one entry: large bodies, bodies whose end comes late, and
 * callers that don't read a large answer.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/types/runtime.js';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {readAnswer} from '../stops_and_records/pipelining_caller.js';
import type {CallerOutcome, Span} from './starts_judge.js';

/** As the users' sheets have it. */
export const MAX_BODY_BYTES = 4_194_304;
export const BULK_PATH = '/bulk/';
export const ENDLESS_PATH = '/endless/';
/** Paths under it get an answer of the largest size. */
export const BULKY_ANSWER = `${BULK_PATH}answer`;

/** Callers of a burst; together they send no more than `BURST_BYTES`. */
const CALLERS = [30, 60, 120, 300] as const;
const BURST_BYTES = 251_658_240;
const LATE_END_MS = 2_000;
const UNREAD_MS = 3_000;
/** Longer than any request may take. */
const GIVE_UP_MS = 25_000;
const DEADLINE_MS = 12_000;

const KINDS = ['whole', 'late', 'unread'] as const;
const FILLER = Buffer.alloc(MAX_BODY_BYTES, 'x');

export interface Burst extends Span {
  readonly entry: number;
  readonly kind: string;
}

export async function playBurst(
  entry: number,
  address: string,
  random: Random,
  nextId: () => string,
  onEnd: (outcome: CallerOutcome) => void,
): Promise<Burst> {
  const callers = CALLERS[Math.floor(random.next() * CALLERS.length)];
  const kind = KINDS[Math.floor(random.next() * KINDS.length)];
  const bytes = Math.min(MAX_BODY_BYTES, Math.floor(BURST_BYTES / callers));
  const from = performance.now();
  const one = async (): Promise<void> => {
    if (kind === 'unread') return leaveUnread(address, nextId());
    const sentAt = performance.now();
    const lateMs = kind === 'late' ? LATE_END_MS : 0;
    const status = await sendBody(address, nextId(), bytes, lateMs);
    const endedAt = performance.now();
    onEnd({kind: 'large', entry, sentAt, endedAt, status});
  };
  await Promise.all(Array.from({length: callers}, one));
  return {entry, kind: `${kind} ${callers}`, from, to: performance.now()};
}

/** Asks for an endless answer, and reads it or not. */
export async function askEndless(
  address: string,
  id: string,
  isRead: boolean,
): Promise<void> {
  const socket = open(address);
  if (isRead) socket.resume();
  socket.write(headOf(ENDLESS_PATH, id, 0));
  await sleep(UNREAD_MS);
  socket.destroy();
}

async function leaveUnread(address: string, id: string): Promise<void> {
  const socket = open(address);
  socket.write(headOf(BULKY_ANSWER, id, 0));
  await sleep(UNREAD_MS);
  socket.destroy();
}

/** The status of the answer; undefined if the connection ends without one. */
function sendBody(
  address: string,
  id: string,
  bytes: number,
  lateMs: number,
): Promise<number | undefined> {
  const socket = open(address);
  let text = '';
  socket.write(headOf(BULK_PATH, id, bytes));
  socket.write(FILLER.subarray(0, bytes - 1));
  const ends = setTimeout(() => socket.write('x'), lateMs);
  const givesUp = setTimeout(() => socket.destroy(), GIVE_UP_MS);
  return new Promise(resolve => {
    socket.on('data', (piece: Buffer) => {
      text += piece.toString('latin1');
      const answer = readAnswer(text);
      if (answer === undefined) return;
      resolve(answer.status);
      socket.destroy();
    });
    socket.on('close', () => {
      clearTimeout(ends);
      clearTimeout(givesUp);
      resolve(undefined);
    });
  });
}

function open(address: string): Socket {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  // Seen as its close.
  socket.on('error', () => undefined);
  return socket;
}

function headOf(path: string, id: string, bytes: number): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `Authorization: Token ${KEY}`,
    `X-Deadline-Ms: ${DEADLINE_MS}`,
    `Content-Length: ${bytes}`,
    '',
    '',
  ].join('\r\n');
}
