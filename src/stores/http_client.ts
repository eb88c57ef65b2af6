/**
 * HTTP client for the platform's services, with pooled connections and a
 * timeout for each request. Failures are returned as values. A failure states
 * whether the request may have reached the service. The caller of a write needs
 * this to tell "did not happen" from "outcome unknown".
 */
import {Agent, request} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Cancel, Clock} from '../types/runtime.js';
import {createGuard} from '../utils/callback_guard.js';
import {answerEnd, isTransferCoded} from '../utils/answer_end.js';
import {untilSocketsRead} from '../utils/event_loop.js';
import {NO_FINAL_STATUS, isFinalStatus} from '../utils/final_status.js';
import {watchReset} from '../utils/socket_reset.js';
import type {ReadTurns} from '../utils/read_turns.js';
import {createReceivedBytes} from '../utils/received_bytes.js';
import {watchWire} from '../utils/wire_bytes.js';
import type {WireWatch} from '../utils/wire_bytes.js';

/** Errors of connecting. The request was not sent, as no connection existed. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/** Time limit of a request, in milliseconds. A slower request is aborted. */
const DEFAULT_TIMEOUT_MS = 1_000;
/**
 * Largest body of a response, in bytes. A page of a list has about 1 MB, and a
 * configuration of a thousand routes has some hundred kilobytes.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Maximum number of open connections. Further requests wait for a free one. */
const DEFAULT_MAX_CONNECTIONS = 16;
/**
 * The client closes a connection that was idle for this many milliseconds.
 * Servers close idle connections after five seconds or more. A request that is
 * sent while the server closes the connection fails with an unknown outcome.
 * The client therefore closes first. The two seconds between are enough for a
 * busy process, which may close late.
 */
const IDLE_TIMEOUT_MS = 3_000;

/** One request to a platform service. */
export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path with the query string. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Overrides the client's timeout, in milliseconds. */
  readonly timeoutMs?: number;
  /**
   * Limit from the first bytes of the response to its end, in milliseconds. A
   * response that has begun has nothing to wait for. @default none
   */
  readonly transferTimeoutMs?: number;
}

/** A complete response, with any final status. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** Value of the `ETag` header; empty when the header is missing. */
  readonly etag: string;
  readonly headers: IncomingHttpHeaders;
  /**
   * The body has neither a length nor chunks, so that it may be a part of what
   * the service would have sent; see `answer_end.ts`.
   */
  readonly endsWithConnection: boolean;
}

/** Failure of a request that got no complete response. */
export interface HttpFailure {
  /**
   * False only when the request cannot have reached the service, because no
   * connection existed. True also for other failures before anything was sent,
   * such as a timeout while the request waited for a connection.
   */
  readonly sent: boolean;
  readonly timedOut: boolean;
  readonly message: string;
}

/** Address and limits of a client. */
export interface HttpClientOptions {
  /** Base URL, for example `http://127.0.0.1:7400`. */
  readonly url: string;
  readonly clock: Clock;
  /** @default the work with responses is not bounded */
  readonly turns?: ReadTurns | undefined;
  /**
   * Limit from the call to the complete response, in milliseconds.
   * @default 1000
   */
  readonly timeoutMs?: number;
  /** Maximum number of open connections. @default 16 */
  readonly connections?: number;
  /**
   * Called with an error of this process in the callback of this name. The
   * request fails with it. @default it is only in the failure's message
   */
  onError?(err: unknown, callback: string): void;
}

/** Client of one platform service, with pooled connections. */
export interface HttpClient {
  call(req: HttpRequest): Promise<Either<HttpFailure, HttpResponse>>;
  /** Closes the connections without a request in progress. */
  closeIdle(): void;
  /** Closes all connections, also those of requests in progress. */
  close(): Promise<void>;
}

function errorCode(err: unknown): string {
  return String((err as {code?: unknown} | undefined)?.code ?? '');
}

