/**
 * Detects connections that have been silent for too long. A device between both
 * ends can lose the state of an established connection. Nothing arrives then
 * and no error is raised, so a read would wait forever. The engine sends
 * heartbeats, so silence shows a fault, and a new connection resolves it.
 */
import type {Cancel, Clock} from '../types/runtime.js';

/** A running silence timer. */
export interface SilenceWatch {
  /** Records that data arrived. */
  touch(): void;
  /** Stops the timer. */
  stop(): void;
}

/** Calls `onSilent` once, when nothing has arrived for `silenceMs`. */
export function watchSilence(
  clock: Clock,
  silenceMs: number,
  onSilent: () => void,
): SilenceWatch {
  let lastHeardAt = clock.now();
  let cancel: Cancel;

  // `touch` only records the time: a new timer per token would be too costly.
  const check = () => {
    const leftMs = lastHeardAt + silenceMs - clock.now();
    if (leftMs > 0) cancel = clock.after(leftMs, check);
    else onSilent();
  };

  cancel = clock.after(silenceMs, check);
  return {
    touch: () => {
      lastHeardAt = clock.now();
    },
    stop: () => cancel(),
  };
}
