/**
 * A caller that sends several requests at once on a kept connection, and goes on
 * with the next ones when all are answered, until the entry says that it closes
 * the connection or closes it.
 */
import {connect} from 'node:net';
import {KEY} from '../../standins/users_platform/deployment.js';
import {requestText} from '../kept_connection.js';

/** Paths of the requests that are sent at once: a stream, and two behind it. */
const PATHS = ['/stream/', '/once/', '/once/'] as const;
const HEADERS = [`Authorization: Token ${KEY}`, 'X-Token-Usage: 1000,100'];
/** Time that a caller gives its requests. */
export const DEADLINE_MS = 4_000;

/** How one request ended. Times are steady milliseconds. */
export interface PipelinedOutcome {
  readonly id: string;
  /** Of the first request that was sent with it. */
  readonly firstId: string;
  readonly entry: number;
  readonly writtenAt: number;
  readonly endedAt: number;
  /** Undefined where the connection ended without a whole answer. */
  readonly status: number | undefined;
  /** Some of its answer came. */
  readonly hasBegun: boolean;
}

export interface PipeliningCaller {
  readonly entry: number;
  /** IP:PORT of the entry. */
  readonly address: string;
  nextId(): string;
  isOver(): boolean;
  onEnd(outcome: PipelinedOutcome): void;
}

interface Waiting {
  readonly id: string;
  readonly firstId: string;
  readonly writtenAt: number;
}

/** Uses one connection until it ends; always resolves. */
export function useConnection(caller: PipeliningCaller): Promise<void> {
  const {entry, address, nextId, isOver, onEnd} = caller;
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  let waiting: Waiting[] = [];
  let text = '';
  let isClosing = false;

  const sendNext = (): void => {
    const ids = PATHS.map(nextId);
    const writtenAt = performance.now();
    waiting = ids.map(id => ({id, firstId: ids[0], writtenAt}));
    const texts = ids.map((id, at) =>
      requestText({
        id,
        path: PATHS[at],
        headers: HEADERS,
        deadlineMs: DEADLINE_MS,
      }),
    );
    socket.write(texts.join(''));
  };
  const take = (): void => {
    for (;;) {
      const answer = readAnswer(text);
      if (answer === undefined) return;
      text = text.slice(answer.length);
      const {status} = answer;
      isClosing ||= answer.closes;
      const [first, ...rest] = waiting;
      waiting = rest;
      if (first === undefined) continue;
      const endedAt = performance.now();
      onEnd({...first, entry, endedAt, status, hasBegun: true});
      if (rest.length > 0) continue;
      if (isClosing || isOver()) socket.destroy();
      else sendNext();
    }
  };
  socket.on('connect', sendNext);
  socket.on('data', (piece: Buffer) => {
    text += piece.toString('latin1');
    take();
  });
  return new Promise(resolve => {
    socket.on('error', () => undefined);
    socket.on('close', () => {
      const endedAt = performance.now();
      waiting.forEach((it, at) => {
        const hasBegun = at === 0 && text !== '';
        onEnd({...it, entry, endedAt, status: undefined, hasBegun});
      });
      resolve();
    });
  });
}

export interface Answer {
  readonly status: number;
  readonly closes: boolean;
  readonly head: string;
  /** Of all its text. */
  readonly length: number;
}

/** Reads the answer at the start of the text; undefined until it is whole. */
export function readAnswer(text: string): Answer | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const from = headEnd + 4;
  const declared = /\r\ncontent-length: *(\d+)/i.exec(head);
  const length =
    declared === null ? endOfChunks(text, from) : from + Number(declared[1]);
  if (length === undefined || text.length < length) return undefined;
  const status = Number(head.slice(9, 12));
  return {status, closes: /\r\nconnection: *close/i.test(head), head, length};
}

function endOfChunks(text: string, from: number): number | undefined {
  for (let at = from; ;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(text.slice(at, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (size === 0) return end;
    at = end;
  }
}
