/** A raw TCP server that gives each request an odd answer. */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {readAnswer} from '../stops_and_records/pipelining_caller.js';
import type {OddAnswer} from './odd_answers.js';

/** The head of a request that came. */
export interface Asked {
  readonly method: string;
  readonly path: string;
  readonly id: string;
  /** Id of the last event that the sender has; 0 without one. */
  readonly lastEvent: number;
}

export interface OddServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Pause between two pieces of an answer. */
const PIECE_GAP_MS = 3;

export async function startOddServer(
  ip: string,
  answer: (asked: Asked) => OddAnswer,
  port = 0,
): Promise<OddServer> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    serve(socket, answer);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        sockets.forEach(socket => socket.destroy());
      }),
  };
}

function serve(socket: Socket, answer: (asked: Asked) => OddAnswer): void {
  let text = '';
  let drawn: OddAnswer | undefined;
  const step = (): void => {
    const headEnd = text.indexOf('\r\n\r\n');
    if (headEnd < 0) return;
    const isFirst = drawn === undefined;
    drawn ??= answer(readHead(text.slice(0, headEnd)));
    if (drawn.isEarly && isFirst) sendAnswer(socket, drawn);
    const end = endOfRequest(text, headEnd);
    if (end === undefined) return;
    text = text.slice(end);
    const {isEarly} = drawn;
    const whole = drawn;
    drawn = undefined;
    if (!isEarly) sendAnswer(socket, whole);
    step();
  };
  socket.on('data', (piece: Buffer) => {
    text += piece.toString('latin1');
    step();
  });
  // Seen as its close.
  socket.on('error', () => undefined);
}

function readHead(head: string): Asked {
  const [method = '', path = ''] = head.split(' ');
  const id = /\r\nx-request-id: *([^\r]*)/i.exec(head)?.[1] ?? '';
  const last = /\r\nlast-event-id: *(\d+)/i.exec(head)?.[1] ?? 0;
  return {method, path, id, lastEvent: Number(last)};
}

/** Undefined until it has come whole. */
function endOfRequest(text: string, headEnd: number): number | undefined {
  const head = text.slice(0, headEnd);
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
  const end = /\r\ntransfer-encoding: *chunked/i.test(head)
    ? readAnswer(text)?.length
    : headEnd + 4 + length;
  return end !== undefined && text.length >= end ? end : undefined;
}

/** Sends it in its pieces, and ends the connection or not. */
export function sendAnswer(socket: Socket, answer: OddAnswer): void {
  const bytes = Buffer.from(answer.text, 'latin1');
  const size = Math.max(1, Math.ceil(bytes.length / answer.pieces));
  const sendFrom = (from: number): void => {
    if (socket.destroyed || !socket.writable) return;
    socket.write(bytes.subarray(from, from + size), () => {
      if (from + size < bytes.length) {
        setTimeout(() => sendFrom(from + size), PIECE_GAP_MS);
      } else if (answer.ends === 'fin') socket.end();
      else if (answer.ends === 'rst') socket.resetAndDestroy();
    });
  };
  if (answer.delayMs === 0) sendFrom(0);
  else setTimeout(() => sendFrom(0), answer.delayMs);
}
