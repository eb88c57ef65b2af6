/**
 * How late this process's own timers are, and the margin that an end with a fixed
 * time takes from it. In a process that shares its processors with others or has
 * much to do itself, each further step of its end waits as long as a timer.
 */

/** Lateness halves in this time, so that an early one doesn't count at the end. */
const HALF_LIFE_MS = 700;
/**
 * Lateness that does not count, in milliseconds: the resolution of timers, and
 * short work of the process itself.
 */
const USUAL_LATENESS_MS = 10;

export interface TimerLateness {
  /** Called by a timer that was set for `delayMs`, at the time `nowMs`. */
  ran(nowMs: number, delayMs: number): void;
  /** The recent lateness, in milliseconds; 0 after a single pause. */
  recentMs(): number;
}

/**
 * Observes a timer that is set again each time it runs, first at `nowMs`. The
 * second highest of the recent values counts, so that one pause changes nothing.
 */
export function createTimerLateness(nowMs: number): TimerLateness {
  let lastMs = nowMs;
  let highest = 0;
  let second = 0;
  return {
    ran: (now, delayMs) => {
      const elapsedMs = now - lastMs;
      const late = Math.max(0, elapsedMs - delayMs - USUAL_LATENESS_MS);
      const left = 0.5 ** (Math.min(elapsedMs, delayMs) / HALF_LIFE_MS);
      lastMs = now;
      second = Math.max(second * left, Math.min(highest * left, late));
      highest = Math.max(highest * left, late);
    },
    recentMs: () => second,
  };
}

export interface EndSteps {
  /** Time that the end takes while no timer is late, in milliseconds. */
  readonly leastMs: number;
  /** Longest margin, in milliseconds; shorter ones than `leastMs` don't count. */
  readonly mostMs: number;
  /** Number of steps that each wait for the event loop. */
  readonly steps: number;
}

/** How long before its fixed time the end has to begin, in milliseconds. */
export function endMarginMs(
  {leastMs, mostMs, steps}: EndSteps,
  latenessMs: number,
): number {
  const most = Math.max(leastMs, mostMs);
  return Math.min(most, leastMs + steps * latenessMs);
}
