/**
 * Sends JSON responses and errors. All errors to callers and operators have the
 * same JSON form and the HTTP status that belongs to their code.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorCode, OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {Clock} from '../../types/runtime.js';

const MS_PER_SEC = 1000;
/**
 * How long the rest of a refused body is read and discarded. After that the
 * connection is closed.
 */
const DISCARD_TIME_MS = 1_000;

const STATUS_BY_CODE: Readonly<Record<ErrorCode, number>> = {
  'bad-request': 400,
  'too-large': 413,
  unauthorised: 401,
  forbidden: 403,
  'not-found': 404,
  'unknown-model': 404,
  'deadline-in-past': 400,
  'deadline-unreachable': 503,
  'deadline-exceeded': 504,
  'limit-reached': 429,
  overloaded: 503,
  'no-upstream': 503,
  'upstream-lost': 502,
  'upstream-failed': 502,
  'answer-incomplete': 502,
  'already-claimed': 409,
  'store-unavailable': 503,
  conflict: 409,
  'invalid-config': 422,
  stale: 409,
  draining: 503,
  cancelled: 409,
  'peer-unreachable': 502,
  timeout: 504,
  internal: 500,
};

/** The JSON form of an error. */
export interface ErrorBody {
  readonly error: {
    readonly code: ErrorCode;
    readonly step: string;
    /** Address of the upstream's side; empty when none was involved. */
    readonly upstream: string;
    readonly message: string;
    readonly request_id: RequestId;
    /** Whether the request ran on an upstream. */
    readonly ran: 'no' | 'yes' | 'unknown';
    /** Time from now after which to retry, in ms; null when not known. */
    readonly retry_after_ms: number | null;
  };
}

/** Converts an error to its JSON form. `id` is used if the error has no id. */
export function errorBody(error: OnyxError, id: RequestId): ErrorBody {
  return {
    error: {
      code: error.code,
      step: error.step,
      upstream: error.peer,
      message: error.message,
      request_id: error.requestId ?? id,
      ran: error.ran,
      retry_after_ms: error.retryAfterMs ?? null,
    },
  };
}

/**
 * Returns the HTTP status of an error. A body that arrives too slowly is the
 * caller's fault, so that timeout gets 408 instead of 504.
 */
export function statusOf(error: OnyxError): number {
  if (error.code === 'timeout' && error.step === 'read') return 408;
  return STATUS_BY_CODE[error.code];
}

/** Sends a complete JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Sends an error as the response. The response must not have begun. */
export function sendError(
  res: ServerResponse,
  error: OnyxError,
  id: RequestId,
  status = statusOf(error),
): void {
  if (error.retryAfterMs !== undefined) {
    res.setHeader('Retry-After', Math.ceil(error.retryAfterMs / MS_PER_SEC));
  }
  if (error.code === 'unauthorised') {
    res.setHeader('WWW-Authenticate', 'Bearer');
  }
  sendJson(res, status, errorBody(error, id));
}

/**
 * Reads and discards the rest of a refused body for a short time, then closes
 * the connection. Closing it at once would reset the connection, and the caller
 * could receive the reset before the error response. Reading without a limit
 * would let a refused caller keep the connection busy.
 */
export function discardRestOfBody(
  req: IncomingMessage,
  res: ServerResponse,
  clock: Clock,
): void {
  if (req.complete) return;
  res.on('finish', () => {
    req.resume();
    const cancel = clock.after(DISCARD_TIME_MS, () => {
      if (!req.complete) req.socket.destroy();
    });
    req.once('close', cancel);
  });
}
