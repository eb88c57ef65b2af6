/**
 * Invariant checks of a real process. A violation is logged and counted, and
 * the process continues, since stopping it would abort every request in
 * progress. Tests and randomised runs use a check that throws instead.
 */
import type {Invariant, Log, Metrics} from '../types/runtime.js';
import {INVARIANT_EVENTS} from './events.js';

/** Counter of violations, by the invariant's name. */
const VIOLATIONS_METRIC = 'onyxloft_invariant_violations_total';

/** Creates the invariant check that processes use. */
export function createProcessInvariant(log: Log, metrics: Metrics): Invariant {
  return (holds, name, fields) => {
    if (holds) return;
    log(INVARIANT_EVENTS.violated, {invariant: name, ...fields});
    metrics.count(VIOLATIONS_METRIC, {invariant: name});
  };
}
