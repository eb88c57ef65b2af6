/** Records of other programs whose bytes damage the answers that hold them. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createStoreClient} from '../../platform/store_client.js';
import {followCollection} from '../../src/direct/collection_follower.js';
import type {CollectionFollower} from '../../src/direct/collection_follower.js';
import type {DirectReplica, DirectStore} from '../../src/direct/types.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {startRelay} from '../../standins/relay_core.js';
import {ForeignBytes, startStore} from '../../standins/users_platform/store.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';
import {until} from '../support/direct_fleet.js';

const RECORD = {
  service: 'pool',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 4,
  state: 'ready',
};
const VALID = JSON.stringify(RECORD);
const objectText = (name: string, spec = VALID) =>
  `{"metadata":{"name":"${name}","revision":9},"spec":${spec},"status":null}`;

/** Content that is no JSON, and damages what stands around it in its own way. */
const DAMAGES: ReadonlyArray<readonly [what: string, bytes: string]> = [
  ['a syntax error', '{"service":"pool",zz}'],
  ['a string without its end', '{"service":"po'],
  ['a backslash at its end', '"\\'],
  ['brackets too many', `${VALID}}}]}`],
  ['brackets too many and more', '{}},{"a":1}'],
  ['brackets that end the answer', '{}}],"hasMore":false,"currentRev":1}'],
  ['brackets too few', '{"service":[{"a":['],
  ['control characters', '\u0000\u0001\u001f{}'],
  ['no content', ''],
  ['deep nesting', '['.repeat(20_000)],
  ['deep nesting that ends', `${'['.repeat(20_000)}${']'.repeat(20_000)}`],
  ['the bytes of another record', `zz},${objectText('gone')},{"metadata":zz`],
  ['a gone record', `{}},${objectText('gone')},${objectText('x', 'zz')}`],
];

let standIn: StoreStandIn;
let store: DirectStore;
let follower: CollectionFollower | undefined;
let known: Map<string, DirectReplica>;
beforeEach(async () => {
  standIn = await startStore();
  const {log, metrics} = createRecordingRuntime().runtime;
  const clock = createProcessClock();
  store = createStoreClient({address: standIn.address, clock, metrics, log});
  known = new Map();
  for (const name of ['a', 'k', 'z']) standIn.put('servers', name, RECORD);
});
afterEach(() => {
  follower?.stop();
  follower = undefined;
  return standIn.close();
});

const writeForeign = (bytes: string, name = 'foreign') =>
  standIn.put('servers', name, new ForeignBytes(bytes));
/** Of each call to the store, both ways together. */
const LATE_MS = 100;
const FOREIGN_INTERVAL_MS = 50;
const listNames = async () => {
  const listing = (await store.replicas.list()).unsafeCoerce();
  return {names: [...listing.items.keys()].sort(), ...listing};
};
const follow = (from = store) => {
  follower = followCollection({
    collection: from.replicas,
    clock: createProcessClock(),
    random: createSeededRandom(1),
    waitMs: () => 1_000,
    maxRetryMs: () => 500,
    changePauseMs: 0,
    onList: (items, isPartial) => {
      known = new Map(isPartial ? [...known, ...items] : items);
    },
    onChanges: items => {
      for (const [name, item] of items) {
        if (item === undefined) known.delete(name);
        else known.set(name, item);
      }
    },
    onConfirmed: () => undefined,
    onRestored: () => undefined,
    onFault: () => undefined,
  });
};
const knownNames = () => [...known.keys()].sort().join();

describe.each(DAMAGES)('a record with %s', (_what, bytes) => {
  // Guards against a fleet that one bad record keeps from starting.
  test.each([true, false])(
    'hides nothing from a list (pages: %s)',
    async inPages => {
      standIn.listInPages(inPages);
      writeForeign(bytes);
      const {names, isPartial} = await listNames();
      expect(names).toEqual(['a', 'k', 'z']);
      expect(isPartial).toBe(false);
    },
  );

  // Guards against requests to a replica whose removal was not seen.
  test('hides no removal and no new record beside it', async () => {
    follow();
    await until(() => knownNames() === 'a,k,z');
    writeForeign(bytes);
    standIn.remove('servers', 'k');
    writeForeign(bytes);
    standIn.put('servers', 'n', RECORD);
    writeForeign(bytes);
    await until(() => knownNames() === 'a,n,z', 1_000);
    standIn.remove('servers', 'foreign');
    standIn.remove('servers', 'z');
    await until(() => knownNames() === 'a,n', 1_000);
  });
});

const eventText = (name: string, spec: string, removed: boolean) =>
  `{"object":{"metadata":{"name":"${name}","revision":9},"spec":${spec},` +
  `"status":null},"removed":${removed}}`;
/** What the store writes around the content of a changed record. */
const inEvents = (content: string, ...events: readonly string[]) =>
  [`${content},"status":null},"removed":false}`, ...events].join() +
  ',{"object":{"metadata":{"name":"foreign","revision":9},"spec":zz';

