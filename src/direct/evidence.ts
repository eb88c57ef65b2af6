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
 *
 * The same evidence decides whether a request may be denied for its route or
 * its key. A version that allows it may be newer than the evidence, so the limit
 * there is the time within which a new version must be in force.
 */
import type {Cancel, Clock} from '../types/runtime.js';
import {createGuard} from '../utils/callback_guard.js';

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

/** Where evidence comes from. */
export interface EvidenceOrigin {
  /** Name of the peer that answered; undefined for an own call. */
  readonly peer?: string;
  /** Name of the entry whose call to the store it is. */
  readonly source: string;
}

export interface StoreEvidence {
  /**
   * Records that every write acknowledged before `asOf` is known, from an
   * answer to a query sent at `askedAt`. For this entry's own call to the
   * store, both are the time at which the call was sent. For a peer's answer,
   * `asOf` is earlier by the age that the answer states. That age was measured
   * elsewhere, so a suspension of this process cannot falsify it: such an
   * answer counts even if `asOf` lies before a suspension, as long as `askedAt`
   * lies after it.
   */
  confirm(asOf: number, askedAt: number, origin?: EvidenceOrigin): void;
  /** Age of the newest evidence, in milliseconds; infinite without any. */
  ageMs(): number;
  /** Where the newest evidence comes from; undefined without any. */
  origin(): EvidenceOrigin | undefined;
  /** Whether the evidence is recent enough to accept keys. */
  isFresh(): boolean;
  /**
   * Whether the evidence is no older than this, in milliseconds, and recent
   * enough to accept keys.
   */
  isYoungerThan(ageMs: number): boolean;
  /**
   * Time of the last detected suspension or clock step, on this process's clock;
   * minus infinity without any.
   */
  invalidatedAt(): number;
  /** Calls `listener` after each `confirm`, until the result is called. */
  onConfirm(listener: () => void): Cancel;
}

/** `wallMs` returns the time of day in milliseconds. */
export function createStoreEvidence(
  clock: Clock,
  wallMs: () => number,
  maxAgeMs: number,
): StoreEvidence {
  let confirmedAt = Number.NEGATIVE_INFINITY;
  let newestOrigin: EvidenceOrigin | undefined;
  /**
   * Time of the last detected suspension or clock step. Answers to earlier
   * queries may be older than they appear.
   */
  let invalidatedAt = Number.NEGATIVE_INFINITY;
  let clockOffset = readClockOffset(clock, wallMs);
  const listeners = new Set<() => void>();

  const checkClockOffset = () => {
    const offset = readClockOffset(clock, wallMs);
    if (Math.abs(offset - clockOffset) > MAX_CLOCK_DRIFT_MS) {
      invalidatedAt = clock.now();
      confirmedAt = Number.NEGATIVE_INFINITY;
      newestOrigin = undefined;
    }
    clockOffset = offset;
  };

  const ageMs = () => {
    checkClockOffset();
    return clock.now() - confirmedAt;
  };

  return {
    confirm: (asOf, askedAt, origin) => {
      checkClockOffset();
      if (askedAt <= invalidatedAt) return;
      if (asOf > confirmedAt) {
        confirmedAt = asOf;
        newestOrigin = origin;
      }
      for (const listener of [...listeners]) listener();
    },
    ageMs,
    origin: () => newestOrigin,
    isFresh: () => ageMs() <= maxAgeMs,
    isYoungerThan: limitMs => ageMs() <= Math.min(limitMs, maxAgeMs),
    invalidatedAt: () => {
      checkClockOffset();
      return invalidatedAt;
    },
    onConfirm: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
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
export const CONFIRM_TIMEOUT_MS = 400;
/** A request that may be denied asks again at this interval, in milliseconds. */
const ASK_AGAIN_MS = 100;
/**
 * Time after an entry's start, in milliseconds, within which its keys are
 * confirmed for the first time, also on a slow machine. It is the sum of the
 * time that peers have to report a newer configuration and of one call to the
 * store.
 */
export const FIRST_CONFIRMATION_MS = 900;

/**
 * How long a request waits for the confirmation of its key, in milliseconds, if
 * it arrives `sinceStartMs` after the entry's start. After a power failure all
 * callers return at once to entries that all wait for their first confirmation.
 * If they were refused shortly before it, each would need another connection.
 */
export function confirmTimeoutMs(sinceStartMs: number): number {
  return Math.max(CONFIRM_TIMEOUT_MS, FIRST_CONFIRMATION_MS - sinceStartMs);
}

/**
 * Resolves to whether keys may be accepted. Where the evidence is too old,
 * `ask` queries the store, which answers within milliseconds. After a freeze or
 * a clock step callers then see a short delay instead of a refusal. There is
 * one timer for each waiting request and no polling, because hundreds of
 * callers may wait in the first second of an entry.
 */
export function waitForFreshEvidence(
  clock: Clock,
  evidence: StoreEvidence,
  ask: () => void,
  timeoutMs = CONFIRM_TIMEOUT_MS,
): Promise<boolean> {
  return waitForEvidence(clock, evidence, ask, timeoutMs, Infinity);
}

/**
 * Likewise resolves to whether a request may be denied: whether the newest
 * evidence is no older than `maxAgeMs`.
 */
export function waitForYoungEvidence(
  clock: Clock,
  evidence: StoreEvidence,
  ask: () => void,
  maxAgeMs: number,
): Promise<boolean> {
  // A peer's own evidence may be too old just now, and is renewed every second.
  return waitForEvidence(
    clock,
    evidence,
    ask,
    CONFIRM_TIMEOUT_MS,
    maxAgeMs,
    ASK_AGAIN_MS,
  );
}

/** An error in a callback of one wait rejects that wait only. */
function waitForEvidence(
  clock: Clock,
  evidence: StoreEvidence,
  ask: () => void,
  timeoutMs: number,
  maxAgeMs: number,
  askAgainMs?: number,
): Promise<boolean> {
  const isEnough = () => evidence.isYoungerThan(maxAgeMs);
  if (isEnough()) return Promise.resolve(true);
  return new Promise((resolve, reject) => {
    const cancels: Cancel[] = [];
    const cancelAll = () => cancels.forEach(cancel => cancel());
    const guard = createGuard(err => {
      cancelAll();
      reject(err as Error);
    });
    const settle = (isFresh: boolean): void => {
      cancelAll();
      resolve(isFresh);
    };
    const onTimeout = guard('evidence late', () => settle(isEnough()));
    const onConfirm = guard('evidence', () => {
      if (isEnough()) settle(true);
    });
    const start = guard('wait for evidence', () => {
      cancels.push(clock.after(timeoutMs, onTimeout));
      cancels.push(evidence.onConfirm(onConfirm));
      if (askAgainMs !== undefined) {
        cancels.push(clock.every(askAgainMs, guard('ask again', ask)));
      }
      ask();
    });
    start();
  });
}
