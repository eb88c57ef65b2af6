/**
 * The HTTP server for callers. It applies the limits of the configuration and
 * can stop accepting connections while open requests still get their answers.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, Log, Metrics} from '../../types/runtime.js';
import {splitAddress} from '../settings.js';
import type {CallerLimits} from '../types.js';
import {createCallerConnections} from './caller_connections.js';
import {createClosingReports} from './closings.js';
import type {CloseCause} from './closings.js';

/**
 * The server keeps idle connections open for this much longer than the
 * configured limit. Callers reuse a connection until shortly before the limit,
 * and one that closed at the limit could break a request on its way.
 */
const IDLE_MARGIN_MS = 1_000;
/**
 * Largest headers that the HTTP parser accepts, in bytes. It exceeds the
 * configured limit, so that requests between the two are answered with 431 by
 * `admitRequest`; the parser refuses larger ones.
 */
const PARSER_HEADER_BYTES = 256 * 1024;
/** Interval at which connections are checked for timeouts, in milliseconds. */
const TIMEOUT_CHECK_MS = 500;
/**
 * Time between the answer to an invalid request and the closing of its socket,
 * in milliseconds. It lets the caller read the answer.
 */
const CLOSE_DELAY_MS = 200;

const STATUS_BY_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

export interface CallersServer {
  setLimits(limits: CallerLimits): void;
  /** Accepts no new connections and closes the idle ones. */
  stopAccepting(): void;
  /** Closes all connections, also those with open requests. */
  close(): Promise<void>;
}

export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

export interface CallersServerOptions {
  /** IP:PORT to listen at. */
  readonly address: string;
  readonly handler: RequestHandler;
  /** A new connection for which it returns false is closed unread. */
  readonly admit: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Rejects when the address cannot be bound. */
export async function openCallersServer(
  options: CallersServerOptions,
): Promise<CallersServer> {
  const {clock, handler} = options;
  const server = createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  });
  const connections = createCallerConnections(clock.now);
  const reportClosing = createClosingReports(options.log, options.metrics);
  const report = (socket: Socket, cause: CloseCause, limitMs?: number) =>
    reportClosing(socket, {
      cause,
      idleMs: connections.idleMs(socket),
      limitMs,
      isUnanswered: connections.hasUnanswered(socket),
    });
  // Called by `server.close` too. The method of Node also closes connections
  // whose answer has ended but has not been handed to the kernel completely.
  server.closeIdleConnections = () => {
    for (const socket of connections.all()) {
      if (!connections.isIdle(socket)) continue;
      report(socket, 'drain');
      socket.destroy();
    }
  };
  const handle: RequestHandler = (req, res) => {
    connections.began(req.socket, res);
    handler(req, res);
  };
  server.on('request', handle);
  server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
    res.writeContinue();
    handle(req, res);
  });
  server.on('connection', socket => {
    if (!options.admit()) {
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    connections.add(socket);
  });
  server.on('timeout', socket => {
    report(socket, 'idle', server.keepAliveTimeout - IDLE_MARGIN_MS);
    socket.destroy();
  });
  server.on('clientError', (err: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    connections.whenEnded(socket, () => {
      if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
        report(socket, 'headers late', server.headersTimeout);
      } else if (err.code !== 'ECONNRESET') report(socket, 'invalid bytes');
      refuse(err, socket);
    });
  });
  await listen(server, options.address);
  return {
    setLimits: ({headersTimeoutMs, idleTimeoutMs}) => {
      server.headersTimeout = headersTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    },
    stopAccepting: () => {
      server.close();
      server.closeIdleConnections();
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const socket of connections.all()) report(socket, 'service ended');
        server.closeAllConnections();
      }),
  };
}

function listen(server: Server, address: string): Promise<void> {
  const endpoint = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint?.port, endpoint?.ip, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}

/** Answers bytes that are not a valid HTTP request, and closes the socket. */
function refuse(err: NodeJS.ErrnoException, socket: Socket): void {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_ERROR[err.code ?? ''] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
  setTimeout(() => socket.destroy(), CLOSE_DELAY_MS).unref();
}
