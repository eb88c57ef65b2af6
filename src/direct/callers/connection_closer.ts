/**
 * Ends connections of callers for each cause on this entry's side, and reports
 * every closing with what was known of the connection when its end began.
 */
import type {Socket} from 'node:net';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import type {CallerConnections} from './caller_connections.js';
import type {CloseCause, ReportClosing} from './closings.js';
import type {ConnectionEnds} from './connection_end.js';

export interface ConnectionCloser {
  /** Reports a closing that the calling module carries out. */
  report(socket: Socket, cause: CloseCause, limitMs?: number): void;
  /** Ends a connection without an open request. */
  endQuiet(socket: Socket, cause: CloseCause, limitMs?: number): void;
  /** Ends a connection behind an answer that closes it. */
  endAnswered(socket: Socket): void;
  /** Ends a connection for a drain, unless a further request has come. */
  endIfIdle(socket: Socket): void;
  /** Ends all connections on which no request has come since the last answer. */
  endAllIdle(): void;
  /** Ends all connections; those with an unanswered request at once. */
  endAll(): void;
}

export interface ConnectionCloserOptions {
  readonly connections: Pick<
    CallerConnections,
    'all' | 'hasUnanswered' | 'isIdle' | 'isLast' | 'quietMs'
  >;
  readonly ends: ConnectionEnds;
  readonly reportClosing: ReportClosing;
  readonly guards: Pick<ConnectionGuards, 'each'>;
}

export function createConnectionCloser({
  connections,
  ends,
  reportClosing,
  guards,
}: ConnectionCloserOptions): ConnectionCloser {
  const report: ConnectionCloser['report'] = (socket, cause, limitMs) =>
    reportClosing(socket, {
      cause,
      idleMs: connections.quietMs(socket),
      limitMs,
      isUnanswered: connections.hasUnanswered(socket),
    });
  const endQuiet: ConnectionCloser['endQuiet'] = (socket, cause, limitMs) => {
    const idleMs = connections.quietMs(socket);
    const isUnanswered = connections.hasUnanswered(socket);
    ends.end(socket, 'leave', hasLateBytes =>
      reportClosing(socket, {
        cause,
        idleMs,
        limitMs,
        isUnanswered: isUnanswered || hasLateBytes,
      }),
    );
  };
  const endAnswered = (socket: Socket) => {
    const lateBytes = connections.isLast(socket) ? 'discard' : 'leave';
    ends.end(socket, lateBytes, hasLateBytes =>
      reportClosing(socket, {
        cause: 'answer',
        idleMs: 0,
        isUnanswered: hasLateBytes,
      }),
    );
  };
  const endIfIdle = (socket: Socket) => {
    if (connections.isIdle(socket)) endQuiet(socket, 'drain');
  };
  const endLast = (socket: Socket) => {
    if (ends.isEnding(socket)) return;
    if (connections.hasUnanswered(socket)) {
      report(socket, 'service ended');
      socket.destroy();
    } else endQuiet(socket, 'service ended');
  };

  return {
    report,
    endQuiet,
    endAnswered,
    endIfIdle,
    endAllIdle: () => guards.each('idle end', connections.all(), endIfIdle),
    endAll: () => guards.each('end of all', connections.all(), endLast),
  };
}
