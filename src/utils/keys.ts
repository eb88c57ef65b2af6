/**
 * Hashes and verifies the keys of organisations and the operators' token.
 * Only salted hashes are stored, in one of two formats:
 *
 * - `sha256$SALT$HASH`, an HMAC, for keys from `generateKey`. 256 random bits
 *   cannot be guessed by brute force, so a fast hash is sufficient. A check
 *   takes microseconds per request.
 * - `scrypt$SALT$HASH`, for keys chosen by a person. The hash is deliberately
 *   slow: a check takes about ten milliseconds of processor time.
 *
 * Salt and hash are lower-case hex.
 */
import {createHmac, scrypt, scryptSync, timingSafeEqual} from 'node:crypto';
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';

/** Prefix of every generated key. */
const KEY_PREFIX = 'onyx_';
/** Random bytes in a generated key. */
const KEY_BYTES = 32;
/** Length of a hash, in bytes. */
const HASH_BYTES = 32;
/** Recommended length of a salt, in bytes. */
export const SALT_BYTES = 16;
/** Cost parameters of scrypt. */
const SCRYPT_OPTIONS = {N: 4096, r: 8, p: 1} as const;
/** Format of a stored hash; the salt has 8 to 64 bytes. */
const KEY_HASH = /^(scrypt|sha256)\$((?:[0-9a-f]{2}){8,64})\$([0-9a-f]{64})$/;

/** Parts of a stored hash. */
export interface KeyHash {
  readonly algorithm: 'scrypt' | 'sha256';
  /** Salt as lower-case hex. */
  readonly salt: string;
  /** Hash as lower-case hex. */
  readonly hash: string;
}

/** Parses a stored hash; `Nothing` when it has neither format. */
export function parseKeyHash(text: string): Maybe<KeyHash> {
  const match = KEY_HASH.exec(text);
  if (match === null) return Nothing;
  const [, algorithm, salt, hash] = match as unknown as readonly string[];
  if (salt === undefined || hash === undefined) return Nothing;
  return Just({
    algorithm: algorithm === 'scrypt' ? 'scrypt' : 'sha256',
    salt,
    hash,
  });
}

/**
 * Slow salted hash of a key, as `scrypt$SALT$HASH`. Blocks the thread for about
 * ten milliseconds.
 */
export function hashKey(key: string, saltHex: string): string {
  const salt = Buffer.from(saltHex, 'hex');
  const hash = scryptSync(key, salt, HASH_BYTES, SCRYPT_OPTIONS);
  return `scrypt$${saltHex}$${hash.toString('hex')}`;
}

/**
 * Fast salted hash of a key, as `sha256$SALT$HASH`. Only for generated keys,
 * since a key chosen by a person could be guessed from it.
 */
export function hashGeneratedKey(key: string, saltHex: string): string {
  return `sha256$${saltHex}$${hmac(key, saltHex).toString('hex')}`;
}

/**
 * Whether the key matches the stored hash; false for a malformed hash. A
 * `scrypt` hash blocks the thread; use `verifyKeyAsync` on a shared thread.
 */
export function verifyKey(key: string, stored: string): boolean {
  return parseKeyHash(stored)
    .map(({algorithm, salt, hash}) => {
      const bytes = Buffer.from(salt, 'hex');
      const actual =
        algorithm === 'sha256'
          ? hmac(key, salt)
          : scryptSync(key, bytes, HASH_BYTES, SCRYPT_OPTIONS);
      return hashesEqual(actual, hash);
    })
    .orDefault(false);
}

/** Like `verifyKey`, but computes `scrypt` off the event loop. */
export function verifyKeyAsync(key: string, stored: string): Promise<boolean> {
  const parsed = parseKeyHash(stored).extract();
  if (parsed?.algorithm !== 'scrypt')
    return Promise.resolve(verifyKey(key, stored));
  const salt = Buffer.from(parsed.salt, 'hex');
  return new Promise((resolve, reject) => {
    scrypt(key, salt, HASH_BYTES, SCRYPT_OPTIONS, (err, actual) => {
      if (err === null) resolve(hashesEqual(actual, parsed.hash));
      else reject(err);
    });
  });
}

/**
 * Generates a key of 256 random bits. `randomHex` returns the given number of
 * random bytes as hex.
 */
export function generateKey(randomHex: (bytes: number) => string): string {
  return KEY_PREFIX + randomHex(KEY_BYTES);
}

function hmac(key: string, saltHex: string): Buffer {
  return createHmac('sha256', Buffer.from(saltHex, 'hex')).update(key).digest();
}

/** Compares in constant time, so that timing reveals nothing of the hash. */
function hashesEqual(actual: Buffer, hashHex: string): boolean {
  return timingSafeEqual(actual, Buffer.from(hashHex, 'hex'));
}
