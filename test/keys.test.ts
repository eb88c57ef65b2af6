/** Hashing, parsing and verification of keys. */
import {describe, expect, test} from 'vitest';
import {
  generateKey,
  hashGeneratedKey,
  hashKey,
  parseKeyHash,
  verifyKey,
  verifyKeyAsync,
} from '../src/utils/keys.js';

const SALT = '00112233445566778899aabbccddeeff';
const OTHER_SALT = 'ff112233445566778899aabbccddeeff';

describe('keys', () => {
  test.each([
    ['sha256', hashGeneratedKey],
    ['scrypt', hashKey],
  ] as const)('a %s hash matches only its own key', async (algorithm, hash) => {
    const stored = hash('a key', SALT);
    expect(stored).not.toContain('a key');
    expect(parseKeyHash(stored).extract()?.algorithm).toBe(algorithm);
    expect(verifyKey('a key', stored)).toBe(true);
    expect(verifyKey('a kez', stored)).toBe(false);
    expect(await verifyKeyAsync('a key', stored)).toBe(true);
    expect(await verifyKeyAsync('a kez', stored)).toBe(false);
    expect(hash('a key', OTHER_SALT)).not.toBe(stored);
  });

  test.each(['', 'plain', `md5$${SALT}$${'00'.repeat(32)}`, `sha256$${SALT}$`])(
    'the malformed hash "%s" matches no key',
    stored => {
      expect(parseKeyHash(stored).isNothing()).toBe(true);
      expect(verifyKey('', stored)).toBe(false);
    },
  );

  test('a generated key holds 256 random bits', () => {
    const key = generateKey(bytes => 'a5'.repeat(bytes));
    expect(key).toBe('onyx_' + 'a5'.repeat(32));
  });
});
