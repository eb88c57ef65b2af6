/** A clock that stands still until a test moves it. */
import type {Clock} from '../../src/types/runtime.js';

export interface ManualClock extends Clock {
  /** Moves on by so many milliseconds and fires what is due, in order. */
  advance(ms: number): void;
}

interface Timer {
  at: number;
  readonly periodMs: number | undefined;
  readonly fn: () => void;
}

export function createManualClock(): ManualClock {
  const timers = new Set<Timer>();
  let now = 0;

  const add = (
    delayMs: number,
    periodMs: number | undefined,
    fn: () => void,
  ) => {
    const timer = {at: now + delayMs, periodMs, fn};
    timers.add(timer);
    return () => void timers.delete(timer);
  };

  const fireNext = (until: number): boolean => {
    const due = [...timers].filter(timer => timer.at <= until);
    const [next] = due.sort((a, b) => a.at - b.at);
    if (next === undefined) return false;
    now = Math.max(now, next.at);
    if (next.periodMs === undefined) timers.delete(next);
    else next.at += next.periodMs;
    next.fn();
    return true;
  };

  return {
    now: () => now,
    after: (delayMs, fn) => add(delayMs, undefined, fn),
    every: (periodMs, fn) => add(periodMs, periodMs, fn),
    advance: ms => {
      const until = now + ms;
      while (fireNext(until));
      now = until;
    },
  };
}
