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
const MAX_CLOCK_DRIFT_MS = 250;
/** Two readings of one clock with the other's between them, on a free core. */
const MAX_READING_MS = 20;
/** Readings of the clocks before one that was held up is taken as it is. */
const MAX_READING_ATTEMPTS = 3;

/** Ready means that the store was heard of within this share of the bound. */
const READY_AGE_SHARE = 0.6;

/** Older evidence makes an entry say that it is not ready. */
export function maxReadyAgeMs(revokeMs: number): number {
  return revokeMs * READY_AGE_SHARE;
}

export interface StoreEvidence {
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
export function createStoreEvidence(
  clock: Clock,
  wallMs: () => number,
  maxAgeMs: number,
): StoreEvidence {
  let confirmedAt = Number.NEGATIVE_INFINITY;
  /** Answers to what was asked before this time may look younger than they are. */
  let invalidatedAt = Number.NEGATIVE_INFINITY;
  let clockOffset = readClockOffset(clock, wallMs);

  const checkClockOffset = () => {
    const offset = readClockOffset(clock, wallMs);
    if (Math.abs(offset - clockOffset) > MAX_CLOCK_DRIFT_MS) {
      invalidatedAt = clock.now();
      confirmedAt = Number.NEGATIVE_INFINITY;
    }
    clockOffset = offset;
  };

  const ageMs = () => {
    checkClockOffset();
    return clock.now() - confirmedAt;
  };

  return {
    confirm: (asOf, askedAt) => {
      checkClockOffset();
      if (askedAt <= invalidatedAt) return;
      confirmedAt = Math.max(confirmedAt, asOf);
    },
    ageMs,
    isFresh: () => ageMs() <= maxAgeMs,
  };
}

/**
 * How far the time of day runs ahead of the monotonic clock. A process that is
 * put off between the two readings would see a step that is none, and take all
 * its evidence as void; such a reading is made anew.
 */
function readClockOffset(clock: Clock, wallMs: () => number): number {
  let offset = 0;
  for (let attempt = 0; attempt < MAX_READING_ATTEMPTS; attempt++) {
    const before = clock.now();
    offset = wallMs() - before;
    if (clock.now() - before < MAX_READING_MS) break;
  }
  return offset;
}

/** A request waits so long for the store to confirm its key. */
const CONFIRM_TIMEOUT_MS = 400;
const CONFIRM_POLL_MS = 20;

/**
 * Whether keys may be taken as valid. Where the evidence has grown old, `ask`
 * asks the store, which answers in milliseconds; a freeze or a stepped clock
 * then costs callers that, and not a refusal.
 */
export async function waitForFreshEvidence(
  clock: Clock,
  evidence: StoreEvidence,
  ask: () => void,
): Promise<boolean> {
  if (evidence.isFresh()) return true;
  ask();
  const deadline = clock.now() + CONFIRM_TIMEOUT_MS;
  while (clock.now() < deadline) {
    await new Promise<void>(
      resolve => void clock.after(CONFIRM_POLL_MS, resolve),
    );
    if (evidence.isFresh()) return true;
  }
  return false;
}
