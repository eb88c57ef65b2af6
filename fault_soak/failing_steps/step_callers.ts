/**
 * Callers that use a connection until it closes, with calls and streams, pauses
 * between them, and some that leave; and checks of readiness.
 */
import {get} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST, KEY} from '../../standins/users_platform/deployment.js';
import {callEntry} from '../../standins/users_platform/entry_program.js';
import type {Draw} from '../odd_wires/draws.js';
import {DEADLINE_MS, readSoFar} from '../odd_wires/honest_callers.js';
import {byStatus} from '../starts_and_ends/starts_judge.js';

/** It waits so much longer for the end of an answer. */
const PATIENCE_MS = 4_000;
const PATHS = ['/again/a', '/again/a', '/once/a', '/open/a', '/stream/a'];
const LEAVES_SHARE = 0.1;
const LONGEST_STAY_MS = 300;
/** Idle connections, shorter than the limit for them. */
const IDLE_SHARE = 0.05;
const LONGEST_IDLE_MS = 2_500;
const MEAN_PAUSE_MS = 40;
const CHECK_LIMIT_MS = 1_000;
const PROBE_GAP_MS = 200;
const PROBES = 20;

/** What a caller got. Times are steady milliseconds. */
export interface StepOutcome {
  /** Undefined where no request was sent. */
  readonly id: string | undefined;
  readonly path: string | undefined;
  readonly entry: number;
  /** IP:PORT of its end of the connection; undefined if it was refused. */
  readonly connection: string | undefined;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined where its connection ended before a head. */
  readonly status: number | undefined;
  readonly hasRetryAfter: boolean;
  readonly isWhole: boolean;
  /** The caller closed the connection. */
  readonly hasLeft: boolean;
}

/** A check of readiness; no status where there was no answer. */
export type ReadyCheck = Pick<
  StepOutcome,
  'entry' | 'connection' | 'sentAt' | 'endedAt' | 'status'
>;

export interface StepCaller {
  readonly entry: number;
  /** IP:PORT. */
  readonly address: string;
  readonly draw: Draw;
  nextId(): string;
  isOver(): boolean;
  onEnd(outcome: StepOutcome): void;
}

/** Uses one connection until it ends; always resolves. */
export function useConnection(caller: StepCaller): Promise<void> {
  const {entry, address, draw, isOver, onEnd} = caller;
  const [host, port] = address.split(':');
  const refused = {id: undefined, path: undefined};
  let sent: Pick<StepOutcome, 'id' | 'path' | 'sentAt'> | undefined = {
    ...refused,
    sentAt: performance.now(),
  };
  const socket = connect({host, port: Number(port)});
  let connection: string | undefined;
  let text = '';
  let hasLeft = false;
  let patience: NodeJS.Timeout | undefined;
  const end = (): void => {
    clearTimeout(patience);
    if (sent === undefined) return;
    const {status, isWhole} = readSoFar(text);
    const hasRetryAfter = /\r\nretry-after: *\d/i.test(text);
    const answer = {status, isWhole, hasRetryAfter};
    const endedAt = performance.now();
    onEnd({...sent, entry, connection, endedAt, ...answer, hasLeft});
    sent = undefined;
    text = '';
  };
  const leave = (id: string): void => {
    if (sent?.id !== id) return;
    hasLeft = true;
    socket.destroy();
  };
  const sendNext = (): void => {
    sent = undefined;
    if (isOver()) return void socket.destroy();
    const id = caller.nextId();
    const path = draw.one(PATHS);
    sent = {id, path, sentAt: performance.now()};
    patience = setTimeout(() => socket.destroy(), DEADLINE_MS + PATIENCE_MS);
    socket.write(requestText(id, path));
    if (!draw.chance(LEAVES_SHARE)) return;
    setTimeout(leave, draw.below(LONGEST_STAY_MS), id);
  };
  const pauseMs = () =>
    draw.chance(IDLE_SHARE)
      ? draw.below(LONGEST_IDLE_MS)
      : draw.below(2 * MEAN_PAUSE_MS);
  socket.on('connect', () => {
    connection = `${socket.localAddress}:${socket.localPort}`;
    sendNext();
  });
  socket.on('data', (piece: Buffer) => {
    text += piece.toString('latin1');
    const {isWhole, closes} = readSoFar(text);
    if (!isWhole) return;
    end();
    if (closes) socket.destroy();
    else setTimeout(sendNext, pauseMs());
  });
  return new Promise(resolve => {
    // Seen as its close.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      end();
      resolve();
    });
  });
}

function requestText(id: string, path: string): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `Authorization: Token ${KEY}`,
    `X-Deadline-Ms: ${DEADLINE_MS}`,
    'Content-Length: 8',
    '',
    'a prompt',
  ].join('\r\n');
}

/** One check, as the load balancer makes it. */
export function checkReady(
  entry: number,
  address: string,
): Promise<ReadyCheck> {
  const sentAt = performance.now();
  let connection: string | undefined;
  return new Promise(resolve => {
    const end = (status?: number) =>
      resolve({entry, connection, sentAt, endedAt: performance.now(), status});
    const url = `http://${address}/api/ready`;
    const req = get(url, {agent: false, timeout: CHECK_LIMIT_MS}, res => {
      res.resume();
      res.once('close', () => end(res.statusCode));
    });
    req.once('socket', socket =>
      socket.once('connect', () => {
        connection = `${socket.localAddress}:${socket.localPort}`;
      }),
    );
    req.once('timeout', () => req.destroy());
    req.once('error', () => end());
  });
}

/** What an entry doesn't serve in time, though no error is thrown any more. */
export async function findUnserved(
  callers: string,
  nextId: () => string,
  withinMs: number,
): Promise<readonly string[]> {
  const until = performance.now() + withinMs;
  let seen: ReadonlyArray<Pick<StepOutcome, 'status'>> = [];
  while (performance.now() < until) {
    const answers: Array<Pick<StepOutcome, 'status'>> = [];
    while (answers.length < PROBES && performance.now() < until) {
      const path = answers.length % 2 === 0 ? '/again/probe' : '/stream/probe';
      const late = sleep(withinMs, undefined, {ref: false});
      const called = callEntry(callers, path, nextId());
      answers.push({status: await Promise.race([called, late])});
    }
    // A round that the time limit cuts short doesn't hide a whole one.
    const isWhole = answers.length === PROBES;
    if (isWhole && answers.every(it => it.status === 200)) return [];
    if (isWhole || seen.length === 0) seen = answers;
    await sleep(PROBE_GAP_MS);
  }
  return [`end: ${callers} answers with ${JSON.stringify(byStatus(seen))}`];
}
