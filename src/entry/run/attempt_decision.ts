/**
 * What follows from an attempt's outcome: the final event, or another try. All
 * rules about running a request twice stand in here.
 */
import type {ErrorCode, ErrorDetails, Ran} from '../../types/errors.js';
import type {Address} from '../../types/ids.js';
import type {RunFailed} from '../../types/peer_messages.js';
import type {AttemptOutcome} from './attempt.js';

export interface AttemptContext {
  readonly side: Address;
  readonly repeatable: boolean;
  /** Chunks that came: evidence that it ran. */
  readonly receivedChunks: number;
  /** Chunks that a caller has seen. */
  readonly deliveredChunks: number;
}

export type AttemptDecision =
  | {readonly kind: 'end'; readonly outcome: AttemptOutcome & {kind: 'end'}}
  | {readonly kind: 'fail'; readonly details: ErrorDetails; readonly ran: Ran}
  /** `details` is the failure to give if no other try can be made. */
  | {readonly kind: 'retry'; readonly details: ErrorDetails; readonly ran: Ran};

/** Codes with which a side ends a run for good: another try is no help. */
const FINAL_CODES: ReadonlySet<string> = new Set<ErrorCode | 'superseded'>([
  'bad-request',
  'too-large',
  'unknown-model',
  'deadline-exceeded',
  'cancelled',
  'answer-incomplete',
  'superseded',
]);

/** The run or its record went with a process; the upstream did not fail it. */
const LOST_CODES: ReadonlySet<string> = new Set([
  'incarnation',
  'not-found',
  'owner-lost',
  'superseded',
  'upstream-lost',
]);

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

/** Undefined when the attempt was stopped: its request is over already. */
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

/** The side's codes are more than those that callers rely on. */
function callerCodeOf(code: string): ErrorCode {
  if (FORWARDED_CODES.has(code)) return code as ErrorCode;
  return LOST_CODES.has(code) ? 'upstream-lost' : 'upstream-failed';
}

function retryOrFail(
  reportedRan: Ran,
  context: AttemptContext,
  details: ErrorDetails,
): AttemptDecision {
  const ran = confirmedRan(reportedRan, context);
  // A second run need not give the same words: its chunks after those of the
  // first would make an answer that no run gave.
  if (context.deliveredChunks > 0) return {kind: 'fail', details, ran};
  // Without the side's answer the first run may still go on: a second one would
  // do twice what must be done once.
  if (!context.repeatable && ran !== 'no') return {kind: 'fail', details, ran};
  return {kind: 'retry', details, ran};
}

/** Chunks that came tell that it ran, whatever is said. */
function confirmedRan(reportedRan: Ran, context: AttemptContext): Ran {
  return context.receivedChunks > 0 ? 'yes' : reportedRan;
}
