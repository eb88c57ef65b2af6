/** The process's own clock and chance. */
import {randomBytes, randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {Clock, Random} from '../types/runtime.js';

const RANDOM_RANGE = 2 ** 47;

/** Monotonic clock of this process. */
export function createProcessClock(): Clock {
  return {
    now: () => performance.now(),
    after: (delayMs, fn) => {
      const timer = setTimeout(fn, Math.max(0, delayMs));
      return () => clearTimeout(timer);
    },
    every: (periodMs, fn) => {
      const timer = setInterval(fn, periodMs);
      return () => clearInterval(timer);
    },
  };
}

/** Chance from the operating system. */
export function createProcessRandom(): Random {
  return {
    next: () => randomInt(RANDOM_RANGE) / RANDOM_RANGE,
    hex: bytes => randomBytes(bytes).toString('hex'),
  };
}
