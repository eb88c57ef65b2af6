/**
 * Sends one request to one replica over a new connection. A reused connection
 * may be dead without a reset, or may deliver a late second answer to an
 * earlier request. A new connection costs about a millisecond and rules out
 * both.
 */
import {request} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../types/runtime.js';
import type {Guard} from '../utils/callback_guard.js';
import {answerEnd} from '../utils/answer_end.js';
import {untilSocketsRead} from '../utils/event_loop.js';
import {isSuccess} from '../utils/final_status.js';
import {watchReset} from '../utils/socket_reset.js';
import type {ReadTurns} from '../utils/read_turns.js';
import {watchWire} from '../utils/wire_bytes.js';
import {splitAddress} from './settings.js';

/**
 * Timeout for establishing the connection, in milliseconds; beyond it the
 * attempt fails as not sent. Hosts of one region answer within a few
 * milliseconds.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Reason of a failure to connect within that time. */
export const DIAL_TIMED_OUT = 'dial timed out';

/** Status line and headers of a replica's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
}

/** A request and the address of the replica that gets it. */
export interface DispatchRequest {
  /** IP:PORT. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * Callbacks of a dispatch, in this order: at most one `onHead`, any number of
 * `onData`, then either `onEnd` or `onBroken`, once.
 */
export interface DispatchObserver {
  onHead(head: AnswerHead): void;
  /**
   * Bytes that came together, in so many pieces. Returns the number of events
   * among them that it has passed on. @default one piece, and no event
   */
  onData(chunk: Buffer, pieces?: number): number | void;
  /**
   * The body is complete by its HTTP framing. `endsWithConnection` is true where
   * its end is only the orderly end of its connection; see `answer_end.ts`.
   */
  onEnd(endsWithConnection: boolean): void;
  /**
   * The exchange failed before the answer was complete. `sent` is false when no
   * connection was established, so that the replica cannot have the request.
   */
  onBroken(sent: boolean, reason: string): void;
  /**
   * Owns the errors of these callbacks and of the dispatch's own.
   * @default they are uncaught errors of the process
   */
  readonly guard?: Guard;
}

export interface Dispatch {
  /**
   * Closes the connection, which ends the replica's work. The observer is not
   * called any more.
   */
  cancel(): void;
  /**
   * Takes the request back if nothing of it has been sent; the observer is then
   * not called any more. Returns whether it was taken back.
   */
  takeBack(): boolean;
  pause(): void;
  resume(): void;
  /**
   * Whether the answer is so much work that it was read in turns. @default it
   * never is
   */
  isInTurns?(): boolean;
}

/** Sends a request and reports the answer to the observer. */
export type OpenDispatch = (
  spec: DispatchRequest,
  clock: Clock,
  observer: DispatchObserver,
) => Dispatch;

const UNGUARDED: Guard = (_callback, fn) => fn;

/** Returns a function that sends requests over HTTP and reads them in turns. */
export function createDispatch(turns: ReadTurns | undefined): OpenDispatch {
  return (...request) => openDispatch(...request, turns);
}

/** Sends the request over HTTP. */
export function openDispatch(
  spec: DispatchRequest,
  clock: Clock,
  observer: DispatchObserver,
  turns?: ReadTurns,
): Dispatch {
  const endpoint = splitAddress(spec.address);
  const {guard = UNGUARDED} = observer;
  let isFinished = false;
  /** A part of the request may be on its way to the replica. */
  let isSent = false;
  let isConnected = false;
  let wasReset = () => false;
  let wasRequestCut = false;

  const finish = (notify: () => void) => {
    if (isFinished) return;
    isFinished = true;
    cancelTimeout();
    notify();
  };
  const fail = (reason: string) =>
    finish(() => observer.onBroken(isSent, reason));

  const req = request({
    host: endpoint?.ip,
    port: endpoint?.port,
    method: spec.method,
    path: spec.path,
    headers: spec.headers as string[],
    agent: false,
  });
  // First of all: without a listener, an error of the connection would be one
  // that nothing catches.
  const failWith = guard('answer broken off', (err: Error) =>
    fail(err.message),
  );
  req.on('error', failWith);
  // After a stall of this process, that the caller has left may still lie unread
  // in its connection.
  const sendAfterTurn = guard('request sent', async (): Promise<void> => {
    await untilSocketsRead();
    if (isFinished) return;
    isSent = true;
    req.end(spec.body);
  });
  // After a stall, this timer runs before it is read that the replica has
  // accepted the connection.
  const failUnlessConnected = guard('dial limit', async (): Promise<void> => {
    await untilSocketsRead();
    if (isConnected || isFinished) return;
    fail(DIAL_TIMED_OUT);
    req.destroy();
  });
  const cancelTimeout = clock.after(CONNECT_TIMEOUT_MS, failUnlessConnected);
  const endEndless = guard('endless bytes', () => {
    fail('bytes without end');
    req.destroy();
  });
  const wire = watchWire(req, {
    now: clock.now,
    turns,
    from: {kind: 'replica', name: spec.address},
    onEndless: endEndless,
    guard,
  });
  const onSocket = guard('replica connection', (socket: Socket) => {
    socket.setNoDelay(true);
    wasReset = watchReset(socket);
    const onConnect = guard('replica connected', () => {
      isConnected = true;
      sendAfterTurn();
    });
    socket.once('connect', onConnect);
    const onSocketEnd = guard('replica ends', () => {
      wasRequestCut = !req.writableFinished;
    });
    socket.once('end', onSocketEnd);
  });
  const onResponse = guard('answer head', (res: IncomingMessage) => {
    if (isFinished) return;
    const {statusCode: status = 0, headers, rawHeaders} = res;
    const head: AnswerHead = {status, headers, rawHeaders};
    const end = answerEnd(spec.method, head);
    const endsWithConnection = end === 'connection';
    observer.onHead(head);
    const onEnd = guard('answer end', () => {
      const isCut = endsWithConnection && wasRequestCut;
      if (!res.complete) fail('cut');
      else if (endsWithConnection && wasReset()) fail('reset');
      // It answered with a success to a request that it does not have, so its
      // end says nothing about the answer's. A failure may be such an answer.
      else if (isCut && isSuccess(status)) {
        fail('closed within the request');
      } else finish(() => observer.onEnd(endsWithConnection));
      // Nobody reads the rest, which would keep the connection.
      if (isCut) req.destroy();
    });
    wire.readBody(res, (bytes, pieces) =>
      isFinished ? 0 : observer.onData(bytes, pieces),
    );
    res.on('end', onEnd);
    res.on('error', failWith);
    res.on('close', failClosed('closed'));
    // Whatever body it promises. Not each version of Node's parser knows which
    // statuses have none.
    if (end === 'head') {
      finish(() => observer.onEnd(false));
      res.socket.destroySoon();
    }
  });
  const failClosed = (reason: string) =>
    guard('replica connection closed', () => fail(reason));
  req.on('socket', onSocket);
  req.on('response', onResponse);
  req.on('close', failClosed('closed without an answer'));

  const cancel = () => {
    finish(() => undefined);
    req.destroy();
  };
  return {
    cancel,
    takeBack: () => {
      if (isSent || isFinished) return false;
      cancel();
      return true;
    },
    pause: wire.pause,
    resume: wire.resume,
    isInTurns: wire.isInTurns,
  };
}