async function readResponse(
  method: string,
  res: IncomingMessage,
  wire: Pick<WireWatch, 'readBody'>,
): Promise<HttpResponse> {
  const {statusCode: status = 0, headers} = res;
  if (!isFinalStatus(status)) {
    res.destroy();
    throw new Error(NO_FINAL_STATUS);
  }
  const endsWithConnection =
    answerEnd(method, {status, headers}) === 'connection';
  // Such a connection is not used again; the others would gather listeners.
  const wasReset = endsWithConnection ? watchReset(res.socket) : () => false;
  if (isTransferCoded(method, {status, headers})) {
    res.destroy();
    throw new Error('a response in a transfer coding');
  }
  const body = await readWhole(res, wire);
  if (endsWithConnection && wasReset()) throw new Error('reset');
  return {
    status,
    body: body.toString('utf8'),
    etag: headers.etag ?? '',
    headers,
    endsWithConnection,
  };
}

/** Rejects where the response breaks off or has no end. */
function readWhole(
  res: IncomingMessage,
  wire: Pick<WireWatch, 'readBody'>,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const received = createReceivedBytes();
    wire.readBody(res, bytes => {
      received.add(bytes);
      if (received.length() <= MAX_RESPONSE_BYTES) return;
      reject(new Error('a response without end'));
      res.destroy();
    });
    res.once('end', () => resolve(received.take()));
    res.once('error', reject);
    res.once('close', () => reject(new Error('cut')));
  });
}

/**
 * Closes the idle connections. Connections to one service tend to fail silently
 * together. A call that was sent on the next idle one would wait for its limit
 * as well, and so on for each of them.
 */
function dropIdle(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

/** Creates a client. It connects at the first call. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const {url, clock, timeoutMs = DEFAULT_TIMEOUT_MS, onError} = options;
  const agent = new Agent({
    keepAlive: true,
    // Closes idle connections only. The timer below limits each request.
    timeout: IDLE_TIMEOUT_MS,
    maxSockets: options.connections ?? DEFAULT_MAX_CONNECTIONS,
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
      const guard = createGuard((err, callback) => {
        onError?.(err, callback);
        reject(err as Error);
        // With the error, a connection that is free again would emit it.
        req.destroy();
      });
      const {transferTimeoutMs = Infinity} = call;
      const limitTransfer = () => {
        if (transferTimeoutMs === Infinity) return;
        let isClosed = false;
        const end = () => {
          // After a stall the rest may have come and lie unread.
          void untilSocketsRead().then(() => {
            if (!isClosed) req.destroy(new Error('a response too slow'));
          });
        };
        const cancel = clock.after(transferTimeoutMs, end);
        req.once('close', () => {
          isClosed = true;
          cancel();
        });
      };
      const wire = watchWire(req, {
        now: clock.now,
        turns: options.turns,
        from: {kind: 'store', name: url},
        onEndless: () => req.destroy(new Error('bytes without end')),
        onFirst: limitTransfer,
        guard,
      });
      // A switch to another protocol ends the request without an error.
      req.on('upgrade', (_res, socket) => {
        socket.destroy();
        reject(new Error(NO_FINAL_STATUS));
      });
      const onResponse = (res: IncomingMessage) => {
        readResponse(call.method, res, wire).then(resolve, reject);
      };
      req.on('response', guard('answer', onResponse));
      req.end(call.body);
    });

  return {
    call: async req => {
      // A connection can stop delivering data forever, although a new
      // connection would work. Without a limit the caller would wait forever.
      // The abort destroys the connection, so the next request opens a new one.
      const abort = new AbortController();
      const limitMs = req.timeoutMs ?? timeoutMs;
      let isOver = false;
      let cancel: Cancel = () => undefined;
      try {
        // After a stall the answer may have come and lie unread.
        cancel = clock.after(limitMs, () => {
          void untilSocketsRead().then(() => isOver || abort.abort());
        });
        return Right(await exchange(req, abort.signal));
      } catch (err) {
        dropIdle(agent);
        return Left({
          sent: !NOT_SENT_CODES.has(errorCode(err)),
          timedOut: abort.signal.aborted,
          message: err instanceof Error ? err.message : String(err),
        });
      } finally {
        isOver = true;
        cancel();
      }
    },
    closeIdle: () => dropIdle(agent),
    close: () => {
      agent.destroy();
      return Promise.resolve();
    },
  };
}
