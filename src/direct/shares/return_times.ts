/**
 * Spreads the times at which rejected callers come back over the time that has
 * room for them. If all of them were told the same time, they would find the
 * engines as full as before. Each rejected request books the engine time that
 * it needs, at a part of the rate at which this entry's requests used engine
 * time.
 */
import type {Clock, Random} from '../../types/runtime.js';

/**
 * Share of the used engine time that is booked for callers that come back. The
 * rest is used by requests that arrive meanwhile.
 */
const RETURN_SHARE = 0.25;
/** Booked times vary at random by up to this share, earlier or later. */
const SPREAD = 0.15;
/** Lowest rate of used engine time that is assumed, per millisecond. */
const MIN_RATE = 0.01;

export interface ReturnTimes {
  /**
   * Books a time for a request and returns the milliseconds until then.
   * `usedRate` is the engine time that this entry used in each millisecond.
   */
  book(engineMs: number, usedRate: number, bounds: ReturnBounds): number;
}

/** Earliest and latest time to come back, in milliseconds from now. */
export interface ReturnBounds {
  readonly minMs: number;
  readonly maxMs: number;
}

export function createReturnTimes(
  clock: Pick<Clock, 'now'>,
  random: Pick<Random, 'next'>,
): ReturnTimes {
  let bookedUntil = Number.NEGATIVE_INFINITY;
  return {
    book: (engineMs, usedRate, {minMs, maxMs}) => {
      const now = clock.now();
      const rate = Math.max(MIN_RATE, RETURN_SHARE * usedRate);
      const earliest = Math.max(bookedUntil, now + minMs);
      const at = earliest + engineMs / rate;
      // Where the booked time is too late for this caller, nothing is booked
      // and it comes back at a random time within its bounds.
      if (at - now > maxMs) {
        return minMs + random.next() * Math.max(0, maxMs - minMs);
      }
      bookedUntil = at;
      const factor = 1 + SPREAD * (2 * random.next() - 1);
      return Math.min(maxMs, Math.max(minMs, (at - now) * factor));
    },
  };
}
