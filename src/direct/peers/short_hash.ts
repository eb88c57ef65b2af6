/**
 * Hashes that stand for names in the compact format of loads. Both sides
 * compute them, so no entry has to assign numbers or to tell another one what
 * they mean.
 */
import {createHash} from 'node:crypto';

/**
 * Most hashes that are remembered. Beyond it all are forgotten and computed
 * again when they are needed; ids of past starts of replicas are not removed
 * otherwise.
 */
const MAX_REMEMBERED = 4_096;

const remembered = new Map<string, number>();

/**
 * 32-bit hash of a text. Two replicas out of 600 have the same hash with a
 * probability of 4 in 100,000. Users of the hash state what happens then.
 */
export function shortHash(text: string): number {
  const known = remembered.get(text);
  if (known !== undefined) return known;
  if (remembered.size >= MAX_REMEMBERED) remembered.clear();
  const hash = createHash('sha1').update(text).digest().readUInt32BE(0);
  remembered.set(text, hash);
  return hash;
}
