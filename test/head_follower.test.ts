/** Following the head of the configuration in the store. */
import {Just, Right} from 'purify-ts';
import {expect, test} from 'vitest';
import type {ConfigHead, ConfigStore} from '../src/config/config_store.js';
import {startHeadFollower} from '../src/config/head_follower.js';
import {createSeededRandom} from '../standins/seeded_random.js';
import {createVirtualClock} from '../standins/virtual_clock.js';

const RUN_S = 10;
const ANSWER_MS = 1;

/** Calls a second to a store whose watches end at once. */
async function callsPerSecond(versionAt: (watch: number) => number) {
  const clock = createVirtualClock();
  let watches = 0;
  const answer = async (version: number) => {
    await new Promise<void>(resolve => void clock.after(ANSWER_MS, resolve));
    return Right(Just({version} as ConfigHead));
  };
  const follower = startHeadFollower({
    store: {
      readHead: () => answer(1),
      watchHead: () => answer(versionAt(++watches)),
    } as Partial<ConfigStore> as ConfigStore,
    clock,
    random: createSeededRandom(1),
    isHome: () => true,
    watchMs: 25_000,
    pollMs: 30_000,
    maxStartDelayMs: 0,
    onHead: () => Promise.resolve(Right(undefined)),
    onError: cause => {
      throw cause;
    },
    onReadFailure: () => undefined,
  });
  await clock.runFor(RUN_S * 1_000);
  follower.stop();
  return watches / RUN_S;
}

// Each answer was followed by the next watch at once.
test('the home asks a few times a second a store whose watches do not wait', async () => {
  expect(await callsPerSecond(() => 1)).toBeLessThan(6);
});

test('the home asks at once again after a new version', async () => {
  expect(await callsPerSecond(watch => 1 + watch)).toBeGreaterThan(100);
});
