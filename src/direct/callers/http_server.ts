/** Node's HTTP server with the options for callers. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';

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
