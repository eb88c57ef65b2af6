/** The clock and the random source that a real process uses. */
import {randomBytes, randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {Clock, Random} from '../types/runtime.js';

/** Number of distinct values of `next`; `randomInt` takes less than 2^48. */
const RANDOM_RANGE = 2 ** 47;

/** Longest delay of Node's timers; a longer one would be over after 1 ms. */
const MAX_DELAY_MS = 2 ** 31 - 1;

function delayOf(ms: number): number {
  return Math.min(MAX_DELAY_MS, Math.max(0, ms));
}

/** Creates the monotonic clock of this process. */
export function createProcessClock(): Clock {
  return {
    now: () => performance.now(),
    after: (delayMs, fn) => {
      const timer = setTimeout(fn, delayOf(delayMs));
      return () => clearTimeout(timer);
    },
    every: (periodMs, fn) => {
      const timer = setInterval(fn, delayOf(periodMs));
      return () => clearInterval(timer);
    },
  };
}

/** Creates a random source backed by the operating system. */
export function createProcessRandom(): Random {
  return {
    next: () => randomInt(RANDOM_RANGE) / RANDOM_RANGE,
    hex: bytes => randomBytes(bytes).toString('hex'),
  };
}
