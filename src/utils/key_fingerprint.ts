/**
 * Fingerprints of presented keys, for looking a key up without keeping it.
 * Not for storage: what is stored is salted and slow to try.
 */
import {createHash, timingSafeEqual} from 'node:crypto';

/** SHA-256 of a key. */
export function keyFingerprint(key: string): Uint8Array {
  return createHash('sha256').update(key).digest();
}

/** Compares in a time that does not tell where two fingerprints differ. */
export function fingerprintsEqual(a: Uint8Array, b: Uint8Array): boolean {
  return a.length === b.length && timingSafeEqual(a, b);
}
