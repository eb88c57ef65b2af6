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

export interface HttpConnectionOptions {
  /** `http://ip:port` of the upstream. */
  readonly url: string;
  readonly connectTimeoutMs: number;
}

export interface HttpConnection {
  /** Sends the request; resolves with the head of the answer. */
  request(
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData<null>>;
  /** Whether the connection was made, so that bytes may have gone out. */
  isMade(): boolean;
  /** Breaks it at once, whatever is under way. */
  close(): void;
}

/** Prepares a connection; it is dialled by the first request. */
export function createHttpConnection(
  options: HttpConnectionOptions,
): HttpConnection {
  let made = false;
  // No time limits of the library: they would run on the process's clock.
  const client = new Client(options.url, {
    bodyTimeout: 0,
    headersTimeout: 0,
    connect: {timeout: options.connectTimeoutMs},
    pipelining: 1,
  });
  client.on('connect', () => {
    made = true;
  });
  return {
    request: req => client.request(req),
    isMade: () => made,
    close: () => {
      client.destroy().catch(() => {});
    },
  };
}

/** Where an error arose, for `toOnyxError`. */
export interface ErrorPlace {
  readonly step: Step;
  readonly peer: string;
  /** Code of an error after the connection was made. */
  readonly code: ErrorCode;
}

/** An error of a connection, with step, peer and whether the work ran. */
export function toOnyxError(
  err: unknown,
  connection: HttpConnection,
  place: ErrorPlace,
): OnyxError {
  if (err instanceof OnyxError) return err;
  const {step, peer} = place;
  const isMade = connection.isMade();
  const code: ErrorCode = isMade ? place.code : 'peer-unreachable';
  const ran: Ran = isMade ? 'unknown' : 'no';
  const cause = err instanceof Error ? err.message : String(err);
  const message = isMade
    ? `connection to ${peer} broke: ${cause}`
    : `cannot connect to ${peer}: ${cause}`;
  return new OnyxError({code, step, peer, message, ran});
}
