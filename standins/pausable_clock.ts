/**
 * One process's view of a shared virtual clock. While it is paused, as by a
 * stopped process, its timers wait; on resuming they fire late, in order, and
 * the process finds that time has jumped.
 */
import type {Cancel, Clock} from '../src/types/runtime.js';

export interface PausableClock extends Clock {
  pause(): void;
  resume(): void;
  /** The process is gone: none of its timers fires any more. */
  stop(): void;
}

export function createPausableClock(shared: Clock): PausableClock {
  const held: Array<() => void> = [];
  /** Ends all timers set and not fired. */
  const timers = new Set<Cancel>();
  let paused = false;
  let stopped = false;

  const later = (run: () => void): void => {
    if (stopped) return;
    if (paused) held.push(run);
    else run();
  };

  const after: Clock['after'] = (delayMs, fn) => {
    if (stopped) return () => undefined;
    let cancelled = false;
    const cancel = shared.after(delayMs, () => {
      timers.delete(cancel);
      later(() => {
        if (!cancelled) fn();
      });
    });
    timers.add(cancel);
    return () => {
      cancelled = true;
      timers.delete(cancel);
      cancel();
    };
  };

  const every: Clock['every'] = (periodMs, fn) => {
    if (stopped) return () => undefined;
    let cancelled = false;
    // A period that comes round again while one is held adds nothing.
    let isHeld = false;
    const cancel = shared.every(periodMs, () => {
      if (isHeld) return;
      isHeld = true;
      later(() => {
        isHeld = false;
        if (!cancelled) fn();
      });
    });
    timers.add(cancel);
    return () => {
      cancelled = true;
      timers.delete(cancel);
      cancel();
    };
  };

  return {
    now: () => shared.now(),
    after,
    every,
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
      for (const run of held.splice(0)) later(run);
    },
    stop: () => {
      stopped = true;
      held.length = 0;
      for (const cancel of timers) cancel();
      timers.clear();
    },
  };
}
