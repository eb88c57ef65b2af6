/** Chance from a seed: the same seed gives the same run. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from '../src/types/runtime.js';

/** Starts a sequence; `seed` is a 32-bit integer. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const hexByte = (): string =>
    uniformInt(generator, 0, 255).toString(16).padStart(2, '0');
  return {
    next: () => uniformFloat64(generator),
    hex: bytes => Array.from({length: bytes}, hexByte).join(''),
  };
}
