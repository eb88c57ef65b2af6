/**
 * Combines the refusals of a round of offers into the one failure that the
 * caller gets. It has the most significant reason and the earliest retry time
 * that a side named.
 */
import type {ErrorCode, ErrorDetails} from '../../types/errors.js';
import type {Address} from '../../types/ids.js';
import type {RefusalReason} from '../../types/peer_messages.js';

/** `unanswered`: the side did not answer, and no go was sent. */
export type OfferFailureReason = RefusalReason | 'unanswered';

/** One side's refusal of an offer. */
export interface Refusal {
  readonly side: Address;
  readonly reason: OfferFailureReason;
  /** Retry time named by the side, in milliseconds; 0 when it named none. */
  readonly retryAfterMs: number;
}

/** Retry time for conditions expected to pass soon, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/** Reasons that are permanent when the side names no retry time. */
const PERMANENT_REASONS: ReadonlySet<OfferFailureReason> = new Set([
  'full',
  'too-late',
]);

/**
 * Error code for each reason. The first reason in this order that occurs among
 * the refusals decides.
 */
const CODE_BY_REASON: ReadonlyArray<readonly [OfferFailureReason, ErrorCode]> =
  [
    ['full', 'overloaded'],
    ['queue-full', 'overloaded'],
    ['too-late', 'deadline-unreachable'],
    ['engine-down', 'no-upstream'],
    ['no-model', 'no-upstream'],
    ['leaving', 'no-upstream'],
    ['incarnation', 'no-upstream'],
    ['tombstoned', 'no-upstream'],
    ['unanswered', 'no-upstream'],
  ];

/** Combines the refusals into the failure for the caller. */
export function refusalError(refusals: readonly Refusal[]): ErrorDetails {
  const found = CODE_BY_REASON.find(([reason]) =>
    refusals.some(one => one.reason === reason),
  );
  const retryTimes = refusals.map(one => one.retryAfterMs).filter(ms => ms > 0);
  return {
    code: found?.[1] ?? 'no-upstream',
    step: refusals.length === 0 ? 'route' : 'offer',
    peer: refusals[0]?.side ?? '',
    message:
      refusals.length === 0
        ? 'no upstream serves this now'
        : `refused by ${refusals.map(describeRefusal).join(', ')}`,
    retryAfterMs:
      retryTimes.length > 0
        ? Math.min(...retryTimes)
        : defaultRetryAfterMs(refusals),
  };
}

/**
 * Retry time when no side named one; undefined when all reasons are permanent.
 */
function defaultRetryAfterMs(refusals: readonly Refusal[]): number | undefined {
  const isPermanent =
    refusals.length > 0 &&
    refusals.every(one => PERMANENT_REASONS.has(one.reason));
  return isPermanent ? undefined : RETRY_AFTER_MS;
}

function describeRefusal(refusal: Refusal): string {
  return `${refusal.side} (${refusal.reason})`;
}
