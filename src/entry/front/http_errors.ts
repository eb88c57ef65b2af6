/** The one JSON form of errors towards callers and operators. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ErrorCode, OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {Clock} from '../../types/runtime.js';

const MS_PER_SEC = 1000;
/** How long the rest of a refused body is read and thrown away. */
const LINGER_MS = 1_000;

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

/** What an error looks like to a caller. */
export interface ErrorBody {
  readonly error: {
    readonly code: ErrorCode;
    readonly step: string;
    /** Address of the upstream's side; empty when none was asked. */
    readonly upstream: string;
    readonly message: string;
    readonly request_id: RequestId;
    readonly ran: 'no' | 'yes' | 'unknown';
    readonly retry_after_ms: number | null;
  };
}

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

/** A sender that is too slow is its own fault: 408 rather than 504. */
export function statusOf(error: OnyxError): number {
  if (error.code === 'timeout' && error.step === 'read') return 408;
  return STATUS_BY_CODE[error.code];
}

/** Sends a JSON answer as a whole. */
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

/** Sends an error as the answer; only while no answer has begun. */
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
 * A refused body may still be on its way. Closing at once would reset the
 * connection, and the reset can overtake the error; reading on for good would
 * let a refused caller hold the connection. So the rest is read and dropped
 * for a short while, which is enough for the error to be read.
 */
export function discardRestOfBody(
  req: IncomingMessage,
  res: ServerResponse,
  clock: Clock,
): void {
  if (req.complete) return;
  res.on('finish', () => {
    req.resume();
    const cancel = clock.after(LINGER_MS, () => {
      if (!req.complete) req.socket.destroy();
    });
    req.once('close', cancel);
  });
}
