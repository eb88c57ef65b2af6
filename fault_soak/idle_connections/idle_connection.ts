/**
 * One connection of a caller, which notes when bytes were sent and received, and
 * what the last answer stated on how long the connection is kept.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {readAnswer} from '../stops_and_records/pipelining_caller.js';
import type {Answer} from '../stops_and_records/pipelining_caller.js';
import type {LinkConnection} from './delay_link.js';

/** Time that a caller gives its requests. */
export const DEADLINE_MS = 6_000;
/** A caller that has no end by then leaves. */
const HANG_MS = 15_000;

/** Where a request is held back after its first part was sent. */
export type Cut = 'none' | 'in-head' | 'in-body';

/** What a caller sends. */
export interface Asked {
  readonly id: string;
  readonly kind: 'stream' | 'once';
  readonly cut: Cut;
  /** Time between the parts. */
  readonly pauseMs: number;
  readonly headBytes: number;
  readonly bodyBytes: number;
}

/** How a request's connection ended, or `answer` where it was answered. */
export type End = 'answer' | 'end' | 'reset' | 'hang';

/** One request, as its caller saw it. Times are steady milliseconds. */
export interface Seen extends Asked {
  /** Since the last byte received on the connection; undefined on a new one. */
  readonly idleMs: number | undefined;
  /** What the last answer stated before; undefined where it stated nothing. */
  readonly statedMs: number | undefined;
  /** When its caller began to open the connection. */
  readonly openedAt: number;
  readonly beganAt: number;
  /** Undefined where a part of the request was never sent. */
  readonly headSentAt: number | undefined;
  readonly sentAt: number | undefined;
  /** When the link passed on its first byte; undefined where it did not. */
  readonly firstPassedAt: number | undefined;
  /** When the link passed on its last byte; undefined where it did not. */
  readonly passedAt: number | undefined;
  /** When the entry's end came to the link; undefined where none did. */
  readonly entryEndedAt: number | undefined;
  /** First byte of its answer. */
  readonly firstByteAt: number | undefined;
  readonly endedAt: number;
  readonly end: End;
  readonly status: number | undefined;
  /** An answer before it said that the connection closes. */
  readonly isBehindClose: boolean;
}

export interface IdleConnection {
  /** The entry neither closed it nor said that it does. */
  isOpen(): boolean;
  /** When the entry closed it; undefined before. */
  closedAt(): number | undefined;
  /** Last byte received; when it was opened before there was one. */
  idleFrom(): number;
  /** What the last answer stated. */
  statedMs(): number | undefined;
  /** Sends the requests one right behind the other. */
  send(requests: readonly Asked[]): Promise<readonly Seen[]>;
  destroy(): void;
}

interface Waiting {
  readonly asked: Asked;
  readonly beganAt: number;
  /** Bytes that were sent on the connection before it. */
  readonly bytesBefore: number;
  /** Of the whole request. */
  readonly bytes: number;
  headSentAt: number | undefined;
  sentAt: number | undefined;
  firstByteAt: number | undefined;
}

