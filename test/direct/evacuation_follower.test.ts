/**
 * Following the evacuations in the store, on a virtual clock: the store is
 * restored, loses its history, answers in part, is silent, or its connection
 * fails silently.
 */
import {Left, Right} from 'purify-ts';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {REWRITE_GRACE_MS} from '../../src/direct/config_proof.js';
import {followEvacuations} from '../../src/direct/evacuations/evacuation_follower.js';
import type {
  EvacuationFollower,
  EvacuationFollowerOptions,
} from '../../src/direct/evacuations/evacuation_follower.js';
import type {
  Changes,
  Collection,
  Listing,
  StoreFault,
} from '../../src/direct/followed/collection.js';
import type {PeerAnswer} from '../../src/direct/types.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';
import {createRestorableCollection} from '../support/restorable_collection.js';
import type {RestorableCollection} from '../support/restorable_collection.js';

const EVACUATE_MS = 5_000;
const LONG_WATCH_MS = 20_000;
/** Time in milliseconds for an answer of the store. */
const ANSWER_MS = 20;

let clock: VirtualClock;
let recorded: RecordingRuntime;
let store: RestorableCollection;
let follower: EvacuationFollower;
/** What the front was told, the newest last. */
let told: Array<readonly string[]>;
let isConfirmed: boolean;
let isStoreLost: boolean;
/** What the peer hands over; undefined when the fetch fails. */
let atPeer: ReadonlySet<string> | undefined;

beforeEach(() => {
  clock = createVirtualClock();
  recorded = createRecordingRuntime();
  store = createRestorableCollection(clock);
  told = [];
  isConfirmed = false;
  isStoreLost = false;
  atPeer = undefined;
});
afterEach(() => follower.stop());

const follow = (
  collection: Collection<unknown> = store,
  options: Partial<EvacuationFollowerOptions> = {},
) => {
  follower = followEvacuations({
    collection,
    clock,
    random: createSeededRandom(1),
    log: recorded.runtime.log,
    evacuateMs: EVACUATE_MS,
    longWatchMs: LONG_WATCH_MS,
    isConfirmed: () => isConfirmed,
    isStoreLost: () => isStoreLost,
    maxRetryMs: () => 500,
    fetchFromPeer: () => Promise.resolve(atPeer),
    onChange: domains => told.push([...domains].sort()),
    onFault: () => undefined,
    ...options,
  });
};
const inForce = () => told.at(-1);
const answerOf = (evidenceAgeMs: number | undefined): PeerAnswer => ({
  node: 'entry-0',
  ip: '127.0.0.1',
  port: 1,
  askedAt: clock.now(),
  era: undefined,
  evidenceAgeMs,
  configVersion: 1,
  replicasDigest: '',
  evacuationsDigest: 'another',
});
const fault = (part: Partial<StoreFault> = {}): StoreFault => ({
  step: 'call',
  message: 'no answer',
  historyGone: false,
  unreadable: false,
  ...part,
});
const keptEvents = () =>
  recorded.eventsOf(DIRECT_EVENTS.evacuationKept).map(({fields}) => fields);

describe('evacuations in the store', () => {
  test('begin, end and are repeated, one or several at once', async () => {
    follow();
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual([]);
    store.put('a', 'any content');
    store.put('b', '');
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual(['a', 'b']);
    store.remove('a');
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual(['b']);
    store.put('a', '{}');
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual(['a', 'b']);
  });

  // Guards against a message to the front, and its checks, at each watch.
  test('are reported at changes alone', async () => {
    store.put('a', '');
    follow();
    await clock.runFor(10_000);
    store.put('a', 'written again');
    await clock.runFor(ANSWER_MS);
    expect(told).toEqual([['a']]);
  });

  // Guards against an entry that forgets evacuations with its store.
  test('stay in force while the store is silent', async () => {
    store.put('a', '');
    follow();
    await clock.runFor(ANSWER_MS);
    store.setAway(true);
    await clock.runFor(60_000);
    expect(inForce()).toEqual(['a']);
  });

  test('are known in half of the bound when the store is back', async () => {
    follow();
    await clock.runFor(ANSWER_MS);
    store.setAway(true);
    await clock.runFor(10_000);
    store.put('a', '');
    store.setAway(false);
    await clock.runFor(EVACUATE_MS / 2);
    expect(inForce()).toEqual(['a']);
  });
});

