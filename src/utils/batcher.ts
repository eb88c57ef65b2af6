/** Runs something once for all that ask for it within a short time. */
import type {Cancel, Clock} from '../types/runtime.js';

/** Asks for a run within `delayMs`; the shortest delay asked for counts. */
export type Batcher = (delayMs: number) => void;

export function createBatcher(clock: Clock, run: () => void): Batcher {
  let dueAt = Infinity;
  let cancel: Cancel = () => undefined;
  return delayMs => {
    const at = clock.now() + delayMs;
    if (at >= dueAt) return;
    cancel();
    dueAt = at;
    cancel = clock.after(delayMs, () => {
      dueAt = Infinity;
      run();
    });
  };
}
