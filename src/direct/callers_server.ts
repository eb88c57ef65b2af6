/**
 * The socket for callers: Node's HTTP server with the configuration's limits,
 * and an end that leaves no request without its answer.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from './settings.js';
import type {CallerLimits} from './types.js';

/** Callers reuse a connection until shortly before the limit. */
const IDLE_MARGIN_MS = 1_000;
/** Headers over the configured limit are answered with 431 by the front. */
const PARSER_HEADER_BYTES = 256 * 1024;
const CHECK_MS = 500;
/** A refused caller reads its answer before the connection is closed. */
const LINGER_MS = 200;

const STATUS_BY_FAULT: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

export interface CallersServer {
  setLimits(limits: CallerLimits): void;
  /** Takes no new connections and closes those that are idle. */
  stopAccepting(): void;
  close(): Promise<void>;
}

export type RequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
) => void;

/** Listens at IP:PORT; rejects when the address cannot be had. */
export async function openCallersServer(
  address: string,
  handler: RequestHandler,
): Promise<CallersServer> {
  const server = createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    requestTimeout: 0,
    connectionsCheckingInterval: CHECK_MS,
  });
  server.on('request', handler);
  server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
    res.writeContinue();
    handler(req, res);
  });
  server.on('connection', socket => socket.setNoDelay(true));
  server.on('clientError', refuse);
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

function listen(server: Server, address: string): Promise<void> {
  const at = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(at?.port, at?.ip, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}

/** Bytes that are no request run nowhere; the caller is told what is wrong. */
function refuse(err: NodeJS.ErrnoException, duplex: unknown): void {
  const socket = duplex as Socket;
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_FAULT[err.code ?? ''] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
  setTimeout(() => socket.destroy(), LINGER_MS).unref();
}
