/**
 * The error type that modules pass to each other. It carries the step and the
 * peer at which the error occurred and, for requests, whether the work ran.
 */
import type {RequestId} from './ids.js';

/**
 * Whether the request's work ran on an upstream. `no` requires evidence: the
 * work was never sent, or the side that would have run it refused it. A retry
 * after a wrong `no` would run the work twice.
 */
export type Ran = 'no' | 'yes' | 'unknown';

/** Stable error codes; callers and scripts may depend on them. */
export type ErrorCode =
  | 'bad-request'
  | 'too-large'
  | 'unauthorised'
  | 'forbidden'
  | 'not-found'
  | 'unknown-model'
  | 'deadline-in-past'
  | 'deadline-unreachable'
  | 'deadline-exceeded'
  | 'limit-reached'
  | 'overloaded'
  | 'no-upstream'
  | 'upstream-lost'
  | 'upstream-failed'
  | 'answer-incomplete'
  | 'already-claimed'
  | 'store-unavailable'
  | 'conflict'
  | 'invalid-config'
  | 'stale'
  | 'draining'
  | 'cancelled'
  | 'peer-unreachable'
  | 'timeout'
  | 'internal';

/** The step of handling a request or order at which an error occurred. */
export type Step =
  | 'read'
  | 'authenticate'
  | 'validate'
  | 'limit'
  | 'claim'
  | 'route'
  | 'offer'
  | 'go'
  | 'run'
  | 'answer'
  | 'abandon'
  | 'resume'
  | 'locate'
  | 'heartbeat'
  | 'config'
  | 'placement'
  | 'store'
  | 'host-list'
  | 'order'
  | 'settings';

/** Arguments of an `OnyxError`. */
export interface ErrorDetails {
  readonly code: ErrorCode;
  readonly step: Step;
  /** Address or name of the peer; empty when there is none. @default '' */
  readonly peer?: string;
  readonly message: string;
  /** Whether the request's work ran. @default 'no' */
  readonly ran?: Ran;
  readonly requestId?: RequestId;
  /** Delay before a retry, in milliseconds, if a retry can succeed. */
  readonly retryAfterMs?: number;
}

/** An error with its step and peer. Usually the `Left` of an `Either`. */
export class OnyxError extends Error {
  readonly code: ErrorCode;
  readonly step: Step;
  readonly peer: string;
  readonly ran: Ran;
  readonly requestId: RequestId | undefined;
  readonly retryAfterMs: number | undefined;

  constructor(details: ErrorDetails) {
    super(details.message);
    this.name = 'OnyxError';
    this.code = details.code;
    this.step = details.step;
    this.peer = details.peer ?? '';
    this.ran = details.ran ?? 'no';
    this.requestId = details.requestId;
    this.retryAfterMs = details.retryAfterMs;
  }
}
