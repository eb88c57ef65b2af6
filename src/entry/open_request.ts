/**
 * One request that this entry owns, from submit to its one final event, and
 * what is known so far of whether its work ran.
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

export interface RequestSummary {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly kind: WorkKind;
  /** As the answer names it; empty for a call. */
  readonly model: string;
  readonly promptTokens: number;
}

export interface OpenRequest extends RequestSummary {
  readonly answerLog: AnswerLog;
  /** Side and dispatch of the newest attempt; empty before the first. */
  side: Address;
  dispatchId: DispatchId;
  /** Highest attempt number given out. */
  lastAttempt: number;
  /** What the attempts that are over let us say. */
  ran: Ran;
  /** Another entry took the run over: what is known here is out of date. */
  takenOver: boolean;
  /** Ends the attempt that runs now. */
  stopCurrentAttempt: (() => void) | undefined;
  /** What the running attempt lets us say. */
  currentAttemptRan: (() => Ran) | undefined;
}

export function createOpenRequest(
  identity: RequestSummary,
  answerLog: AnswerLog,
): OpenRequest {
  return {
    ...identity,
    answerLog: answerLog,
    side: '',
    dispatchId: '',
    lastAttempt: 0,
    ran: 'no',
    takenOver: false,
    stopCurrentAttempt: undefined,
    currentAttemptRan: undefined,
  };
}

const RAN_ORDER: readonly Ran[] = ['no', 'unknown', 'yes'];

/** The stronger claim of two: `yes` over `unknown` over `no`. */
export function mergeRan(a: Ran, b: Ran): Ran {
  return RAN_ORDER.indexOf(a) >= RAN_ORDER.indexOf(b) ? a : b;
}

/** What may be said now about the whole request. */
export function currentRan(open: OpenRequest): Ran {
  return mergeRan(open.ran, open.currentAttemptRan?.() ?? 'no');
}

/** Whether the outcome is a side's word that another entry has the run. */
export function isTakenOver(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'failed' && outcome.failed.code === 'superseded';
}

export function isFinished(open: OpenRequest): boolean {
  return open.answerLog.finalEvent() !== undefined;
}

/** The failure as the caller gets it, with id and `ran` filled in. */
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
