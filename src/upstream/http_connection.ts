/**
 * Connection for one HTTP exchange with an upstream. The clients in this folder
 * create a new one for each exchange. A connection that is kept idle may
 * silently stop delivering data. The server may also close it just as a request
 * is sent on it, and then nobody can tell whether the request ran. With a new
 * connection the client knows that nothing can have been sent before the
 * connection was established.
 */
import type {Socket} from 'node:net';
import {Client, buildConnector} from 'undici';
import type {Dispatcher} from 'undici';
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, Ran, Step} from '../types/errors.js';
import {NO_FINAL_STATUS, isFinalStatus} from '../utils/final_status.js';
import {watchReset} from '../utils/socket_reset.js';

/** Address and connect timeout of an upstream. */
export interface HttpConnectionOptions {
  /** URL of the upstream, as `http://ip:port`. */
  readonly url: string;
  /** Time limit for establishing a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** A connection for one exchange. */
export interface HttpConnection {
  /**
   * Sends the request; resolves with the head of the response. Rejects for one
   * without a final status.
   */
  request(
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData<null>>;
  /** Whether the connection was established, so bytes may have been sent. */
  isEstablished(): boolean;
  /** Whether the connection was reset, also after its last bytes. */
  wasReset(): boolean;
  /** Whether bytes were left to write when the upstream ended its part. */
  hasUnwritten(): boolean;
  /** Destroys the connection at once and aborts any exchange on it. */
  close(): void;
}

/** Prepares a connection; the first request establishes it. */
export function createHttpConnection(
  options: HttpConnectionOptions,
): HttpConnection {
  let established = false;
  let wasReset = () => false;
  let hasUnwritten = false;
  const connect = buildConnector({timeout: options.connectTimeoutMs});
  const watchEnd = (socket: Socket) => {
    wasReset = watchReset(socket);
    // Before the library, which then destroys the socket.
    socket.prependListener('end', () => {
      hasUnwritten = socket.writableLength > 0;
    });
  };
  // The library's timeouts for the head and the body are disabled, because they
  // do not use our `Clock`. The connect timeout is the library's too.
  const client = new Client(options.url, {
    bodyTimeout: 0,
    headersTimeout: 0,
    // The library takes a reset for the end of a response without a length.
    connect: (target, done) =>
      connect(target, (...outcome) => {
        const [, socket] = outcome;
        if (socket) watchEnd(socket as Socket);
        done(...outcome);
      }),
    pipelining: 1,
  });
  client.on('connect', () => {
    established = true;
  });
  return {
    request: async req => {
      const reply = await client.request(req);
      if (isFinalStatus(reply.statusCode)) return reply;
      reply.body.on('error', () => undefined).destroy();
      throw new Error(NO_FINAL_STATUS);
    },
    isEstablished: () => established,
    wasReset: () => wasReset(),
    hasUnwritten: () => hasUnwritten,
    close: () => {
      client.destroy().catch(() => {});
    },
  };
}

/** What `toOnyxError` adds to an error. */
export interface ErrorContext {
  /** Step of the request's processing in which the error occurred. */
  readonly step: Step;
  /** URL of the upstream. */
  readonly peer: string;
  /** Code of the resulting error if the connection had been established. */
  readonly code: ErrorCode;
}

/** The library's error codes for a request that it cannot send at all. */
const UNSENDABLE_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

/**
 * Converts an error of an exchange to an `OnyxError` with the step, the peer and
 * whether the request ran. An `OnyxError` is returned as it is, unless it says
 * that the request did not run although bytes of it may have been sent.
 */
export function toOnyxError(
  err: unknown,
  connection: HttpConnection,
  context: ErrorContext,
): OnyxError {
  const isEstablished = connection.isEstablished();
  // The source of the request's body may fail with `ran: 'no'`. That value is
  // about the source's own step, not about this exchange. If bytes may have
  // been sent by then, it would let the request run twice.
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
