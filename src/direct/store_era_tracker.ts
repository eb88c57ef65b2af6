/**
 * Tracks the era of the store's history. The era rises each time the store is
 * restored from an older copy. An answer with a lower era is late or wrong, so
 * the highest era seen counts.
 */
import type {Log, Metrics} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import {isOlderEra} from './store_position.js';
import type {StoreEra} from './store_position.js';

export interface StoreEraTrackerOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** The store reported an era for the first time. */
  onFirstEra?(): void;
  /** The era has risen: the store was restored from an older copy. */
  onRestored(): void;
}

export interface StoreEraTracker {
  /** Records the era in an answer of the store. */
  observe(era: StoreEra): void;
  /** The highest era seen; undefined before the first one. */
  current(): StoreEra;
}

export function createStoreEraTracker(
  options: StoreEraTrackerOptions,
): StoreEraTracker {
  const {log, metrics} = options;
  let current: StoreEra;
  let hasLoggedMissingEra = false;
  let loggedOlderEra: StoreEra;

  const logMissingEra = (): void => {
    if (hasLoggedMissingEra) return;
    hasLoggedMissingEra = true;
    log(DIRECT_EVENTS.eraUntold, {});
  };
  const logOlderEra = (era: StoreEra): void => {
    if (loggedOlderEra === era) return;
    loggedOlderEra = era;
    log(DIRECT_EVENTS.eraOlder, {era, newest: current});
  };

  return {
    observe: era => {
      if (era === undefined) return logMissingEra();
      if (era === current) return;
      if (isOlderEra(era, current)) return logOlderEra(era);
      const before = current;
      current = era;
      if (before === undefined) options.onFirstEra?.();
      else options.onRestored();
      metrics.gauge('onyxloft_direct_store_era', {}, era);
      if (before === undefined) return;
      log(DIRECT_EVENTS.storeRestored, {era, before});
    },
    current: () => current,
  };
}
