/**
 * A caller that sends one request after the other on a connection until it closes,
 * the text of its requests, and what it has read of an answer, byte by byte.
 */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {HOST} from '../standins/users_platform/deployment.js';

export interface KeptRequest {
  readonly id: string;
  readonly path: string;
  /** Lines of its head besides the usual ones. */
  readonly headers?: readonly string[];
  readonly deadlineMs: number;
  /** The caller closes the connection after so long. @default it stays */
  readonly leavesAfterMs?: number;
}

/** How a request, or a connection without one, ended. Times are steady. */
export interface KeptOutcome<R extends KeptRequest> extends ReadSoFar {
  /** Undefined where the connection was not taken. */
  readonly request: R | undefined;
  /** IP:PORT of the caller's end. */
  readonly connection: string | undefined;
  /** Whether the connection was seen open. */
  readonly isTaken: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly hasLeft: boolean;
}

export interface KeptCaller<R extends KeptRequest> {
  /** IP:PORT. */
  readonly address: string;
  nextRequest(): R;
  /** Time until its next request, in milliseconds. */
  pauseMs(): number;
  isOver(): boolean;
  onEnd(outcome: KeptOutcome<R>): void;
}

/** A caller waits so much longer than its deadline for the end of an answer. */
const PATIENCE_MS = 4_000;

/** Uses one connection until it ends; always resolves. */
export function useConnection<R extends KeptRequest>(
  caller: KeptCaller<R>,
): Promise<void> {
  const [host, port] = caller.address.split(':');
  const socket = connect({host, port: Number(port)});
  let sent: {readonly request?: R; readonly sentAt: number} | undefined = {
    sentAt: performance.now(),
  };
  const localEnd = watchLocalEnd(socket);
  let isTaken = false;
  let text = '';
  let hasLeft = false;
  let patience: NodeJS.Timeout | undefined;
  const end = (answer: ReadSoFar): void => {
    clearTimeout(patience);
    if (sent === undefined) return;
    const endedAt = performance.now();
    const connection = localEnd();
    const times = {sentAt: sent.sentAt, endedAt};
    const {request} = sent;
    caller.onEnd({...answer, ...times, request, connection, isTaken, hasLeft});
    sent = undefined;
    text = '';
  };
  const leave = (request: R): void => {
    if (sent?.request !== request) return;
    hasLeft = true;
    socket.destroy();
  };
  const sendNext = (): void => {
    sent = undefined;
    if (caller.isOver()) return void socket.destroy();
    const request = caller.nextRequest();
    const {deadlineMs, leavesAfterMs} = request;
    sent = {request, sentAt: performance.now()};
    patience = setTimeout(() => socket.destroy(), deadlineMs + PATIENCE_MS);
    socket.write(requestText(request));
    if (leavesAfterMs !== undefined) setTimeout(leave, leavesAfterMs, request);
  };
  socket.on('connect', () => {
    isTaken = true;
    sendNext();
  });
  socket.on('data', (piece: Buffer) => {
    text += piece.toString('latin1');
    if (sent === undefined) return void socket.destroy();
    const answer = readSoFar(text);
    if (!answer.isWhole) return;
    end(answer);
    if (answer.closes || answer.surplus !== '') socket.destroy();
    else setTimeout(sendNext, caller.pauseMs());
  });
  return new Promise(resolve => {
    // Seen as its close.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      end(readSoFar(text));
      resolve();
    });
  });
}

/**
 * Reads IP:PORT of a socket's own end, which the kernel assigns before the other
 * side takes the connection. One that is reset at once has no other name in the
 * log of the process that reset it.
 */
export function watchLocalEnd(socket: Socket): () => string | undefined {
  let end: string | undefined;
  const read = () => {
    const {localAddress, localPort} = socket;
    if (localPort !== undefined) end ??= `${localAddress}:${localPort}`;
  };
  // Node connects in the tick after the call.
  process.nextTick(read);
  socket.once('connect', read);
  return () => end;
}

export function requestText(request: KeptRequest): string {
  const {id, path, headers = [], deadlineMs} = request;
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    ...headers,
    `X-Deadline-Ms: ${deadlineMs}`,
    'Content-Length: 8',
    '',
    'a prompt',
  ].join('\r\n');
}

/** What of an answer has come. */
export interface ReadSoFar {
  /** Undefined until its head has come. */
  readonly status: number | undefined;
  readonly seal: string | undefined;
  readonly hasRetryAfter: boolean;
  /** As far as it came. */
  readonly body: string;
  readonly isWhole: boolean;
  /** Bytes on the connection that no answer was due for. */
  readonly surplus: string;
  readonly closes: boolean;
}

const NOTHING: ReadSoFar = {
  status: undefined,
  seal: undefined,
  hasRetryAfter: false,
  body: '',
  isWhole: false,
  surplus: '',
  closes: false,
};

/** Reads an answer; one that only its connection ends isn't known to be whole. */
export function readSoFar(text: string): ReadSoFar {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return NOTHING;
  const head = text.slice(0, headEnd);
  const rest = text.slice(headEnd + 4);
  const status = Number(head.slice(9, 12));
  const seal = /\r\nx-response-seal: *([^\r]*)/i.exec(head)?.[1];
  const closes = /\r\nconnection: *close/i.test(head);
  const hasRetryAfter = /\r\nretry-after: *\d/i.test(head);
  const read = {...NOTHING, status, seal, hasRetryAfter, closes};
  if (/\r\ntransfer-encoding: *chunked/i.test(head)) {
    return {...read, ...readChunks(rest)};
  }
  const declared = /\r\ncontent-length: *(\d+)/i.exec(head)?.[1];
  const isBare = status < 200 || status === 204 || status === 304;
  const length = isBare ? 0 : Number(declared ?? Infinity);
  const isWhole = rest.length >= length;
  const surplus = isWhole ? rest.slice(length) : '';
  return {...read, body: rest.slice(0, length), isWhole, surplus};
}

function readChunks(
  text: string,
): Pick<ReadSoFar, 'body' | 'isWhole' | 'surplus'> {
  let body = '';
  for (let at = 0; ;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return {body, isWhole: false, surplus: ''};
    const size = parseInt(text.slice(at, lineEnd), 16);
    const from = lineEnd + 2;
    const end = from + size + 2;
    body += text.slice(from, from + size);
    if (!(text.length >= end)) return {body, isWhole: false, surplus: ''};
    if (size === 0) return {body, isWhole: true, surplus: text.slice(end)};
    at = end;
  }
}
