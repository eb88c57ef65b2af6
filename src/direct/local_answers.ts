/**
 * Answers that the entry generates itself. The statuses 503 and 429 guarantee
 * that the request has not run and never will; 502 and 504 guarantee nothing.
 */
import type {ServerResponse} from 'node:http';

/** Retry time for a refused caller when no better one is known. */
export const DEFAULT_RETRY_AFTER_MS = 250;

export type LocalStatus =
  400 | 401 | 404 | 408 | 413 | 429 | 431 | 502 | 503 | 504;

/** Content of an answer that the entry generates. */
export interface LocalAnswer {
  readonly status: LocalStatus;
  readonly message: string;
  /** Closes the connection, so that a retry can reach another entry. */
  readonly close: boolean;
  /** Time after which a refused caller should retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Sends the answer. Nothing may have been sent on `res` before. */
export function sendLocalAnswer(
  res: ServerResponse,
  {status, message, close, retryAfterMs = DEFAULT_RETRY_AFTER_MS}: LocalAnswer,
): void {
  const body = JSON.stringify({error: message});
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(Buffer.byteLength(body)),
  ];
  if (status === 503 || status === 429) {
    headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(3));
  }
  if (close) headers.push('Connection', 'close');
  res.writeHead(status, headers);
  res.end(body);
}
