/**
 * Tells when a connection has been quiet for too long. An established
 * connection can go silent for good, without an error, when something between
 * the two ends loses track of it; a read would then wait for ever. The engine
 * sends beats, so that quiet means trouble, and a new connection cures it.
 */
import type {Cancel, Clock} from '../types/runtime.js';

/** A running watch. */
export interface SilenceWatch {
  /** Something was heard. */
  touch(): void;
  stop(): void;
}

/** Calls `onSilent` once, when nothing was heard for `silenceMs`. */
export function watchSilence(
  clock: Clock,
  silenceMs: number,
  onSilent: () => void,
): SilenceWatch {
  let lastHeardAt = clock.now();
  let cancel: Cancel;

  // Touching only notes the time: a timer per token would cost too much.
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
