/**
 * How long a caller waits for the next event of a stream before it gives up, as
 * the callers' protocol defines it.
 */
import type {Route} from '../types.js';

/** No caller gives up earlier than this. */
const MIN_TIMEOUT_MS = 2_000;
/** A caller waits this many times the latency objective of its route. */
const AIM_MULTIPLE = 4;
/** A caller waits this many times the pause objective of its route. */
const PAUSE_AIM_MULTIPLE = 8;

/** The longest of all three bounds, in milliseconds. */
export function callerTimeoutMs({aimMs, pauseAimMs}: Route): number {
  return Math.max(AIM_MULTIPLE * aimMs, minCallerTimeoutMs(pauseAimMs));
}

/**
 * Lower bound of the caller's timeout where only the pause objective of its
 * stream is known, in milliseconds. An infinite pause objective adds nothing.
 */
export function minCallerTimeoutMs(pauseAimMs: number): number {
  const pauseTimeoutMs = Number.isFinite(pauseAimMs)
    ? PAUSE_AIM_MULTIPLE * pauseAimMs
    : 0;
  return Math.max(MIN_TIMEOUT_MS, pauseTimeoutMs);
}
