/** Node's HTTP server with the options for callers, and its listening socket. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {splitAddress} from '../settings.js';

/**
 * Largest headers that the HTTP parser accepts, in bytes. It exceeds the
 * configured limit, so that requests between the two are answered with 431 by
 * `admitRequest`; the parser refuses larger ones.
 */
const PARSER_HEADER_BYTES = 256 * 1024;

/** The time for headers is checked every `checkIntervalMs`. */
export function createHttpServer(checkIntervalMs: number): Server {
  return createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    requestTimeout: 0,
    // Node's own refusal closes the connection, also where a request behind it
    // is served already; `admitRequest` refuses such requests in their turn.
    requireHostHeader: false,
    connectionsCheckingInterval: checkIntervalMs,
  });
}

/** Listens at IP:PORT. Rejects when the address cannot be bound. */
export function listen(server: Server, address: string): Promise<void> {
  const endpoint = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint?.port, endpoint?.ip, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}
