/**
 * Measures how long the event loop of this process stands still. Meanwhile
 * nothing is read and nothing is sent, so callers may give up unseen.
 */
import type {Cancel, Clock, Log, Metrics} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';

/** Interval of the measurements, in milliseconds. */
const INTERVAL_MS = 100;
/** A stall that is longer than this is logged. */
const LOGGED_STALL_MS = 250;

/** Measures until it is cancelled. */
export function watchLoopStalls(
  clock: Clock,
  log: Log,
  metrics: Metrics,
): Cancel {
  let expectedAt = clock.now() + INTERVAL_MS;
  return clock.every(INTERVAL_MS, watchLoop);

  function watchLoop(): void {
    const now = clock.now();
    const stalledMs = Math.max(0, now - expectedAt);
    expectedAt = now + INTERVAL_MS;
    metrics.observe('onyxloft_loop_stall_ms', {}, stalledMs);
    if (stalledMs <= LOGGED_STALL_MS) return;
    log(DIRECT_EVENTS.loopStalled, {stalledMs: Math.round(stalledMs)});
  }
}
