import {describe, expect, test} from 'vitest';
import {createAuthenticator} from '../src/entry/front/authenticator.js';
import {declarations} from './support/front_fixture.js';

const {declarations: base} = declarations();
const [first, second] = base.organisations;
const rules = (...hashes: ReadonlyArray<readonly string[]>) => ({
  ...base,
  organisations: [first, second].flatMap((organisation, at) =>
    organisation === undefined
      ? []
      : [{...organisation, keyHashes: hashes[at] ?? []}],
  ),
});

/** A hash here is `#KEY`; each verification is counted. */
function open() {
  const tried: string[] = [];
  const {authenticate} = createAuthenticator(
    (key, hash) => {
      tried.push(`${key}${hash}`);
      return Promise.resolve(hash === `#${key}`);
    },
    () => Promise.resolve(),
  );
  return {
    tried,
    ask: (key: string, by = rules(['#a'], ['#b'])) =>
      authenticate(`Bearer ${key}`, by).then(({id}) => id),
  };
}

describe('organisation keys', () => {
  test('a key is verified once, also when many requests bear it at once', async () => {
    const {tried, ask} = open();
    const ids = await Promise.all([ask('b'), ask('b'), ask('b')]);
    expect([...ids, await ask('b')]).toEqual(Array(4).fill('ingufu-hamwe'));
    expect(tried).toEqual(['b#a', 'b#b']);
  });

  /*
   * A key leaks and operators take it out. Whoever has it has been using it,
   * so it is in the cache; with the new declarations it must be refused.
   */
  test('a key that was taken out is refused though it was verified before', async () => {
    const {ask} = open();
    await ask('a');
    await expect(ask('a', rules([], ['#b']))).rejects.toThrow('not known');
  });

  test('a key added later is let in though it was refused before', async () => {
    const {tried, ask} = open();
    const before = rules([], ['#b']);
    await expect(ask('a', before)).rejects.toThrow('not known');
    await expect(ask('a', before)).rejects.toThrow('not known');
    expect(tried).toHaveLength(1);
    expect(await ask('a', rules(['#a']))).toBe('prairie-sky');
  });

  test('a flood of new keys is told to come back', async () => {
    const {ask} = open();
    const asked = Array.from({length: 40}, (_, at) => ask(`wrong${at}`));
    const ends = await Promise.allSettled(asked);
    const busy = ends.filter(
      end => end.status === 'rejected' && /verified/.test(String(end.reason)),
    );
    expect(busy).toHaveLength(8);
  });
});
