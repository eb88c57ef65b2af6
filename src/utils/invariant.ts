/**
 * Invariants in a process: a violation is logged and counted, and the process
 * goes on, since stopping would cut every request in progress. Tests and
 * randomised runs pass one that throws.
 */
import type {Invariant, Log, Metrics} from '../types/runtime.js';
import {INVARIANT_EVENTS} from './events.js';

/** Counter of violations, by the invariant's name. */
const VIOLATIONS_METRIC = 'onyxloft_invariant_violations_total';

/** Makes the assertion that processes use. */
export function createProcessInvariant(log: Log, metrics: Metrics): Invariant {
  return (holds, name, fields) => {
    if (holds) return;
    log(INVARIANT_EVENTS.violated, {invariant: name, ...fields});
    metrics.count(VIOLATIONS_METRIC, {invariant: name});
  };
}
