/**
 * Coalesces several requests for the same action into one delayed call. It
 * keeps a burst of changes from causing one call per change.
 */
import type {Cancel, Clock} from '../types/runtime.js';

/**
 * Requests a call within `delayMs` milliseconds. If a call is already pending,
 * the earlier of the two due times applies.
 */
export type Batcher = (delayMs: number) => void;

/** Creates a batcher that calls `run` once per batch of requests. */
export function createBatcher(clock: Clock, run: () => void): Batcher {
  let dueAt = Infinity;
  let cancel: Cancel = () => undefined;
  return delayMs => {
    const at = clock.now() + delayMs;
    if (at >= dueAt) return;
    cancel();
    // Noted last: without a timer, a due time would keep out every later call.
    dueAt = Infinity;
    cancel = clock.after(delayMs, () => {
      dueAt = Infinity;
      run();
    });
    dueAt = at;
  };
}
