/**
 * Passes on a restore of the store that a peer (another entry) knows of before
 * this entry's own calls show it: once, or at the next answer of a peer after an
 * error.
 */
import {runAll} from '../../utils/run_each.js';
import type {StoreEra} from '../store_position.js';

/** Returns a function to call with the newer era in each answer of a peer. */
export function createToldEra(
  steps: ReadonlyArray<(era: StoreEra) => void>,
): (era: StoreEra) => void {
  let told: StoreEra;
  return era => {
    if (era === told) return;
    runAll(steps.map(step => () => step(era)));
    // Noted last: what is noted is not told again.
    told = era;
  };
}
