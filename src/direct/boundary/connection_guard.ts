/**
 * The boundary of one connection: an error of the entry in one of its callbacks
 * ends this connection and no other. It is reset, so that an answer that was
 * under way is visibly cut. Requests that were not sent to a replica are
 * answered, see `createRequestErrors`.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Log, Metrics} from '../../types/runtime.js';
import {createGuard} from '../../utils/callback_guard.js';
import type {Guard} from '../../utils/callback_guard.js';
import {causeOf} from '../../utils/error_cause.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {runEach} from '../../utils/run_each.js';
import {connectionOf, nameConnection} from '../callers/connection_name.js';
import {sendLocalAnswer} from '../local_answers.js';
import {ERROR_REASON, reportRequestError} from './error_report.js';

/** Counter of errors within connections, by callback. */
const ERRORS_METRIC = 'onyxloft_direct_connection_errors_total';

export interface ConnectionGuards {
  /** Guard of the callbacks of one connection. */
  of(socket: Socket): Guard;
  /**
   * Calls `visit` for each connection. An error at one ends it, and does not
   * keep the others from theirs.
   */
  each(
    callback: string,
    sockets: Iterable<Socket>,
    visit: (socket: Socket) => void,
  ): void;
}

export interface GuardOptions {
  readonly log: Log;
  readonly metrics: Metrics;
}

export function createConnectionGuards({
  log,
  metrics,
}: GuardOptions): ConnectionGuards {
  const end = (socket: Socket, err: unknown, callback: string): void => {
    runEach([
      () =>
        log(DIRECT_EVENTS.connectionFaulted, {
          connection: connectionOf(socket) ?? nameConnection(socket),
          callback,
          cause: causeOf(err),
        }),
      () => metrics.count(ERRORS_METRIC, {callback}),
      () => socket.resetAndDestroy(),
    ]);
  };
  const of: ConnectionGuards['of'] = socket =>
    createGuard((err, callback) => end(socket, err, callback));

  return {
    of,
    each: (callback, sockets, visit) => {
      for (const socket of sockets) of(socket)(callback, visit)(socket);
    },
  };
}

/** Ends a request that met an error before it was sent to a replica. */
export type RequestErrors = (
  res: ServerResponse,
  err: unknown,
  callback: string,
) => void;

export interface RequestErrorsOptions extends GuardOptions {
  idOf(req: ServerResponse['req']): string | undefined;
  /** Whether no request that has been read waits behind this one. */
  isLastRead(res: ServerResponse): boolean;
}

/**
 * The caller gets 503, or a visible cut if its answer has begun or can't be
 * written.
 */
export function createRequestErrors(
  options: RequestErrorsOptions,
): RequestErrors {
  const {idOf, isLastRead} = options;
  const answer = (res: ServerResponse): void => {
    // The whole answer has been written.
    if (res.writableEnded) return;
    if (res.headersSent) throw new Error('the answer has begun');
    const close = isLastRead(res);
    sendLocalAnswer(res, {status: 503, message: ERROR_REASON, close});
  };
  return (res, err, callback) => {
    const {req} = res;
    const report = () =>
      reportRequestError(
        options,
        {
          requestId: idOf(req),
          connection: connectionOf(req.socket),
          callback,
        },
        err,
      );
    runEach([report]);
    const isAnswered = runEach([() => answer(res)]);
    if (!isAnswered) runEach([() => req.socket.resetAndDestroy()]);
  };
}

/** Guard of the callbacks of a request that was not sent to a replica. */
export function guardUnsent(
  onError: RequestErrors,
  res: ServerResponse,
): Guard {
  return createGuard((err, callback) => onError(res, err, callback));
}