describe('evacuations in a store that was restored from a copy', () => {
  const restore = async () => {
    store.setAway(true);
    await clock.runFor(300);
    store.restore();
    follower.storeRestored();
    store.setAway(false);
  };

  // Guards against requests to a domain whose evacuation is repeated shortly.
  test('stay in force until operators have repeated them', async () => {
    store.copy();
    store.put('a', '');
    follow();
    await clock.runFor(ANSWER_MS);
    await restore();
    await clock.runFor(REWRITE_GRACE_MS - 500);
    expect(inForce()).toEqual(['a']);
    store.put('a', '');
    await clock.runFor(3 * REWRITE_GRACE_MS);
    expect(told).toEqual([['a']]);
    expect(keptEvents()).toEqual([
      {failureDomain: 'a', cause: 'store restored'},
    ]);
  });

  test('end after that time if they are not repeated', async () => {
    store.copy();
    store.put('a', '');
    follow();
    await clock.runFor(ANSWER_MS);
    await restore();
    await clock.runFor(REWRITE_GRACE_MS + 1_000);
    expect(inForce()).toEqual([]);
  });

  test('are in force at once if they appear', async () => {
    store.put('a', '');
    store.copy();
    store.remove('a');
    follow();
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual([]);
    await restore();
    await clock.runFor(1_000);
    expect(inForce()).toEqual(['a']);
  });

  // A store without eras answers 410, and the list does not show the restore.
  test('stay in force where the store names no era', async () => {
    store = createRestorableCollection(clock, false);
    store.copy();
    store.put('a', '');
    follow();
    await clock.runFor(ANSWER_MS);
    store.restore();
    await clock.runFor(1_500);
    expect(inForce()).toEqual(['a']);
    await clock.runFor(REWRITE_GRACE_MS);
    expect(inForce()).toEqual([]);
  });
});

/** A collection whose answers a test sets one by one. */
function createScripted() {
  let listing: ReadonlySet<string> = new Set();
  let isPartial = false;
  let lists = 0;
  let watches = 0;
  let watchAnswer: (() => Promise<unknown>) | undefined;
  const position = {era: undefined, revision: 1};
  const never = () => new Promise<never>(() => undefined);
  const collection: Collection<unknown> = {
    list: () => {
      lists += 1;
      const items = new Map([...listing].map(name => [name, {}]));
      const answer: Listing<unknown> = {position, items, isPartial};
      return Promise.resolve(Right(answer));
    },
    watch: async () => {
      watches += 1;
      const answer = watchAnswer ?? never;
      watchAnswer = undefined;
      return (await answer()) as ReturnType<typeof Right<Changes<unknown>>>;
    },
  };
  return {
    collection,
    lists: () => lists,
    watches: () => watches,
    set: (names: readonly string[], partial = false) => {
      listing = new Set(names);
      isPartial = partial;
    },
    /** The next watch fails so; later ones return nothing. */
    failNextWatch: (part: Partial<StoreFault>) => {
      watchAnswer = () => Promise.resolve(Left(fault(part)));
    },
  };
}

describe('evacuations of a store that answers badly', () => {
  test('are listed again when the history is gone', async () => {
    const scripted = createScripted();
    scripted.failNextWatch({historyGone: true});
    follow(scripted.collection);
    scripted.set(['a']);
    await clock.runFor(ANSWER_MS);
    expect(scripted.lists()).toBe(2);
    expect(inForce()).toEqual(['a']);
  });

  // Guards against requests to a domain because one record is broken.
  test('stay in force if a list that lacks them is partial', async () => {
    const scripted = createScripted();
    scripted.set(['a']);
    follow(scripted.collection);
    await clock.runFor(ANSWER_MS);
    scripted.set(['b'], true);
    follower.handleDifferent(answerOf(0));
    await clock.runFor(60_000);
    expect(inForce()).toEqual(['a', 'b']);
    expect(keptEvents()).toEqual([{failureDomain: 'a', cause: 'partial list'}]);
    scripted.set(['b']);
    follower.handleDifferent(answerOf(0));
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual(['b']);
  });

  // Guards against a long watch on a connection that failed silently.
  test('are listed at once when a peer knows others', async () => {
    const scripted = createScripted();
    isConfirmed = true;
    follow(scripted.collection);
    await clock.runFor(ANSWER_MS);
    scripted.set(['a']);
    follower.handleDifferent(answerOf(0));
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual(['a']);
  });

  // Guards against a list at each answer of a peer that cannot read all of it.
  test('are listed rarely while a peer keeps reporting others', async () => {
    const scripted = createScripted();
    isConfirmed = true;
    follow(scripted.collection);
    for (let asked = 0; asked < 20; asked++) {
      await clock.runFor(500);
      follower.handleDifferent(answerOf(0));
    }
    expect(scripted.lists()).toBeLessThanOrEqual(7);
  });

  // Guards against an entry that waits on a silent connection after its peer
  // has gone.
  test('are listed when no peer confirms and the watch is overdue', async () => {
    const scripted = createScripted();
    isConfirmed = true;
    follow(scripted.collection);
    await clock.runFor(10_000);
    scripted.set(['a']);
    isConfirmed = false;
    await clock.runFor(EVACUATE_MS / 2);
    expect(inForce()).toEqual(['a']);
  });
});

