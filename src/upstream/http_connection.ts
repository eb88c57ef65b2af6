/**
 * Performs each HTTP exchange on its own new connection. An idle connection may
 * have stopped delivering data, and the server may close a kept-alive
 * connection just as a request is sent on it. In the second case nobody can
 * tell whether the request ran. A new connection avoids both, and the client
 * knows whether it was established.
 */
import {Client} from 'undici';
import type {Dispatcher} from 'undici';
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, Ran, Step} from '../types/errors.js';

/** Address and connect timeout of an upstream. */
export interface HttpConnectionOptions {
  /** `http://ip:port` of the upstream. */
  readonly url: string;
  /** Time limit for establishing a connection. */
  readonly connectTimeoutMs: number;
}

/** A connection for one exchange. */
export interface HttpConnection {
  /** Sends the request; resolves with the head of the response. */
  request(
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData<null>>;
  /** Whether the connection was established, so bytes may have been sent. */
  isEstablished(): boolean;
  /** Destroys the connection at once and aborts any exchange on it. */
  close(): void;
}

/** Prepares a connection; the first request establishes it. */
export function createHttpConnection(
  options: HttpConnectionOptions,
): HttpConnection {
  let established = false;
  // The library's timeouts are disabled because they do not use our `Clock`.
  const client = new Client(options.url, {
    bodyTimeout: 0,
    headersTimeout: 0,
    connect: {timeout: options.connectTimeoutMs},
    pipelining: 1,
  });
  client.on('connect', () => {
    established = true;
  });
  return {
    request: req => client.request(req),
    isEstablished: () => established,
    close: () => {
      client.destroy().catch(() => {});
    },
  };
}

/** Where an error occurred; input of `toOnyxError`. */
export interface ErrorContext {
  readonly step: Step;
  /** URL of the upstream. */
  readonly peer: string;
  /** Code of errors after the connection was established. */
  readonly code: ErrorCode;
}

/** Error codes of the library for a request that it cannot send at all. */
const UNSENDABLE_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

/** Converts an error to one with step, peer and whether the work ran. */
export function toOnyxError(
  err: unknown,
  connection: HttpConnection,
  context: ErrorContext,
): OnyxError {
  const isEstablished = connection.isEstablished();
  // An error of the body's source may carry `ran: 'no'` for its own step. Once
  // bytes may have been sent, that value would let the request run twice.
  if (err instanceof OnyxError && !(isEstablished && err.ran === 'no'))
    return err;
  const {step, peer} = context;
  const ran: Ran = isEstablished ? 'unknown' : 'no';
  const cause = err instanceof Error ? err.message : String(err);
  if (!isEstablished && UNSENDABLE_CODES.has((err as {code?: unknown}).code)) {
    const message = `request cannot be sent to ${peer}: ${cause}`;
    return new OnyxError({code: 'bad-request', step, peer, message, ran});
  }
  const code: ErrorCode = isEstablished ? context.code : 'peer-unreachable';
  const message = isEstablished
    ? `connection to ${peer} broke: ${cause}`
    : `cannot connect to ${peer}: ${cause}`;
  return new OnyxError({code, step, peer, message, ran});
}
