/**
 * Refuses bytes that are no valid request, and requests whose headers do not come
 * in time, and ends their connections.
 */
import type {Socket} from 'node:net';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import {DEFAULT_RETRY_AFTER_MS} from '../local_answers.js';
import type {CallerConnections} from './caller_connections.js';
import type {CloseCause} from './closings.js';
import {afterPoll} from './connection_end.js';
import type {ConnectionEnds} from './connection_end.js';

/** Code of the error for headers that are larger than the parser accepts. */
const HEADERS_LARGE = 'HPE_HEADER_OVERFLOW';
/** Code of the error for headers that did not come in time. */
const HEADERS_LATE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Code of the error for a caller that ends its direction within a request. */
const ENDED_WITHIN = 'HPE_INVALID_EOF_STATE';
const STATUS_BY_ERROR: Readonly<Record<string, string>> = {
  [HEADERS_LARGE]: '431 Request Header Fields Too Large',
  [HEADERS_LATE]: '408 Request Timeout',
};
/** Where no limit is known, so that the request is sent again. */
const LARGE_FOR_NOW = `503 Service Unavailable\r\nRetry-After: ${(
  DEFAULT_RETRY_AFTER_MS / 1_000
).toFixed(3)}`;

export interface ParserErrorsOptions {
  readonly connections: CallerConnections;
  readonly ends: Pick<ConnectionEnds, 'end' | 'isEnding'>;
  report(socket: Socket, cause: CloseCause, limitMs?: number): void;
  headersTimeoutMs(): number;
  /** Whether no time limit applies to the head that is under way. */
  isUnlimited(socket: Socket): boolean;
  /** Whether limits of a configuration are known. */
  knowsLimits(): boolean;
  readonly guards: Pick<ConnectionGuards, 'of'>;
}

/** Returns the listener for the server's event `clientError`. */
export function createParserErrors(options: ParserErrorsOptions) {
  const {connections, ends, report, guards} = options;
  /** Connections whose refusal waits for earlier answers. */
  const awaited = new WeakSet<Socket>();

  const refuse = (err: NodeJS.ErrnoException, socket: Socket): void => {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const isDenial = err.code !== HEADERS_LARGE || options.knowsLimits();
    const status = isDenial
      ? (STATUS_BY_ERROR[err.code ?? ''] ?? '400 Bad Request')
      : LARGE_FOR_NOW;
    socket.write(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
    ends.end(socket, 'discard', () => undefined);
  };
  const refuseLate = (err: NodeJS.ErrnoException, socket: Socket) => {
    // The idle time ends a connection that was opened ahead.
    if (connections.isUnused(socket)) return;
    // Node reports each head once.
    if (options.isUnlimited(socket)) return;
    const limitMs = options.headersTimeoutMs();
    const requestCount = connections.requestCount(socket);
    const guard = guards.of(socket);
    const refuseUnlessRead = guard('headers late', () => {
      if (connections.requestCount(socket) > requestCount) return;
      if (ends.isEnding(socket) || socket.destroyed) return;
      report(socket, 'headers late', limitMs);
      refuse(err, socket);
    });
    // Nothing is read behind an answer that the caller does not take, so the rest
    // may lie unread until that one has ended.
    afterPoll(() =>
      connections.whenEnded(socket, () => afterPoll(refuseUnlessRead)),
    );
  };

  return (err: NodeJS.ErrnoException, socket: Socket): void => {
    // Each further chunk of the caller is an error too.
    if (ends.isEnding(socket) && !socket.destroyed) return;
    if (err.code === HEADERS_LATE) {
      refuseLate(err, socket);
      return;
    }
    const open = connections.openAnswer(socket);
    // The run before is cancelled, as for any caller that ends its direction,
    // so that its answer is never written.
    if (open !== undefined && err.code === ENDED_WITHIN) {
      report(socket, 'invalid bytes');
      socket.end();
      return;
    }
    // Its body can't become complete, so nothing else ends this request.
    if (open !== undefined && !open.req.complete && !open.headersSent) {
      report(socket, 'invalid bytes');
      open.writeHead(400, {Connection: 'close', 'Content-Length': 0});
      open.end();
      return;
    }
    if (awaited.has(socket)) return;
    awaited.add(socket);
    const refuseBehind = guards.of(socket)('invalid bytes', () => {
      if (ends.isEnding(socket)) return;
      if (err.code !== 'ECONNRESET') report(socket, 'invalid bytes');
      refuse(err, socket);
    });
    connections.whenEnded(socket, refuseBehind);
  };
}
