/** Chance of one part of a run, apart from that of its other parts. */
import type {Random} from '../../src/types/runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';

/** The first draws of small seeds are alike. */
const WARM_UP_DRAWS = 8;

export function seeded(seed: number, part: number): Random {
  const random = createSeededRandom(seed * 100 + part);
  for (let at = 0; at < WARM_UP_DRAWS; at++) random.next();
  return random;
}
