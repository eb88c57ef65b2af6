/** Callers beside floods: calm ones, ones that flood, and ones that don't read. */
import {request} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST} from '../../standins/users_platform/deployment.js';
import {writeFlood} from './flooding.js';
import type {FloodForm} from './flood_forms.js';

/** Time that a caller gives a request. */
export const DEADLINE_MS = 8_000;

/** What a caller got. Times are steady milliseconds. */
export interface FloodOutcome {
  readonly entry: number;
  readonly path: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined where no answer began. */
  readonly status: number | undefined;
  readonly isWhole: boolean;
  readonly bytes: number;
}

export interface CallShape {
  readonly entry: number;
  /** IP:PORT. */
  readonly address: string;
  readonly path: string;
  readonly id: string;
  /** @default what the deadline allows */
  readonly limitMs?: number;
}

const headersOf = (id: string) => ({
  Host: HOST,
  'X-Request-Id': id,
  'X-Token-Usage': '1000,100',
  'X-Deadline-Ms': String(DEADLINE_MS),
});

/** A call over a new connection; always resolves. */
export function call(shape: CallShape): Promise<FloodOutcome> {
  const {entry, address, path, id, limitMs = DEADLINE_MS} = shape;
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise(resolve => {
    let status: number | undefined;
    let isWhole = false;
    let bytes = 0;
    const headers = headersOf(id);
    const options = {host, port, path, method: 'POST', agent: false, headers};
    const req = request(options, res => {
      status = res.statusCode;
      res.on('data', (piece: Buffer) => (bytes += piece.length));
      res.on('error', () => undefined);
      res.once('close', () => {
        isWhole = res.complete;
      });
    });
    const timer = setTimeout(() => req.destroy(), limitMs);
    req.on('error', () => undefined);
    req.once('close', () => {
      clearTimeout(timer);
      const endedAt = performance.now();
      resolve({entry, path, sentAt, endedAt, status, isWhole, bytes});
    });
    req.end('a prompt');
  });
}

const rawHead = (path: string, id: string, lines: readonly string[]) =>
  [
    `POST ${path} HTTP/1.1`,
    ...Object.entries(headersOf(id)).map(it => it.join(': ')),
    ...lines,
  ].join('\r\n') + '\r\n\r\n';

/** A caller that leaves its answer unread, and then its connection. */
export async function callWithoutReading(
  {address, path, id}: CallShape,
  forMs: number,
): Promise<void> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(`${rawHead(path, id, ['Content-Length: 8'])}a prompt`);
  await sleep(forMs);
  socket.destroy();
}

/** A caller that uploads a flood, and then leaves in order. */
export async function callWithFlood(
  {address, path, id}: CallShape,
  form: FloodForm,
  forMs: number,
): Promise<void> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(rawHead(path, id, form.framing));
  writeFlood(socket, form);
  await sleep(forMs);
  socket.destroy();
}
