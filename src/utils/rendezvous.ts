/**
 * Rendezvous hashing: each pair of key and name gets a score by hash, and a
 * key prefers names in order of score. A name that comes or goes moves only
 * the keys that it wins or had won.
 */
import {hashText} from './digest.js';

/** All names in the key's order of preference, the most preferred first. */
export function rendezvousOrder(
  key: string,
  names: readonly string[],
): readonly string[] {
  const scored = names.map(name => ({name, score: hashText(`${key}|${name}`)}));
  scored.sort((a, b) => compare(b.score, a.score) || compare(a.name, b.name));
  return scored.map(entry => entry.name);
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
