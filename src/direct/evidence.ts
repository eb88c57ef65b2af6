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
/** Two readings of one clock with the other's between them, on a free core. */
const READING_MS = 20;
/** Readings of the clocks before one that was held up is taken as it is. */
const READING_TRIES = 3;

/** Ready means that the store was heard of within this share of the bound. */
const READY_SHARE = 0.6;

/** Older evidence makes an entry say that it is not ready. */
export function readyAgeMs(revokeMs: number): number {
  return revokeMs * READY_SHARE;
}

export interface Evidence {
  /**
   * All that was acknowledged before `asOf` is known, from an answer to a
   * question that was asked at `askedAt`. For an own call to the store both are
   * the time of its sending. For another entry's word `asOf` is earlier by the
   * age that it tells, which no suspension of this process can falsify: it
   * counts though it lies before one, if only the question came after.
   */
  confirm(asOf: number, askedAt: number): void;
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
  /** Answers to what was asked before this time may look younger than they are. */
  let doubtedAt = Number.NEGATIVE_INFINITY;
  let ahead = leadOf(clock, wallMs);

  const checkLead = () => {
    const now = leadOf(clock, wallMs);
    if (Math.abs(now - ahead) > DRIFT_MS) {
      doubtedAt = clock.now();
      confirmedAt = Number.NEGATIVE_INFINITY;
    }
    ahead = now;
  };

  const ageMs = () => {
    checkLead();
    return clock.now() - confirmedAt;
  };

  return {
    confirm: (asOf, askedAt) => {
      checkLead();
      if (askedAt <= doubtedAt) return;
      confirmedAt = Math.max(confirmedAt, asOf);
    },
    ageMs,
    isFresh: () => ageMs() <= limitMs,
  };
}

/**
 * How far the time of day runs ahead of the monotonic clock. A process that is
 * put off between the two readings would see a step that is none, and take all
 * its evidence as void; such a reading is made anew.
 */
function leadOf(clock: Clock, wallMs: () => number): number {
  let lead = 0;
  for (let tries = 0; tries < READING_TRIES; tries++) {
    const before = clock.now();
    lead = wallMs() - before;
    if (clock.now() - before < READING_MS) break;
  }
  return lead;
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
