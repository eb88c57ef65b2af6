/**
 * Turns the answers of a round of offers into the one failure that its caller
 * gets: the most telling reason, and the earliest time that any side named.
 */
import type {ErrorCode, ErrorDetails} from '../../types/errors.js';
import type {Address} from '../../types/ids.js';
import type {RefusalReason} from '../../types/peer_messages.js';

/** `unanswered`: no answer came; the go was never sent. */
export type NotAccepted = RefusalReason | 'unanswered';

export interface Refusal {
  readonly side: Address;
  readonly reason: NotAccepted;
  /** 0 when the side named no time. */
  readonly retryAfterMs: number;
}

/** When to come back after what soon passes, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/** Reasons for which a side that names no time means: never. */
const LASTING: ReadonlySet<NotAccepted> = new Set(['full', 'too-late']);

/** Codes by reason; the first reason found in this order decides. */
const CODES: ReadonlyArray<readonly [NotAccepted, ErrorCode]> = [
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

export function refusedBy(refusals: readonly Refusal[]): ErrorDetails {
  const found = CODES.find(([reason]) =>
    refusals.some(one => one.reason === reason),
  );
  const told = refusals.map(one => one.retryAfterMs).filter(ms => ms > 0);
  return {
    code: found?.[1] ?? 'no-upstream',
    step: refusals.length === 0 ? 'route' : 'offer',
    peer: refusals[0]?.side ?? '',
    message:
      refusals.length === 0
        ? 'no upstream serves this now'
        : `refused by ${refusals.map(nameOf).join(', ')}`,
    retryAfterMs: told.length > 0 ? Math.min(...told) : passing(refusals),
  };
}

function passing(refusals: readonly Refusal[]): number | undefined {
  const lasts =
    refusals.length > 0 && refusals.every(one => LASTING.has(one.reason));
  return lasts ? undefined : RETRY_AFTER_MS;
}

function nameOf(refusal: Refusal): string {
  return `${refusal.side} (${refusal.reason})`;
}
