/**
 * Decides how long a key may be accepted without news from the store: at most
 * `maxAgeMs` after the newest answered call was sent. Otherwise an entry that
 * is disconnected from the store would accept a removed key for as long as the
 * disconnection lasts.
 *
 * The monotonic clock does not advance while the process is suspended, but the
 * time of day does, so a changed difference between the two shows a suspension.
 * A step of the time of day looks the same. Evidence is then discarded, and one
 * more call to the store replaces it.
 */
import type {Clock} from '../types/runtime.js';

/**
 * The time of day and the monotonic clock may drift apart by this much between
 * two checks, in milliseconds. A larger difference counts as a suspension.
 */
const MAX_CLOCK_DRIFT_MS = 250;
/**
 * Reading both clocks takes less than this on a free core, in milliseconds. A
 * slower reading was interrupted and is repeated.
 */
const MAX_READING_MS = 20;
/** After this many readings an interrupted one is used as it is. */
const MAX_READING_ATTEMPTS = 3;

/**
 * An entry is ready while its evidence is younger than this share of the limit
 * on removed keys.
 */
const READY_AGE_SHARE = 0.6;

/**
 * Age of evidence, in milliseconds, from which on an entry reports that it is
 * not ready.
 */
export function maxReadyAgeMs(revokeMs: number): number {
  return revokeMs * READY_AGE_SHARE;
}

export interface StoreEvidence {
  /**
   * Records that every write acknowledged before `asOf` is known, from an
   * answer to a query sent at `askedAt`. For this entry's own call to the
   * store, both are the time at which the call was sent. For another entry's
   * answer, `asOf` is earlier by the age that the answer states. That age was
   * measured elsewhere, so a suspension of this process cannot falsify it: such
   * an answer counts even if `asOf` lies before a suspension, as long as
   * `askedAt` lies after it.
   */
  confirm(asOf: number, askedAt: number): void;
  /** Age of the newest evidence, in milliseconds; infinite without any. */
  ageMs(): number;
  isFresh(): boolean;
}

/** `wallMs` returns the time of day in milliseconds. */
export function createStoreEvidence(
  clock: Clock,
  wallMs: () => number,
  maxAgeMs: number,
): StoreEvidence {
  let confirmedAt = Number.NEGATIVE_INFINITY;
  /**
   * Time of the last detected suspension or clock step. Answers to earlier
   * queries may be older than they appear.
   */
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
 * Time of day minus the monotonic clock, in milliseconds. A process that is
 * interrupted between the two readings would detect a step where there was none
 * and discard all its evidence, so an interrupted reading is repeated.
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

/**
 * How long a request waits for its key to be confirmed, in milliseconds. After
 * that it is refused.
 */
const CONFIRM_TIMEOUT_MS = 400;
/** Interval between checks for fresh evidence, in milliseconds. */
const CONFIRM_POLL_MS = 20;

/**
 * Resolves to whether keys may be accepted. Where the evidence is too old,
 * `ask` queries the store, which answers within milliseconds. After a freeze or
 * a clock step callers then see a short delay instead of a refusal.
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
