/**
 * How long a caller waits for the next event of a stream before it leaves, as
 * the callers' protocol says.
 */
import type {Route} from '../types.js';

const LEAST_MS = 2_000;
const TIMES_AIM = 4;
const TIMES_PAUSE_AIM = 8;

export function callerTimeoutMs({aimMs, pauseAimMs}: Route): number {
  return Math.max(TIMES_AIM * aimMs, minCallerTimeoutMs(pauseAimMs));
}

/** What is sure of it where only the aim of a stream's pauses is known. */
export function minCallerTimeoutMs(pauseAimMs: number): number {
  const byPause = Number.isFinite(pauseAimMs)
    ? TIMES_PAUSE_AIM * pauseAimMs
    : 0;
  return Math.max(LEAST_MS, byPause);
}
