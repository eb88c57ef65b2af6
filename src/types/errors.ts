/**
 * The one error type that crosses module borders. It carries the step and the
 * peer at which it arose and, for requests, whether the work ran.
 */
import type {RequestId} from './ids.js';

/**
 * Whether the request's work ran on an upstream. `no` is said on evidence
 * only: never sent, or refused by the side that would have run it.
 */
export type Ran = 'no' | 'yes' | 'unknown';

/** Stable codes; callers and scripts may rely on them. */
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

/** Where in the path of a request or order an error arose. */
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

/** What an `OnyxError` is made from. `ran` is `no` unless it is given. */
export interface ErrorDetails {
  readonly code: ErrorCode;
  readonly step: Step;
  /** Address or name of the other end; empty when there is none. */
  readonly peer?: string;
  readonly message: string;
  readonly ran?: Ran;
  readonly requestId?: RequestId;
  /** When to come back, in milliseconds, where that helps. */
  readonly retryAfterMs?: number;
}

/** Error with step and peer. Passed as the `Left` of an `Either`. */
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
