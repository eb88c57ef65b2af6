/**
 * The HTTP server for callers. It applies the limits of the configuration and
 * can stop accepting connections while open requests still get their answers.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from '../settings.js';
import type {CallerLimits} from '../types.js';

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

/**
 * Listens at `address`, an IP:PORT; rejects when it cannot be bound. A new
 * connection for which `admit` returns false is closed unread.
 */
export async function openCallersServer(
  address: string,
  handler: RequestHandler,
  admit: () => boolean,
): Promise<CallersServer> {
  const server = createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  });
  const lastAnswers = createLastAnswers();
  const connections = new Set<Socket>();
  // Called by `server.close` too. The method of Node also closes connections
  // whose answer has ended but has not been handed to the kernel completely.
  server.closeIdleConnections = () => {
    for (const socket of connections) {
      if (lastAnswers.isIdle(socket)) socket.destroy();
    }
  };
  const handle: RequestHandler = (req, res) => {
    lastAnswers.add(req.socket, res);
    handler(req, res);
  };
  server.on('request', handle);
  server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
    res.writeContinue();
    handle(req, res);
  });
  server.on('connection', socket => {
    if (!admit()) {
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    connections.add(socket);
    socket.once('close', () => connections.delete(socket));
  });
  server.on('clientError', (err: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    lastAnswers.whenEnded(socket, () => refuse(err, socket));
  });
  await listen(server, address);
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
        server.closeAllConnections();
      }),
  };
}

/**
 * Knows the last answer on each connection. Invalid bytes may follow a request
 * whose answer is still being written, and nothing may be written into it.
 */
function createLastAnswers() {
  const answers = new WeakMap<Socket, ServerResponse>();
  /** Bytes that were read on a connection until its last answer had closed. */
  const bytesRead = new WeakMap<Socket, number>();
  return {
    add: (socket: Socket, res: ServerResponse): void => {
      answers.set(socket, res);
      res.once('close', () => bytesRead.set(socket, socket.bytesRead));
    },
    /**
     * Whether an answer has closed and no part of a further request was read. On
     * a new connection a request may lie unread.
     */
    isIdle: (socket: Socket): boolean =>
      (answers.get(socket)?.closed ?? false) &&
      socket.bytesRead === (bytesRead.get(socket) ?? 0),
    /** Runs the function when all requests of the connection are answered. */
    whenEnded: (socket: Socket, run: () => void): void => {
      const last = answers.get(socket);
      if (last === undefined || last.closed) run();
      else last.once('close', run);
    },
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
