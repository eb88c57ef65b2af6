/** Lists that end before the last page, and what counts beside them. */
import {Right} from 'purify-ts/Either';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {readList} from '../../platform/list_reader.js';
import type {ListPage} from '../../platform/list_reader.js';
import {createStoreClient} from '../../platform/store_client.js';
import type {ObjectPage, StoredObject} from '../../platform/stored_objects.js';
import type {DirectStore} from '../../src/direct/types.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {ForeignBytes, startStore} from '../../standins/users_platform/store.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';
import {runToolWith} from '../support/run_tool.js';

const CURRENT_REV = 9;
/** More damaged records than a list passes by. */
const TOO_MANY = 200;

const objectOf = (name: string): StoredObject => ({
  name,
  revision: 1,
  spec: name,
});
const wholePage = (
  objects: readonly StoredObject[],
  hasMore: boolean,
): ListPage => ({
  kind: 'whole',
  objects: {
    objects,
    hasMore,
    currentRev: CURRENT_REV,
    faults: [],
    isPartial: false,
    skippedNames: [],
    isToldApart: true,
  },
});
const damagedPage = (damaged: string, hasMore: boolean): ListPage => ({
  kind: 'damaged',
  objects: {
    before: [],
    damaged: {name: damaged, revision: 1},
    namesAfter: [],
    hasMore,
    currentRev: CURRENT_REV,
    toldApart: () => undefined,
  },
});

const readPages = async (pageAfter: (after: string) => ListPage) => {
  const list = await readList<string>({
    fetchPage: async after => Right({era: 1, page: pageAfter(after)}),
    fetchObject: async () => Right(undefined),
    decode: ({name}) => name,
    decodeDamaged: () => undefined,
    takePage: ({objects}: ObjectPage, items) => {
      for (const {name} of objects) items.set(name, name);
      return false;
    },
    eraChanged: () => {
      throw new Error('the era did not change');
    },
    withoutEnd: () => {
      throw new Error('the list has an end');
    },
  });
  const {items, isPartial} = list.unsafeCoerce();
  return {names: [...items.keys()], isPartial};
};
const nameAt = (at: number) => `foreign-${String(at).padStart(3, '0')}`;

// Guards against sound replicas on later pages that are given up because a list
// ended before them.
describe('a list that ends before its last page is partial', () => {
  test('where a page has no object to go on after', async () => {
    expect(await readPages(() => wholePage([], true))).toEqual({
      names: [],
      isPartial: true,
    });
  });

  test.each([
    ['partial', true],
    ['whole without later pages', false],
  ])(
    'beyond the damaged records that are passed by: %s',
    async (_what, more) => {
      let pages = 0;
      const list = await readPages(() => {
        const damaged = nameAt(pages++);
        return damagedPage(damaged, more || pages <= 100);
      });
      expect(pages).toBeLessThan(TOO_MANY);
      expect(list.isPartial).toBe(more);
    },
  );
});

test('a list of whole pages is whole', async () => {
  const list = await readPages(after =>
    after === ''
      ? wholePage([objectOf('a')], true)
      : wholePage([objectOf('b')], false),
  );
  expect(list).toEqual({names: ['a', 'b'], isPartial: false});
});

describe('behind more damaged records than a list passes by', () => {
  let standIn: StoreStandIn;
  let store: DirectStore;
  beforeEach(async () => {
    standIn = await startStore();
    const {log, metrics} = createRecordingRuntime().runtime;
    const clock = createProcessClock();
    store = createStoreClient({address: standIn.address, clock, metrics, log});
  });
  afterEach(() => standIn.close());
  const writeDamaged = (kind: string, prefix = '') => {
    for (let at = 0; at < TOO_MANY; at++) {
      standIn.put(kind, `${prefix}${nameAt(at)}`, new ForeignBytes('{zz}'));
    }
  };

  // Guards against an era that counts as unsettled, or is recorded anew.
  test('the settled era is read', async () => {
    writeDamaged('onyxloft-eras');
    standIn.put('onyxloft-eras', 'settled', {era: 4});
    expect((await store.settledEra()).unsafeCoerce()).toEqual({era: 4});
  });

  test('no settled era is read where there is none', async () => {
    writeDamaged('onyxloft-eras');
    expect((await store.settledEra()).unsafeCoerce().era).toBeUndefined();
  });

  // Guards against an entry that refuses keys because it cannot confirm them.
  test('the configuration is read', async () => {
    writeDamaged('config');
    standIn.put('config', 'main', configOf(3));
    const {items, isPartial} = (await store.configs.list()).unsafeCoerce();
    expect([...items.values()].map(({version}) => version)).toEqual([3]);
    expect(isPartial).toBe(false);
  });

  // Guards against the release of a request whose prefix another one shares.
  test('no quarantined request is taken for the only one with a prefix', async () => {
    const kind = 'onyxloft-quarantine';
    const digests = ['0', 'f'].map(digit => `abab${digit.repeat(28)}`);
    for (const digest of digests) {
      const record = {digest, ended: [], good: {}, writtenAt: 0};
      standIn.put(kind, digest, record);
    }
    writeDamaged(kind, 'ababa');
    const run = (...args: readonly string[]) =>
      runToolWith(['quarantine', ...args], {ONYXLOFT_STORE: standIn.address});
    for (const command of ['show', 'release']) {
      const {code, stderr} = await run(command, 'abab');
      expect(code).toBe(1);
      expect(stderr).toContain('could not be read');
    }
    expect(standIn.names(kind)).toContain(digests[0]);
    expect((await run('list')).stderr).toContain('could not be read');
    expect((await run('release', digests[0])).code).toBe(0);
    expect(standIn.names(kind)).not.toContain(digests[0]);
  });
});
