/**
 * Paces the watches of a store. A watch waits in the store for changes, so the
 * next one usually follows at once. A store that answers without changes and
 * without waiting would then be called in a tight loop.
 */
import type {Clock} from '../types/runtime.js';

/** Shortest time from one watch without changes to the next, in milliseconds. */
const MIN_INTERVAL_MS = 250;

export interface WatchPace {
  /**
   * Records the answer to a watch that was to wait for `waitMs`. Returns the
   * pause before the next watch, in milliseconds. A single watch that is cut
   * short needs none.
   */
  answered(sentAt: number, waitMs: number, hasChanges: boolean): number;
}

export function createWatchPace(clock: Clock): WatchPace {
  let wasCutShort = false;
  return {
    answered: (sentAt, waitMs, hasChanges) => {
      const dueMs = Math.min(MIN_INTERVAL_MS, waitMs);
      const leftMs = Math.max(0, dueMs - (clock.now() - sentAt));
      const isCutShort = leftMs > 0 && !hasChanges;
      const pauseMs = isCutShort && wasCutShort ? leftMs : 0;
      wasCutShort = isCutShort;
      return pauseMs;
    },
  };
}
