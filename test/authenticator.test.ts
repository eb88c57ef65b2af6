import {describe, expect, test} from 'vitest';
import {createAuthenticator} from '../src/entry/front/authenticator.js';
import {declarations} from './support/front_fixture.js';

const {declarations: base} = declarations();
const [first, second] = base.organisations;
const withKeyHashes = (...hashes: ReadonlyArray<readonly string[]>) => ({
  ...base,
  organisations: [first, second].flatMap((organisation, at) =>
    organisation === undefined
      ? []
      : [{...organisation, keyHashes: hashes[at] ?? []}],
  ),
});

/** The hash of a key is `#KEY` here. `verified` records each verification. */
function createFixture() {
  const verified: string[] = [];
  const {authenticate} = createAuthenticator(
    (key, hash) => {
      verified.push(`${key}${hash}`);
      return Promise.resolve(hash === `#${key}`);
    },
    () => Promise.resolve(),
  );
  return {
    verified,
    authenticate: (key: string, current = withKeyHashes(['#a'], ['#b'])) =>
      authenticate(`Bearer ${key}`, current).then(({id}) => id),
  };
}

describe('organisation keys', () => {
  test('a key is verified once, even for concurrent requests', async () => {
    const {verified, authenticate} = createFixture();
    const ids = await Promise.all([
      authenticate('b'),
      authenticate('b'),
      authenticate('b'),
    ]);
    expect([...ids, await authenticate('b')]).toEqual(
      Array(4).fill('ingufu-hamwe'),
    );
    expect(verified).toEqual(['b#a', 'b#b']);
  });

  // A leaked key that operators remove is in the cache, because it was in use.
  // It must be refused as soon as the new declarations are known.
  test('a removed key is refused even if it was verified before', async () => {
    const {authenticate} = createFixture();
    await authenticate('a');
    await expect(authenticate('a', withKeyHashes([], ['#b']))).rejects.toThrow(
      'not known',
    );
  });

  test('a key that is declared later is accepted even if it was refused before', async () => {
    const {verified, authenticate} = createFixture();
    const before = withKeyHashes([], ['#b']);
    await expect(authenticate('a', before)).rejects.toThrow('not known');
    await expect(authenticate('a', before)).rejects.toThrow('not known');
    expect(verified).toHaveLength(1);
    expect(await authenticate('a', withKeyHashes(['#a']))).toBe('prairie-sky');
  });

  test('too many new keys at once are refused as overloaded', async () => {
    const {authenticate} = createFixture();
    const asked = Array.from({length: 40}, (_, at) =>
      authenticate(`wrong${at}`),
    );
    const results = await Promise.allSettled(asked);
    const busy = results.filter(
      end => end.status === 'rejected' && /verified/.test(String(end.reason)),
    );
    expect(busy).toHaveLength(8);
  });
});
