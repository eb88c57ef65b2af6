/**
 * Keys of organisations and the operators' token. Only salted hashes of them
 * are kept, in one of two forms:
 *
 * - `sha256$SALT$HASH`, an HMAC, for keys made by `generateKey`. Nobody can
 *   try out 256 random bits, so a fast hash is enough, and it costs
 *   microseconds for each request.
 * - `scrypt$SALT$HASH`, for keys that a person thought up. It is slow on
 *   purpose: some ten milliseconds of processor time for each check.
 *
 * Salt and hash are lower-case hex.
 */
import {createHmac, scrypt, scryptSync, timingSafeEqual} from 'node:crypto';
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';

const KEY_PREFIX = 'onyx_';
const KEY_BYTES = 32;
const HASH_BYTES = 32;
/** Recommended salt length. */
export const SALT_BYTES = 16;
const SCRYPT_OPTIONS = {N: 4096, r: 8, p: 1} as const;
const KEY_HASH = /^(scrypt|sha256)\$((?:[0-9a-f]{2}){8,64})\$([0-9a-f]{64})$/;

/** Parts of a stored hash. */
export interface KeyHash {
  readonly algorithm: 'scrypt' | 'sha256';
  /** Hex. */
  readonly salt: string;
  /** Hex. */
  readonly hash: string;
}

/** Splits a stored hash; nothing when it has neither form. */
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

/** Slow salted hash, `scrypt$salt$hash`; blocks for some ten milliseconds. */
export function hashKey(key: string, saltHex: string): string {
  const salt = Buffer.from(saltHex, 'hex');
  const hash = scryptSync(key, salt, HASH_BYTES, SCRYPT_OPTIONS);
  return `scrypt$${saltHex}$${hash.toString('hex')}`;
}

/** Fast salted hash, `sha256$salt$hash`; only for generated keys. */
export function hashGeneratedKey(key: string, saltHex: string): string {
  return `sha256$${saltHex}$${hmac(key, saltHex).toString('hex')}`;
}

/**
 * Whether the key has this stored hash; false for a malformed hash. Blocks
 * for a `scrypt` hash: where others share the thread, use `verifyKeyAsync`.
 */
export function verifyKey(key: string, stored: string): boolean {
  return parseKeyHash(stored)
    .map(({algorithm, salt, hash}) => {
      const bytes = Buffer.from(salt, 'hex');
      const found =
        algorithm === 'sha256'
          ? hmac(key, salt)
          : scryptSync(key, bytes, HASH_BYTES, SCRYPT_OPTIONS);
      return hashesEqual(found, hash);
    })
    .orDefault(false);
}

/** As `verifyKey`, with the slow form computed off the event loop. */
export function verifyKeyAsync(key: string, stored: string): Promise<boolean> {
  const parsed = parseKeyHash(stored).extract();
  if (parsed?.algorithm !== 'scrypt')
    return Promise.resolve(verifyKey(key, stored));
  const salt = Buffer.from(parsed.salt, 'hex');
  return new Promise((resolve, reject) => {
    scrypt(key, salt, HASH_BYTES, SCRYPT_OPTIONS, (err, found) => {
      if (err === null) resolve(hashesEqual(found, parsed.hash));
      else reject(err);
    });
  });
}

/** A new key of 256 random bits; `randomHex` gives so many bytes as hex. */
export function generateKey(randomHex: (bytes: number) => string): string {
  return KEY_PREFIX + randomHex(KEY_BYTES);
}

function hmac(key: string, saltHex: string): Buffer {
  return createHmac('sha256', Buffer.from(saltHex, 'hex')).update(key).digest();
}

/** In constant time, so that the time taken tells nothing of the hash. */
function hashesEqual(found: Buffer, hashHex: string): boolean {
  return timingSafeEqual(found, Buffer.from(hashHex, 'hex'));
}
