/**
 * One process's view of a shared virtual clock. While it is paused, as by a
 * stopped process, its timers wait; on resuming they fire late, in order, and
 * the process finds that time has jumped.
 */
import type {Clock} from '../src/types/runtime.js';

export interface PausableClock extends Clock {
  pause(): void;
  resume(): void;
  /** The process is gone: none of its timers fires any more. */
  stop(): void;
}

export function createPausableClock(shared: Clock): PausableClock {
  const held: Array<() => void> = [];
  let paused = false;
  let stopped = false;

  const later = (run: () => void): void => {
    if (stopped) return;
    if (paused) held.push(run);
    else run();
  };

  return {
    now: () => shared.now(),
    after: (delayMs, fn) => {
      let cancelled = false;
      const cancel = shared.after(delayMs, () =>
        later(() => {
          if (!cancelled) fn();
        }),
      );
      return () => {
        cancelled = true;
        cancel();
      };
    },
    every: (periodMs, fn) => {
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
      return () => {
        cancelled = true;
        cancel();
      };
    },
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
    },
  };
}