describe('calls to the store for evacuations', () => {
  test('are one in 20 s while a peer confirms them', async () => {
    isConfirmed = true;
    follow();
    await clock.runFor(ANSWER_MS);
    const before = store.calls();
    await clock.runFor(10 * LONG_WATCH_MS);
    expect(store.calls() - before).toBeLessThanOrEqual(10);
  });

  test('come often enough for half of the bound otherwise', async () => {
    const waits: number[] = [];
    follow({
      list: store.list,
      watch: (from, waitMs) => {
        waits.push(waitMs);
        return store.watch(from, waitMs);
      },
    });
    await clock.runFor(10_000);
    expect(Math.max(...waits)).toBeLessThanOrEqual(EVACUATE_MS / 4);
    expect(waits.length).toBeLessThan(10);
  });
});

describe('an entry that starts while the store is silent', () => {
  beforeEach(() => {
    store.put('a', '');
    store.setAway(true);
    isStoreLost = true;
  });

  test('takes the evacuations of a peer, whatever its evidence', async () => {
    follow();
    await clock.runFor(100);
    expect(follower.domains()).toBeUndefined();
    atPeer = new Set(['a', 'b']);
    follower.handleDifferent(answerOf(undefined));
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual(['a', 'b']);
    expect(recorded.eventsOf(DIRECT_EVENTS.evacuationsTaken)).toHaveLength(1);
  });

  test('follows the store when it is back', async () => {
    atPeer = new Set(['b']);
    follow();
    follower.handleDifferent(answerOf(0));
    await clock.runFor(ANSWER_MS);
    store.setAway(false);
    isStoreLost = false;
    await clock.runFor(1_000);
    // The store may be a copy that is older than what the peer knew.
    expect(inForce()).toEqual(['a', 'b']);
    await clock.runFor(REWRITE_GRACE_MS);
    expect(inForce()).toEqual(['a']);
  });

  test('serves as if there were none when no peer knows', async () => {
    follow();
    let servedAt = 0;
    follower.whenKnown(() => {
      servedAt = clock.now();
    });
    await clock.runFor(5_000);
    expect(servedAt).toBeGreaterThan(0);
    expect(servedAt).toBeLessThanOrEqual(1_000);
    expect(told).toEqual([]);
  });
});

describe('an entry that loses the store', () => {
  beforeEach(async () => {
    store.put('a', '');
    follow();
    await clock.runFor(ANSWER_MS);
    store.setAway(true);
    isStoreLost = true;
    await clock.runFor(1_000);
  });

  test('takes what a peer knows that reaches the store', async () => {
    atPeer = new Set(['b']);
    follower.handleDifferent(answerOf(300));
    await clock.runFor(ANSWER_MS);
    expect(inForce()).toEqual(['b']);
  });

  // Guards against an evacuation that ends by the word of a peer that does not
  // reach the store either.
  test.each([[30_000], [undefined]])(
    'keeps what it knew when the evidence of the peer is %s ms old',
    async evidenceAgeMs => {
      atPeer = new Set(['b']);
      follower.handleDifferent(answerOf(evidenceAgeMs));
      await clock.runFor(ANSWER_MS);
      expect(inForce()).toEqual(['a']);
    },
  );
});

describe('what is held back until the evacuations are known', () => {
  // Guards against an entry that starts and sends its first requests to an
  // evacuated domain.
  test('runs after them, in order', async () => {
    store.put('a', '');
    const order: string[] = [];
    follow(store, {onChange: () => order.push('evacuations')});
    follower.whenKnown(() => order.push('replicas'));
    follower.whenKnown(() => order.push('changes'));
    expect(order).toEqual([]);
    await clock.runFor(ANSWER_MS);
    expect(order).toEqual(['evacuations', 'replicas', 'changes']);
    follower.whenKnown(() => order.push('later'));
    expect(order.at(-1)).toBe('later');
  });
});
