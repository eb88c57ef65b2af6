/** A replica's answers that never end, in the head or behind it. */
import type {Socket} from 'node:net';
import type {Behaviour} from '../../standins/users_platform/replica.js';

const PIECE_BYTES = 32_768;
/** Bounds what one of them sends to some megabytes a second. */
const PAUSE_MS = 5;

const FILLER = 'x'.repeat(PIECE_BYTES);
const HEAD = 'HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n`;
const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${FILLER}\r\n`;
const LINES = `X-More: ${'y'.repeat(100)}\r\n`.repeat(300);

/** What is sent first, and then again and again. */
const KINDS: {readonly [kind: string]: readonly [string, string]} = {
  head: ['HTTP/1.1 200 OK\r\nX-Long: ', FILLER],
  headers: ['HTTP/1.1 200 OK\r\n', LINES],
  interim: ['', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1_000)],
  noise: ['', '\u0000\u0001noise'.repeat(4_000)],
  body: [`${CHUNKED}\r\n`, CHUNK],
  unframed: [`${HEAD}Connection: close\r\n\r\n`, FILLER],
  extension: [`${CHUNKED}\r\n5;`, FILLER],
  trailers: [`${CHUNKED}\r\n0\r\n`, LINES],
  events: [
    `${CHUNKED}Content-Type: text/event-stream\r\n\r\n5\r\ndata:\r\n`,
    CHUNK,
  ],
  surplus: [`${HEAD}Content-Length: 2\r\n\r\nok`, FILLER],
};
export const ENDLESS_KINDS = Object.keys(KINDS);

export function endlessly(
  kind: string,
  onAnswer: (kind: string) => void,
): Behaviour {
  const [first, again] = KINDS[kind];
  return (_arrival, _res, req) => {
    onAnswer(kind);
    req.socket.write(first);
    pump(req.socket, again);
  };
}

/** Goes on until the other side closes the connection, at its pace. */
function pump(socket: Socket, text: string): void {
  const timer = setInterval(() => {
    if (!socket.writableNeedDrain) socket.write(text, 'latin1');
  }, PAUSE_MS);
  socket.once('close', () => clearInterval(timer));
}