export function createIdleConnection(
  {socket, passage}: LinkConnection,
  openedAt: number,
): IdleConnection {
  let waiting: Waiting[] = [];
  let seen: Seen[] = [];
  let text = '';
  /** Of all requests so far. */
  let allBytes = 0;
  let idleFrom = performance.now();
  let wasUsed = false;
  let statedMs: number | undefined;
  let isClosing = false;
  let isReset = false;
  let closedAt: number | undefined;
  let settle = (): void => undefined;
  /** As it was when the requests were sent. */
  let before: Pick<Seen, 'idleMs' | 'statedMs'>;

  const note = (one: Waiting, end: End, status?: number): void => {
    const {asked, bytesBefore, bytes, ...times} = one;
    const endedAt = performance.now();
    const isBehindClose = isClosing;
    const ended = {openedAt, endedAt, end, status, isBehindClose};
    const atLink = {
      firstPassedAt: passage.passedAt(bytesBefore + 1),
      passedAt: passage.passedAt(bytesBefore + bytes),
      entryEndedAt: passage.entryEndedAt(),
    };
    seen.push({...asked, ...times, ...before, ...atLink, ...ended});
  };
  const endAll = (end: End): void => {
    for (const one of waiting) note(one, end);
    waiting = [];
    settle();
  };
  const take = (answer: Answer): void => {
    text = text.slice(answer.length);
    const stated = /\r\nkeep-alive: *timeout=(\d+)/i.exec(answer.head);
    statedMs = stated === null ? undefined : Number(stated[1]) * 1_000;
    const [first, ...rest] = waiting;
    waiting = rest;
    if (first !== undefined) note(first, 'answer', answer.status);
    // What follows would be taken for the rest of a refused body.
    isClosing ||= answer.closes || first?.sentAt === undefined;
    if (rest.length === 0) settle();
  };
  const close = (end: End): void => {
    closedAt ??= performance.now();
    endAll(end);
  };
  socket.on('data', (piece: Buffer) => {
    idleFrom = performance.now();
    text += piece.toString('latin1');
    if (waiting[0] !== undefined) waiting[0].firstByteAt ??= idleFrom;
    for (let answer = readAnswer(text); answer !== undefined;) {
      take(answer);
      answer = readAnswer(text);
    }
  });
  socket.on('error', () => {
    isReset = true;
  });
  socket.on('end', () => close('end'));
  socket.on('close', () => close(isReset ? 'reset' : 'end'));

  const isOpen = () => !isClosing && closedAt === undefined;
  const write = async (asked: Asked): Promise<void> => {
    const beganAt = performance.now();
    const {head, body} = textOf(asked);
    const bytes = head.length + body.length;
    const one: Waiting = {
      asked,
      beganAt,
      bytesBefore: allBytes,
      bytes,
      headSentAt: undefined,
      sentAt: undefined,
      firstByteAt: undefined,
    };
    allBytes += bytes;
    waiting.push(one);
    const {cut, pauseMs} = asked;
    const half = Math.floor((cut === 'in-head' ? head : body).length / 2);
    if (cut === 'in-head') {
      socket.write(head.slice(0, half));
      await sleep(pauseMs);
      if (!waiting.includes(one)) return;
      socket.write(head.slice(half) + body);
      one.headSentAt = performance.now();
    } else if (cut === 'in-body') {
      socket.write(head + body.slice(0, half));
      one.headSentAt = performance.now();
      await sleep(pauseMs);
      if (!waiting.includes(one)) return;
      socket.write(body.slice(half));
    } else {
      socket.write(head + body);
      one.headSentAt = performance.now();
    }
    one.sentAt = performance.now();
  };
  return {
    isOpen,
    closedAt: () => closedAt,
    idleFrom: () => idleFrom,
    statedMs: () => statedMs,
    send: async requests => {
      seen = [];
      before = {
        idleMs: wasUsed ? performance.now() - idleFrom : undefined,
        statedMs: wasUsed ? statedMs : undefined,
      };
      wasUsed = true;
      const settled = new Promise<void>(resolve => {
        settle = resolve;
      });
      const hang = setTimeout(() => endAll('hang'), HANG_MS);
      for (const asked of requests) {
        if (isOpen()) await write(asked);
      }
      if (closedAt !== undefined) endAll(isReset ? 'reset' : 'end');
      if (waiting.length > 0) await settled;
      clearTimeout(hang);
      return seen;
    },
    destroy: () => socket.destroy(),
  };
}

function textOf({id, kind, headBytes, bodyBytes}: Asked) {
  const lines = [
    `POST /${kind}/ HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `Authorization: Token ${KEY}`,
    `X-Deadline-Ms: ${DEADLINE_MS}`,
    ...(kind === 'stream' ? ['X-Token-Usage: 1000,100'] : []),
    `Content-Length: ${bodyBytes}`,
  ];
  const padding = Math.max(1, headBytes - lines.join('\r\n').length);
  const head = [...lines, `X-Padding: ${'p'.repeat(padding)}`, '', ''];
  return {head: head.join('\r\n'), body: 'b'.repeat(bodyBytes)};
}
