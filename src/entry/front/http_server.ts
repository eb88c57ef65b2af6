/**
 * Opens an HTTP server on one address. It limits the size of headers, the time
 * they may take, and the number of connections. The handler passed in answers
 * the requests.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Address} from '../../types/ids.js';

/** Answers one request. It must not throw. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

export interface HttpServerOptions {
  /** Port 0 means any free port. */
  readonly listen: Address;
  readonly handler: HttpHandler;
  /**
   * Largest request line and headers together, in bytes. Larger ones are
   * answered 431, or the connection is closed without an answer if anything was
   * sent on it before.
   * @default 16384
   */
  readonly maxHeaderBytes?: number;
  /**
   * Time limit for all headers to arrive, in milliseconds. Slower ones are
   * answered 408, or the connection is closed without an answer if anything was
   * sent on it before.
   * @default 10000
   */
  readonly headersTimeoutMs?: number;
  /**
   * Largest number of open connections. Further ones are closed.
   * @default 10000
   */
  readonly maxConnections?: number;
}

export interface HttpServer {
  /** Address that the server listens on, with the actual port. */
  readonly address: Address;
  /** Stops listening and closes all open connections. */
  close(): Promise<void>;
}

const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_CONNECTIONS = 10_000;
/**
 * Interval at which Node looks for connections over the time limit for headers.
 * It is shorter when that limit is shorter.
 */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Status and message by the error code with which Node rejects a request. */
const RESPONSE_BY_ERROR_CODE: Readonly<
  Record<string, readonly [number, string]>
> = {
  HPE_HEADER_OVERFLOW: [431, 'the headers are too large'],
  ERR_HTTP_REQUEST_TIMEOUT: [408, 'the headers came too slowly'],
};
const DEFAULT_ERROR_RESPONSE = [400, 'the request is not HTTP/1.1'] as const;

/** Opens the server. Rejects when it can't listen on the address. */
export async function openHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const headersTimeout = options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
  const server = createServer({
    maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    headersTimeout,
    // No limit on the whole request: the body reader limits the body's time.
    requestTimeout: 0,
    connectionsCheckingInterval: Math.min(
      TIMEOUT_CHECK_INTERVAL_MS,
      headersTimeout,
    ),
  });
  server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  server.on('request', options.handler);
  // Without this listener, Node answers `Expect: 100-continue` itself and so
  // requests the body before the handler can refuse it.
  server.on('checkContinue', options.handler);
  server.on('clientError', sendClientError);
  await listen(server, options.listen);
  const {address, port} = server.address() as AddressInfo;
  return {address: `${address}:${port}`, close: () => close(server)};
}

function listen(server: Server, address: Address): Promise<void> {
  const colon = address.lastIndexOf(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(
      Number(address.slice(colon + 1)),
      address.slice(0, colon),
      () => {
        server.off('error', reject);
        resolve();
      },
    );
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/**
 * Answers a request that Node rejected for its syntax, its size or the time of
 * its headers. The response is written to the socket, because Node creates no
 * response object for such a request. A connection on which anything was sent
 * before, also an earlier complete response, is closed without an answer.
 */
function sendClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
  const hasWrittenBefore = (socket as Socket).bytesWritten > 0;
  if (!socket.writable || hasWrittenBefore || err.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const [status, message] =
    RESPONSE_BY_ERROR_CODE[err.code ?? ''] ?? DEFAULT_ERROR_RESPONSE;
  const body = JSON.stringify({
    error: {
      code: status === 431 ? 'too-large' : 'bad-request',
      step: 'read',
      upstream: '',
      message,
      request_id: '',
      ran: 'no',
      retry_after_ms: null,
    },
  });
  socket.end(
    `HTTP/1.1 ${status} Refused\r\nConnection: close\r\n` +
      `Content-Type: application/json\r\nContent-Length: ${body.length}\r\n` +
      `\r\n${body}`,
  );
}