// Guards against sound replicas that a list leaves out because a record's bytes
// repeat a name on an earlier page.
test('a record that repeats a name hides no later page', async () => {
  const again = objectText('a').slice(0, -',"status":null}'.length);
  writeForeign(`${VALID},"status":null},${again}`);
  const {names, isPartial} = await listNames();
  expect(isPartial || names.includes('z')).toBe(true);
});

describe.each(['zz', '{}', VALID])('a record that begins with %s', content => {
  // Guards against a sound replica that another record's bytes take away.
  test.each([
    ['removal', eventText('k', VALID, true)],
    ['unreadable content', eventText('k', 'zz', false)],
    ['other content', eventText('k', '{"service":"pool"}', false)],
  ])('and then looks like a %s changes nothing else', async (_what, event) => {
    follow();
    await until(() => knownNames() === 'a,k,z');
    const seen: string[] = [];
    const timer = setInterval(() => seen.push(knownNames()), 1);
    writeForeign(inEvents(content, event));
    standIn.remove('servers', 'a');
    await until(() => !knownNames().includes('a'));
    clearInterval(timer);
    expect(knownNames().split(',')).toContain('k');
    expect(seen.every(names => names.includes('k'))).toBe(true);
  });

  // Guards against a change that is lost where the same answer shows a record
  // whose bytes look like a later one.
  test('and then looks like a later change hides no earlier one', async () => {
    follow();
    await until(() => knownNames() === 'a,k,z');
    // The first record ends the watch, so that the next one shows the others.
    writeForeign('{zz}');
    standIn.remove('servers', 'k');
    standIn.put('servers', 'n', RECORD);
    writeForeign(
      inEvents(
        content,
        eventText('k', VALID, false),
        eventText('n', VALID, true),
      ),
    );
    await until(() => !knownNames().includes('k'), 1_000);
    await until(() => knownNames().includes('n'), 1_000);
  });

  // Guards against the use of a replica that only another record's bytes name.
  test('and then looks like another record names no replica', async () => {
    follow();
    await until(() => knownNames() === 'a,k,z');
    writeForeign(inEvents(content, eventText('gone', VALID, false)));
    standIn.remove('servers', 'a');
    await until(() => !knownNames().includes('a'));
    expect(knownNames()).not.toContain('gone');
  });
});

// Guards against the use of a record that was readable a moment before.
test('a record that becomes unreadable is used no more, and again when readable', async () => {
  follow();
  await until(() => knownNames() === 'a,k,z');
  standIn.put('servers', 'k', {...RECORD, slots: 5});
  writeForeign('{zz}', 'k');
  await until(() => knownNames() === 'a,z');
  writeForeign('{zz}', 'k');
  standIn.put('servers', 'k', RECORD);
  await until(() => knownNames() === 'a,k,z');
});

// Guards against an entry that ends because of a record it only has to skip.
test('a record whose cold time is nested deeply does not end the list', async () => {
  const deep = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
  writeForeign(`${VALID.slice(0, -1)},"coldLeftMs":${deep}}`);
  expect((await listNames()).names).toEqual(['a', 'foreign', 'k', 'z']);
});

describe('several records with bytes of all sorts', () => {
  test('hide nothing from a list', async () => {
    DAMAGES.forEach(([, bytes], at) => writeForeign(bytes, `foreign-${at}`));
    const {names, isPartial} = await listNames();
    expect(names).toEqual(['a', 'k', 'z']);
    expect(isPartial).toBe(false);
  });

  // Guards against a follower that falls behind a fast writer for good.
  test('that are rewritten all the time hide no removal', async () => {
    follow();
    await until(() => knownNames() === 'a,k,z');
    const write = () =>
      DAMAGES.forEach(([, bytes], at) => writeForeign(bytes, `foreign-${at}`));
    write();
    const timer = setInterval(write, 20);
    try {
      await new Promise(resolve => setTimeout(resolve, 200));
      for (const [name, rest] of [
        ['k', 'a,z'],
        ['a', 'z'],
      ] as const) {
        standIn.remove('servers', name);
        await until(() => knownNames() === rest, 1_500);
      }
    } finally {
      clearInterval(timer);
    }
  });

  // Guards against one call after the other for each damaged record: with a
  // store that takes a moment for each, a removal is known too late.
  test('delay no removal at a store that answers late', async () => {
    const relay = await startRelay('127.0.0.1:0', standIn.address);
    const {log, metrics} = createRecordingRuntime().runtime;
    const clock = createProcessClock();
    const {address} = relay;
    follow(createStoreClient({address, clock, metrics, log}));
    await until(() => knownNames() === 'a,k,z');
    relay.apply({delayMs: LATE_MS});
    const timer = setInterval(() => {
      const [, bytes] = DAMAGES[Math.floor(Math.random() * DAMAGES.length)];
      writeForeign(bytes, `foreign-${Math.floor(Math.random() * 6)}`);
    }, FOREIGN_INTERVAL_MS);
    try {
      await new Promise(resolve => setTimeout(resolve, 10 * LATE_MS));
      standIn.remove('servers', 'k');
      await until(() => knownNames() === 'a,z', 12 * LATE_MS);
    } finally {
      clearInterval(timer);
      follower?.stop();
      await relay.close();
    }
  });
});
