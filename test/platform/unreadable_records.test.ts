/** Answers of the store in which one record is not valid JSON. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createStoreClient} from '../../platform/store_client.js';
import {followCollection} from '../../src/direct/collection_follower.js';
import type {DirectReplica, DirectStore} from '../../src/direct/types.js';
import {createProcessClock} from '../../src/utils/clock.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {listen} from '../support/http_server.js';
import type {TestServer} from '../support/http_server.js';

const spec = {
  service: 'pool',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 4,
  state: 'ready',
};
const object = (name: string) => ({metadata: {name, revision: 3}, spec});
const GOOD = JSON.stringify(object('good'));
const BAD = '{"metadata":{"name":"bad","revision":4},"spec":{"slots":1,zz}}';
const NAMELESS = '{"metadata":{"name":zz,"revision":4},"spec":{}}';
/** Its last brace is missing, so that it takes the next items for its own. */
const UNCLOSED = '{"metadata":{"name":"bad","revision":4},"spec":{"slots":4}';
const listOf = (...items: readonly string[]) =>
  `{"items":[${items.join()}],"hasMore":false,"currentRev":9}`;
const eventsOf = (...events: readonly string[]) =>
  `{"events":[${events.join()}],"currentRev":9}`;
const eventOf = (text: string, removed: boolean) =>
  `{"object":${text},"removed":${removed}}`;

let server: TestServer;
let store: DirectStore;
let listText: string;
let watchText: string;
beforeEach(async () => {
  server = await listen((req, res) => {
    const isWatch = req.url?.includes('watch=') === true;
    res.end(isWatch ? watchText : listText);
  });
  const {log, metrics} = createRecordingRuntime().runtime;
  store = createStoreClient({
    address: new URL(server.url).host,
    clock: createProcessClock(),
    metrics,
    log,
  });
});
afterEach(() => server.close());

const listReplicas = async () => (await store.replicas.list()).unsafeCoerce();
const watchReplicas = async () =>
  (await store.replicas.watch({era: 1, revision: 5}, 100)).unsafeCoerce();

describe('a list with a record that is not valid JSON', () => {
  // Guards against removals that are missed for good beside such a record.
  test('is whole where the record is told apart by its name', async () => {
    listText = listOf(BAD, GOOD);
    const {items, isPartial} = await listReplicas();
    expect([...items.keys()]).toEqual(['good']);
    expect(isPartial).toBe(false);
  });

  test.each([NAMELESS, UNCLOSED])('is partial beside %s', async bad => {
    listText = listOf(bad, GOOD);
    const partial = (await store.replicas.list()).map(it => it.isPartial);
    expect(partial.orDefault(true)).toBe(true);
  });
});

describe('a watch with a record that is not valid JSON', () => {
  test('reports the removals beside it', async () => {
    watchText = eventsOf(eventOf(BAD, false), eventOf(GOOD, true));
    const {items, isPartial} = await watchReplicas();
    expect(items.has('good')).toBe(true);
    expect(items.get('good')).toBeUndefined();
    expect(isPartial).toBe(false);
  });

  test('is partial beside a record without a name', async () => {
    watchText = eventsOf(eventOf(GOOD, true), eventOf(NAMELESS, false));
    const from = {era: 1, revision: 5};
    const partial = (await store.replicas.watch(from, 100)).map(
      it => it.isPartial,
    );
    expect(partial.orDefault(true)).toBe(true);
  });

  // Guards against a change that is lost behind a record without its end.
  test('names each item that it does not show beside one without its end', async () => {
    const hidden = GOOD.replace('good', 'hidden');
    watchText = eventsOf(
      eventOf(GOOD, true),
      eventOf(UNCLOSED, false),
      eventOf(hidden, false),
    );
    const {unread, isPartial} = await watchReplicas();
    expect(unread).toEqual(new Set(['good', 'bad', 'hidden']));
    expect(isPartial).toBe(false);
  });

  test('confirms nothing while it is partial, and is followed by a list', async () => {
    listText = listOf(GOOD);
    watchText = eventsOf(eventOf(GOOD, true), eventOf(NAMELESS, false));
    const seen: string[] = [];
    const follower = followCollection<DirectReplica>({
      collection: store.replicas,
      clock: createProcessClock(),
      random: createSeededRandom(1),
      waitMs: () => 100,
      maxRetryMs: () => 500,
      changePauseMs: 0,
      onList: () => seen.push('list'),
      onChanges: items => seen.push(`changes ${[...items.keys()].join()}`),
      onConfirmed: () => seen.push('confirmed'),
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    await expect.poll(() => seen.length).toBeGreaterThanOrEqual(5);
    follower.stop();
    const start = ['list', 'confirmed', 'changes good', 'list', 'confirmed'];
    expect(seen.slice(0, start.length)).toEqual(start);
  });
});
