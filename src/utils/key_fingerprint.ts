/**
 * Fingerprints of the keys that callers present. They allow a lookup without
 * keeping the key in memory. They are not for storage: stored key hashes are
 * salted, see `keys.ts`.
 */
import {createHash, timingSafeEqual} from 'node:crypto';

/** Unsalted SHA-256 hash of a key. */
export function keyFingerprint(key: string): Uint8Array {
  return createHash('sha256').update(key).digest();
}

/**
 * Compares two fingerprints in constant time, so that timing does not reveal
 * where they differ.
 */
export function fingerprintsEqual(a: Uint8Array, b: Uint8Array): boolean {
  return a.length === b.length && timingSafeEqual(a, b);
}
