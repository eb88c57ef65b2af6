/**
 * Which era of the store's history this entry has seen. The era rises each time
 * the store comes back from an older copy. One that falls is an answer that was
 * late on its way, or an error; the highest seen holds.
 */
import type {Log, Metrics} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra} from './store_position.js';

export interface StoreErasOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** The store has told an era for the first time. */
  onFirst?(): void;
  /** The store has come back from a copy. */
  onRisen(): void;
}

export interface StoreEras {
  /** An answer of the store told this era. */
  note(era: StoreEra): void;
  /** The highest that was seen. */
  current(): StoreEra;
}

export function createStoreEras(options: StoreErasOptions): StoreEras {
  const {log, metrics} = options;
  let current: StoreEra;
  let isUntold = false;
  let olderTold: StoreEra;

  const noteUntold = (): void => {
    if (isUntold) return;
    isUntold = true;
    log(DIRECT_EVENTS.eraUntold, {});
  };
  const noteOlder = (era: StoreEra): void => {
    if (olderTold === era) return;
    olderTold = era;
    log(DIRECT_EVENTS.eraOlder, {era, newest: current});
  };

  return {
    note: era => {
      if (era === undefined) return noteUntold();
      if (era === current) return;
      if (isOlderEra(era, current)) return noteOlder(era);
      const before = current;
      current = era;
      metrics.gauge('onyxloft_direct_store_era', {}, era);
      if (before === undefined) return options.onFirst?.();
      log(DIRECT_EVENTS.storeRestored, {era, before});
      options.onRisen();
    },
    current: () => current,
  };
}
