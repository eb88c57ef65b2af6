/**
 * The state of one request that this entry owns, from its submission to its
 * single final event. It includes what is known of whether the request's work
 * ran.
 */
import {OnyxError} from '../types/errors.js';
import type {ErrorDetails, Ran} from '../types/errors.js';
import type {
  Address,
  DispatchId,
  OrganisationId,
  RequestId,
} from '../types/ids.js';
import type {WorkKind} from '../types/peer_messages.js';
import type {AnswerLog, FinalEvent} from './run/answer_log.js';
import type {AttemptOutcome} from './run/attempt.js';

/** The parts of a request's description that its state reports. */
export interface RequestSummary {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly kind: WorkKind;
  /** Model name as given in the answer; empty for a call. */
  readonly model: string;
  readonly promptTokens: number;
}

/** A request with its answer and the state of its attempts. */
export interface OpenRequest extends RequestSummary {
  readonly answerLog: AnswerLog;
  /**
   * Side of the newest attempt; empty before the first attempt. `dispatchId` is
   * the dispatch of that attempt.
   */
  side: Address;
  dispatchId: DispatchId;
  /** Highest attempt number used so far. */
  lastAttempt: number;
  /** Whether the request ran, as far as the finished attempts show. */
  ran: Ran;
  /**
   * True when another entry has taken over the run, so the state held here is
   * out of date.
   */
  takenOver: boolean;
  /** Stops the current attempt; undefined when none is running. */
  stopCurrentAttempt: (() => void) | undefined;
  /** Whether the current attempt ran, as far as is known. */
  currentAttemptRan: (() => Ran) | undefined;
}

export function createOpenRequest(
  summary: RequestSummary,
  answerLog: AnswerLog,
): OpenRequest {
  return {
    ...summary,
    answerLog,
    side: '',
    dispatchId: '',
    lastAttempt: 0,
    ran: 'no',
    takenOver: false,
    stopCurrentAttempt: undefined,
    currentAttemptRan: undefined,
  };
}

/** From the weakest statement to the strongest. */
const RAN_ORDER: readonly Ran[] = ['no', 'unknown', 'yes'];

/** Returns the stronger of two statements: `yes` over `unknown` over `no`. */
export function mergeRan(a: Ran, b: Ran): Ran {
  return RAN_ORDER.indexOf(a) >= RAN_ORDER.indexOf(b) ? a : b;
}

/** Whether the request ran, as far as all its attempts show now. */
export function currentRan(open: OpenRequest): Ran {
  return mergeRan(open.ran, open.currentAttemptRan?.() ?? 'no');
}

/** True when the side reported that another entry has taken over the run. */
export function isTakenOver(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'failed' && outcome.failed.code === 'superseded';
}

/** True when the request has its final event. */
export function isFinished(open: OpenRequest): boolean {
  return open.answerLog.finalEvent() !== undefined;
}

/**
 * The `failed` event for the caller, with the request id and `ran` filled in.
 */
export function failedEvent(
  open: OpenRequest,
  details: ErrorDetails,
): FinalEvent {
  return {
    kind: 'failed',
    error: new OnyxError({
      ...details,
      requestId: open.id,
      ran: details.ran ?? currentRan(open),
    }),
  };
}
