/** The commands for the quarantine of requests that crash replicas. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {startStore} from '../standins/users_platform/store.js';
import type {StoreStandIn} from '../standins/users_platform/store.js';
import {runToolWith} from './support/run_tool.js';

const KIND = 'onyxloft-quarantine';
const TRIALS = 'onyxloft-trials';
const FIRST = 'ab'.repeat(16);
const SECOND = `abcd${'0'.repeat(28)}`;
const ENDED = ['r1@5', 'r2@7', 'r3@9'];

let store: StoreStandIn;
beforeEach(async () => {
  store = await startStore();
  for (const digest of [FIRST, SECOND]) {
    const record = {digest, ended: ENDED, good: {'entry-1': 2}, writtenAt: 0};
    store.put(KIND, digest, record);
  }
});
afterEach(() => store.close());

const quarantine = (...args: readonly string[]) =>
  runToolWith(['quarantine', ...args], {ONYXLOFT_STORE: store.address});

describe('quarantine', () => {
  test('list shows each request and its number of ended replicas', async () => {
    const {code, stdout} = await quarantine('list');
    expect(code).toBe(0);
    expect(stdout).toMatch(/DIGEST +REPLICAS ENDED +SINCE/);
    expect(stdout).toMatch(new RegExp(`${FIRST} +3 +1970-01-01T`));
  });

  test('list --json prints all fields of each record', async () => {
    const {stdout} = await quarantine('list', '--json');
    expect(JSON.parse(stdout)).toEqual(
      [FIRST, SECOND].map(digest => ({
        digest,
        ended: ENDED,
        good: {'entry-1': 2},
        since: '1970-01-01T00:00:00.000Z',
      })),
    );
  });

  test('show prints the replicas of the request with a digest prefix', async () => {
    const {code, stdout} = await quarantine('show', 'abab');
    expect(code).toBe(0);
    expect(stdout).toContain(FIRST);
    expect(stdout).toContain('r2@7');
    expect(stdout).toContain('2 runs at entry-1');
  });

  test('show tells where a refused part stands in its prompts', async () => {
    const digest = 'cd'.repeat(16);
    const record = {digest, position: 1, ended: ENDED, good: {}, writtenAt: 0};
    store.put(KIND, digest, record);
    const {code, stdout} = await quarantine('show', 'cdcd');
    expect(code).toBe(0);
    expect(stdout).toContain('1 of the prompts');
  });

  test('release removes the record of one request, with its trials', async () => {
    store.put(TRIALS, `${FIRST}-0`, {});
    const {code, stdout} = await quarantine('release', 'abab', '--json');
    expect(code).toBe(0);
    expect(JSON.parse(stdout)).toEqual({released: FIRST});
    expect(store.names(KIND)).toEqual([SECOND]);
    expect(store.names(TRIALS)).toEqual([]);
  });

  // Releasing the wrong request could crash three more replicas.
  test.each([
    ['that no digest starts with', 'ffff', 'is quarantined'],
    ['that is too short', 'abc', 'not a prefix of a digest'],
    ['that is no digest', 'abzz', 'not a prefix of a digest'],
  ])('release of an ID %s changes nothing', async (_what, id, message) => {
    const {code, stderr} = await quarantine('release', id);
    expect(code).not.toBe(0);
    expect(stderr).toContain(message);
    expect(store.names(KIND)).toHaveLength(2);
  });

  test('release of an ID that is a prefix of two digests changes nothing', async () => {
    const third = `abab${'1'.repeat(28)}`;
    store.put(KIND, third, {
      digest: third,
      ended: ENDED,
      good: {},
      writtenAt: 0,
    });
    const {code, stderr} = await quarantine('release', 'abab');
    expect(code).toBe(1);
    expect(stderr).toContain('is a prefix of 2 digests');
    expect(store.names(KIND)).toHaveLength(3);
  });

  test('an error of the store names its address', async () => {
    store.setMode('busy');
    const {code, stderr, stdout} = await quarantine('list', '--json');
    expect(code).toBe(1);
    expect(stderr).toContain(store.address);
    expect(JSON.parse(stdout)).toMatchObject({
      error: {step: `list ${KIND}`, peer: store.address},
    });
  });

  test.each([[''], ['10.0.0.9']])(
    'a command without a valid store address is wrong usage: "%s"',
    async address => {
      const {code, stderr} = await runToolWith(['quarantine', 'list'], {
        ONYXLOFT_STORE: address,
      });
      expect(code).toBe(2);
      expect(stderr).toContain('give --store');
    },
  );
});
