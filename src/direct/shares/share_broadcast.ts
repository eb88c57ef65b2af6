/**
 * How often and to how many peers an entry reports the engine time of its
 * organisations. The bytes that an entry sends do not grow with the fleet: each
 * report goes to a few peers, drawn at random.
 */
import type {Random} from '../../types/runtime.js';

/** Interval between two reports, in milliseconds. */
export const SHARE_REPORT_INTERVAL_MS = 1_000;
/**
 * Peers that get a report. An entry thus gets as many reports a second on the
 * average, and some thirty count at any time, whatever the size of the fleet.
 */
export const SHARE_REPORT_PEERS = 5;

/** At most `count` of the items, drawn without replacement. */
export function sampleRandomly<T>(
  items: readonly T[],
  count: number,
  random: Pick<Random, 'next'>,
): readonly T[] {
  const left = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(Math.floor(random.next() * left.length), 1));
  }
  return drawn;
}
