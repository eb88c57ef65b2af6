/**
 * Decides what follows an attempt's outcome: the request's final event or
 * another attempt. All rules about running a request twice are in this module.
 */
import type {ErrorCode, ErrorDetails, Ran} from '../../types/errors.js';
import type {Address} from '../../types/ids.js';
import type {RunFailed} from '../../types/peer_messages.js';
import type {AttemptOutcome} from './attempt.js';

/** What the decision takes into account besides the outcome. */
export interface AttemptContext {
  readonly side: Address;
  readonly repeatable: boolean;
  /** Number of chunks received; any chunk proves that the request ran. */
  readonly receivedChunks: number;
  /** Number of chunks that a caller has seen. */
  readonly deliveredChunks: number;
}

/** What follows an attempt: the end, a failure or a retry. */
export type AttemptDecision =
  | {readonly kind: 'end'; readonly outcome: AttemptOutcome & {kind: 'end'}}
  | {readonly kind: 'fail'; readonly details: ErrorDetails; readonly ran: Ran}
  /**
   * `details` is the failure for the caller if no other attempt can be made.
   */
  | {readonly kind: 'retry'; readonly details: ErrorDetails; readonly ran: Ran};

/**
 * Codes with which a side ends a run permanently, so that another attempt would
 * not help.
 */
const FINAL_CODES: ReadonlySet<string> = new Set<ErrorCode | 'superseded'>([
  'bad-request',
  'too-large',
  'unknown-model',
  'deadline-exceeded',
  'cancelled',
  'answer-incomplete',
  'superseded',
]);

/**
 * Codes for a run or its record lost together with a process. The upstream did
 * not fail the run.
 */
const LOST_CODES: ReadonlySet<string> = new Set([
  'incarnation',
  'not-found',
  'owner-lost',
  'superseded',
  'upstream-lost',
]);

/** Codes of a side that callers get unchanged. */
const FORWARDED_CODES: ReadonlySet<string> = new Set<ErrorCode>([
  'bad-request',
  'too-large',
  'unknown-model',
  'deadline-exceeded',
  'deadline-unreachable',
  'cancelled',
  'answer-incomplete',
  'overloaded',
]);

/**
 * Returns what follows the attempt; undefined when it was stopped, since its
 * request is then already over.
 */
export function decideAfterAttempt(
  outcome: AttemptOutcome,
  context: AttemptContext,
): AttemptDecision | undefined {
  switch (outcome.kind) {
    case 'stopped':
      return undefined;
    case 'end':
      return {kind: 'end', outcome};
    case 'changed':
      return {
        kind: 'fail',
        ran: 'yes',
        details: {
          code: 'answer-incomplete',
          step: 'answer',
          peer: context.side,
          message: 'the answer is not what the side sent; count or digest',
        },
      };
    case 'failed':
      return decideAfterFailure(outcome.failed, context);
    case 'lost':
      return retryOrFail(outcome.ran, context, {
        code: 'upstream-lost',
        step: 'run',
        peer: context.side,
        message: `the side went away in mid-run (${outcome.reason})`,
      });
  }
}

/** Decides what follows a failure that the side reported. */
function decideAfterFailure(
  failed: RunFailed,
  context: AttemptContext,
): AttemptDecision {
  const details: ErrorDetails = {
    code: callerCodeOf(failed.code),
    step: 'run',
    peer: context.side,
    message: failed.message,
    retryAfterMs: failed.retryAfterMs > 0 ? failed.retryAfterMs : undefined,
  };
  if (FINAL_CODES.has(failed.code)) {
    return {kind: 'fail', details, ran: confirmedRan(failed.ran, context)};
  }
  return retryOrFail(failed.ran, context, details);
}

/** Maps a side's code to one that callers may rely on; sides use more codes. */
function callerCodeOf(code: string): ErrorCode {
  if (FORWARDED_CODES.has(code)) return code as ErrorCode;
  return LOST_CODES.has(code) ? 'upstream-lost' : 'upstream-failed';
}

/** Decides between a retry and a failure. */
function retryOrFail(
  reportedRan: Ran,
  context: AttemptContext,
  details: ErrorDetails,
): AttemptDecision {
  const ran = confirmedRan(reportedRan, context);
  // A second run may produce different text. Its chunks after those of the
  // first would form an answer that no run produced.
  if (context.deliveredChunks > 0) return {kind: 'fail', details, ran};
  // Unless the first run is known not to have run, it may still be running. A
  // second run could repeat work that must be done only once.
  if (!context.repeatable && ran !== 'no') return {kind: 'fail', details, ran};
  return {kind: 'retry', details, ran};
}

/** Received chunks prove that the request ran, whatever was reported. */
function confirmedRan(reportedRan: Ran, context: AttemptContext): Ran {
  return context.receivedChunks > 0 ? 'yes' : reportedRan;
}
