/**
 * Until when a key may be taken as valid: no longer than `limitMs` after the
 * sending of the newest call to the store that was answered. An entry that is
 * cut off from the store would otherwise serve a key for as long as the cut
 * lasts after it was taken away.
 *
 * A process that was suspended doesn't see the time on its monotonic clock, but
 * the time of day runs ahead of it. A stepped time of day looks the same; then
 * one more call to the store settles it.
 */
import type {Clock} from '../types/runtime.js';

/** Time of day and monotonic clock drift apart by less than this. */
const DRIFT_MS = 250;

/** Ready means that the store was heard of within this share of the bound. */
const READY_SHARE = 0.6;

/** Older evidence makes an entry say that it is not ready. */
export function readyAgeMs(revokeMs: number): number {
  return revokeMs * READY_SHARE;
}

export interface Evidence {
  /** The store has answered a call that was sent at `sentAt`. */
  confirm(sentAt: number): void;
  /** Age of the newest evidence, in milliseconds; infinite without any. */
  ageMs(): number;
  isFresh(): boolean;
}

/** `wallMs` is the time of day in milliseconds. */
export function createEvidence(
  clock: Clock,
  wallMs: () => number,
  limitMs: number,
): Evidence {
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let ahead = 0;
  /** Before this time nothing counts: the process may have stood still. */
  let doubtedAt = Number.NEGATIVE_INFINITY;

  const lead = () => wallMs() - clock.now();
  const checkLead = () => {
    const now = lead();
    if (Math.abs(now - ahead) > DRIFT_MS) doubtedAt = clock.now();
    ahead = now;
  };
  ahead = lead();

  const ageMs = () => {
    checkLead();
    return confirmedAt <= doubtedAt
      ? Number.POSITIVE_INFINITY
      : clock.now() - confirmedAt;
  };

  return {
    confirm: sentAt => {
      checkLead();
      confirmedAt = Math.max(confirmedAt, sentAt);
    },
    ageMs,
    isFresh: () => ageMs() <= limitMs,
  };
}

/** A request waits so long for the store to confirm its key. */
const CONFIRM_WAIT_MS = 400;
const CONFIRM_LOOK_MS = 20;

/**
 * Whether keys may be taken as valid. Where the evidence has grown old, `ask`
 * asks the store, which answers in milliseconds; a freeze or a stepped clock
 * then costs callers that, and not a refusal.
 */
export async function waitForEvidence(
  clock: Clock,
  evidence: Evidence,
  ask: () => void,
): Promise<boolean> {
  if (evidence.isFresh()) return true;
  ask();
  const until = clock.now() + CONFIRM_WAIT_MS;
  while (clock.now() < until) {
    await new Promise<void>(
      resolve => void clock.after(CONFIRM_LOOK_MS, resolve),
    );
    if (evidence.isFresh()) return true;
  }
  return false;
}
