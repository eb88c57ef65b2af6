/**
 * An HTTP server on one address, with bounds against floods of headers and
 * slow senders. What a request means is up to the handler passed in.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Address} from '../../types/ids.js';

/** Must not throw; it answers each request by itself. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

export interface HttpServerOptions {
  /** Port 0 takes any free one. */
  readonly listen: Address;
  readonly handler: HttpHandler;
  /** Request line and headers, in bytes. @default 16384 */
  readonly maxHeaderBytes?: number;
  /** Time for all headers to arrive. @default 10000 */
  readonly headersTimeoutMs?: number;
  /** @default 10000 */
  readonly maxConnections?: number;
}

export interface HttpServer {
  readonly address: Address;
  /** Takes no more connections and ends all that are open. */
  close(): Promise<void>;
}

const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_MAX_CONNECTIONS = 10_000;
const CHECK_MS = 1_000;

/** Statuses of faults that Node's own parser finds. */
const STATUS_BY_FAULT: Readonly<Record<string, readonly [number, string]>> = {
  HPE_HEADER_OVERFLOW: [431, 'the headers are too large'],
  ERR_HTTP_REQUEST_TIMEOUT: [408, 'the headers came too slowly'],
};
const OTHER_FAULT = [400, 'the request is not HTTP/1.1'] as const;

/** Listens; rejects when the address cannot be had. */
export async function openHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const headersTimeout = options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
  const server = createServer({
    maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    headersTimeout,
    // Bodies have a limit of their own, by the reader that takes them.
    requestTimeout: 0,
    connectionsCheckingInterval: Math.min(CHECK_MS, headersTimeout),
  });
  server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  server.on('request', options.handler);
  // Without this, Node asks for the body before the handler can refuse it.
  server.on('checkContinue', options.handler);
  server.on('clientError', refuse);
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

/** Node gives no response object here, since the request never became one. */
function refuse(err: NodeJS.ErrnoException, socket: Duplex): void {
  const answered = (socket as Socket).bytesWritten > 0;
  if (!socket.writable || answered || err.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const [status, message] = STATUS_BY_FAULT[err.code ?? ''] ?? OTHER_FAULT;
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
