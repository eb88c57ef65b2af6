/**
 * One HTTP exchange on a connection of its own. A connection that was open
 * before may have gone silent for good, and one that is kept alive may be
 * closed by the other end just as a request goes out on it: then nobody can
 * tell whether the request ran. On a new connection both cannot happen, and
 * whether it was made at all is known.
 */
import {Client} from 'undici';
import type {Dispatcher} from 'undici';
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, Ran, Step} from '../types/errors.js';

/** Where to dial, and for how long. */
export interface HttpConnectionOptions {
  /** `http://ip:port` of the upstream. */
  readonly url: string;
  readonly connectTimeoutMs: number;
}

/** A connection for one exchange. */
export interface HttpConnection {
  /** Sends the request; resolves with the head of the answer. */
  request(
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData<null>>;
  /** Whether the connection was made, so that bytes may have gone out. */
  isEstablished(): boolean;
  /** Breaks it at once, whatever is under way. */
  close(): void;
}

/** Prepares a connection; it is dialled by the first request. */
export function createHttpConnection(
  options: HttpConnectionOptions,
): HttpConnection {
  let established = false;
  // No time limits of the library: they would run on the process's clock.
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

/** Where an error arose, for `toOnyxError`. */
export interface ErrorContext {
  readonly step: Step;
  readonly peer: string;
  /** Code of an error after the connection was made. */
  readonly code: ErrorCode;
}

/** Errors of the library about a request that it cannot send at all. */
const UNSENDABLE_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

/** An error of a connection, with step, peer and whether the work ran. */
export function toOnyxError(
  err: unknown,
  connection: HttpConnection,
  context: ErrorContext,
): OnyxError {
  const isEstablished = connection.isEstablished();
  // An error of the body's source may say "not run" of its own work. Once
  // bytes can have gone out, passing that on would let the upstream run twice.
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
