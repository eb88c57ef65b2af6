/**
 * One HTTP call to a platform service, with a timeout, answered as a value.
 * A failure tells whether any byte of the request can have been sent, which
 * is what decides between "did not happen" and "unknown" for a write.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {Agent, request} from 'undici';
import type {Clock} from '../types/runtime.js';

/** Failures of dialling: the request had no connection to go out on. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECTIONS = 16;

/** One request to a platform service. */
export interface HttpCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Replaces the client's timeout, in milliseconds. */
  readonly timeoutMs?: number;
}

/** A whole answer, whatever its status. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: string;
  /** Header `ETag`; empty when there is none. */
  readonly etag: string;
}

/** No whole answer came. */
export interface HttpFailure {
  /** False only when the request cannot have reached the service. */
  readonly sent: boolean;
  readonly timedOut: boolean;
  readonly message: string;
}

/** Address and bounds of a client. */
export interface HttpClientOptions {
  /** Base, for example `http://127.0.0.1:7400`. */
  readonly url: string;
  readonly clock: Clock;
  /** Limit from the call to the whole answer. @default 1000 */
  readonly timeoutMs?: number;
  /** Connections at once. @default 16 */
  readonly connections?: number;
}

/** Pooled connections to one platform service. */
export interface HttpClient {
  call(call: HttpCall): Promise<Either<HttpFailure, HttpAnswer>>;
  close(): Promise<void>;
}

function codeOf(err: unknown): string {
  return String((err as {code?: unknown} | undefined)?.code ?? '');
}

/** Makes a client; nothing is dialled before the first call. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const {url, clock, timeoutMs = DEFAULT_TIMEOUT_MS} = options;
  const agent = new Agent({
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    // The one timer below covers dialling, headers and body.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  const exchange = async (
    call: HttpCall,
    signal: AbortSignal,
  ): Promise<HttpAnswer> => {
    const res = await request(new URL(call.path, url), {
      method: call.method,
      headers: call.headers,
      body: call.body,
      dispatcher: agent,
      signal,
    });
    const {etag} = res.headers;
    const body = await res.body.text();
    return {
      status: res.statusCode,
      body,
      etag: typeof etag === 'string' ? etag : '',
    };
  };

  return {
    call: async call => {
      // A connection can go silent for good while new ones work: the caller
      // would wait for ever. The abort destroys the connection, so the next
      // call dials a new one.
      const abort = new AbortController();
      const limitMs = call.timeoutMs ?? timeoutMs;
      const cancel = clock.after(limitMs, () => abort.abort());
      try {
        return Right(await exchange(call, abort.signal));
      } catch (err) {
        return Left({
          sent: !NOT_SENT_CODES.has(codeOf(err)),
          timedOut: abort.signal.aborted,
          message: err instanceof Error ? err.message : String(err),
        });
      } finally {
        cancel();
      }
    },
    close: () => agent.destroy(),
  };
}
