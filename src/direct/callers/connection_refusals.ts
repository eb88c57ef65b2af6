/**
 * Refuses new connections for which the entry has no time or no memory, without
 * parsing their requests. A connection that is closed unread is reset, and its
 * caller can't tell whether the request ran or when to come back; so the first
 * bytes that come are answered with 503, and the rest of them is discarded.
 */
import type {Socket} from 'node:net';
import type {Clock} from '../../types/runtime.js';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import type {ConnectionEnds} from './connection_end.js';
import {afterPoll} from './connection_end.js';
import type {InputDiscards} from './input_discards.js';

/** Most refused connections that are open; others are closed unread. */
const MAX_REFUSED = 512;
/** Longest wait for the first bytes, in milliseconds. */
const FIRST_BYTES_MS = 2_000;
/** A retry usually reaches another entry, so it need not wait long. */
const LEAST_RETRY_MS = 100;
const RETRY_SPREAD_MS = 300;
const BODY = JSON.stringify({error: 'too many new connections'});

export interface ConnectionRefusals {
  refuse(socket: Socket): void;
  /** Number of refused connections that are still open. */
  count(): number;
}

export interface ConnectionRefusalsOptions {
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly ends: Pick<ConnectionEnds, 'end'>;
  readonly discards: Pick<InputDiscards, 'discardFirst'>;
  readonly guards: Pick<ConnectionGuards, 'of'>;
}

export function createConnectionRefusals({
  clock,
  random,
  ends,
  discards,
  guards,
}: ConnectionRefusalsOptions): ConnectionRefusals {
  const open = new Set<Socket>();

  const refuse = (socket: Socket): void => {
    if (open.size >= MAX_REFUSED) {
      socket.destroy();
      return;
    }
    open.add(socket);
    let isAnswered = false;
    const closeUnlessAnswered = () => {
      if (!isAnswered) socket.destroy();
    };
    // Bytes that came while the process stood still lie in the kernel.
    const cancel = clock.after(FIRST_BYTES_MS, () =>
      afterPoll(closeUnlessAnswered),
    );
    socket.once('close', () => {
      cancel();
      open.delete(socket);
    });
    // Nothing is written before a request comes: a caller that opened the
    // connection ahead would take it for the answer to another one.
    const answer = guards.of(socket)('refusal', () => {
      isAnswered = true;
      cancel();
      const retryMs = LEAST_RETRY_MS + random() * RETRY_SPREAD_MS;
      socket.write(refusalText(retryMs));
      ends.end(socket, 'discard', () => undefined);
    });
    discards.discardFirst(socket, answer);
  };
  return {refuse, count: () => open.size};
}

function refusalText(retryMs: number): string {
  return [
    'HTTP/1.1 503 Service Unavailable',
    'Connection: close',
    `Retry-After: ${(retryMs / 1_000).toFixed(3)}`,
    'Content-Type: application/json',
    `Content-Length: ${BODY.length}`,
    '',
    BODY,
  ].join('\r\n');
}
