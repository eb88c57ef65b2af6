/**
 * Reports the connections of callers that this entry closes. All are counted by
 * cause; a line is written only where a request may be left without an answer,
 * since idle connections end all the time.
 */
import type {Socket} from 'node:net';
import type {Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {connectionOf} from './connection_name.js';

export type CloseCause =
  /** No request came within the idle limit. */
  | 'idle'
  /** The headers of a request did not come within the header limit. */
  | 'headers late'
  /** No byte of a request's body came for the idle time. */
  | 'body late'
  /** Bytes that are no valid request. */
  | 'invalid bytes'
  /** The last answer stated that the connection closes. */
  | 'answer'
  /** Its descriptor was needed for new connections. */
  | 'descriptors'
  /** The process is draining. */
  | 'drain'
  /** The service that owns the connections has ended. */
  | 'service ended';

export interface Closing {
  readonly cause: CloseCause;
  /** Time since the last answer on the connection, in milliseconds. */
  readonly idleMs: number;
  /** The limit that applied, in milliseconds; undefined where none did. */
  readonly limitMs?: number;
  /** Whether bytes have come of a request that is not answered. */
  readonly isUnanswered: boolean;
}

export type ReportClosing = (socket: Socket, closing: Closing) => void;

export function createClosingReports(log: Log, metrics: Metrics) {
  const report: ReportClosing = (socket, closing) => {
    const {cause, idleMs, limitMs, isUnanswered} = closing;
    metrics.count('onyxloft_direct_callers_closed_total', {
      cause,
      unanswered: String(isUnanswered),
    });
    if (!isUnanswered) return;
    log(DIRECT_EVENTS.callerClosed, {
      connection: connectionOf(socket),
      cause,
      idleMs: Math.round(idleMs),
      limitMs,
    });
  };
  return report;
}
