/**
 * Answers of the entry's own. 503 and 429 promise that the request has not run
 * and never will; 502 and 504 promise nothing.
 */
import type {ServerResponse} from 'node:http';

/** When a refused caller should come back, where nothing is known of it. */
const DEFAULT_RETRY_AFTER_MS = 250;

export type LocalStatus =
  400 | 401 | 404 | 408 | 413 | 429 | 431 | 502 | 503 | 504;

/** What the caller is told. */
export interface LocalAnswer {
  readonly status: LocalStatus;
  readonly message: string;
  /** Ends the connection, so that a retry reaches another entry. */
  readonly close: boolean;
  /** When a refused caller should come back, from now. */
  readonly retryAfterMs?: number;
}

/** Sends the answer; nothing of another may have been sent. */
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
