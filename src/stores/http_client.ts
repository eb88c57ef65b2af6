/**
 * One HTTP call to a platform service, with a timeout, answered as a value.
 * A failure tells whether any byte of the request can have been sent, which
 * is what decides between "did not happen" and "unknown" for a write.
 */
import {Agent, request} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock} from '../types/runtime.js';

/** Failures of dialling: the request had no connection to go out on. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECTIONS = 16;
/**
 * An idle connection is given up after this time. Servers do it after five
 * seconds or more; a call sent in that instant breaks with its effect unknown,
 * so the client is first, by a margin that a busy process does not use up.
 */
const IDLE_TIMEOUT_MS = 3_000;

/** One request to a platform service. */
export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Replaces the client's timeout, in milliseconds. */
  readonly timeoutMs?: number;
}

/** A whole answer, whatever its status. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** Header `ETag`; empty when there is none. */
  readonly etag: string;
  readonly headers: IncomingHttpHeaders;
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
  call(call: HttpRequest): Promise<Either<HttpFailure, HttpResponse>>;
  close(): Promise<void>;
}

function errorCode(err: unknown): string {
  return String((err as {code?: unknown} | undefined)?.code ?? '');
}

async function readResponse(res: IncomingMessage): Promise<HttpResponse> {
  const chunks: Buffer[] = [];
  for await (const chunk of res) chunks.push(chunk as Buffer);
  return {
    status: res.statusCode ?? 0,
    body: Buffer.concat(chunks).toString('utf8'),
    etag: res.headers.etag ?? '',
    headers: res.headers,
  };
}

/** Makes a client; nothing is dialled before the first call. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const {url, clock, timeoutMs = DEFAULT_TIMEOUT_MS} = options;
  const agent = new Agent({
    keepAlive: true,
    // Ends idle connections only; calls have the timer below.
    timeout: IDLE_TIMEOUT_MS,
    maxSockets: options.connections ?? DEFAULT_CONNECTIONS,
  });

  const exchange = (
    call: HttpRequest,
    signal: AbortSignal,
  ): Promise<HttpResponse> =>
    new Promise((resolve, reject) => {
      const req = request(new URL(call.path, url), {
        method: call.method,
        headers: call.headers,
        agent,
        signal,
      });
      req.on('error', reject);
      req.on('response', res => {
        readResponse(res).then(resolve, reject);
      });
      req.end(call.body);
    });

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
          sent: !NOT_SENT_CODES.has(errorCode(err)),
          timedOut: abort.signal.aborted,
          message: err instanceof Error ? err.message : String(err),
        });
      } finally {
        cancel();
      }
    },
    close: () => {
      agent.destroy();
      return Promise.resolve();
    },
  };
}
