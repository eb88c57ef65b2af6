/** Connections to the store that fail silently, all at the same moment. */
import {Left, Right} from 'purify-ts';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createPeerConfirmation} from '../../src/direct/peer_confirmation.js';
import {createStoreFollower} from '../../src/direct/store_follower.js';
import type {
  Changes,
  Collection,
  Listing,
} from '../../src/direct/followed/collection.js';
import type {
  DirectReplica,
  DirectStore,
  PeerAnswer,
} from '../../src/direct/types.js';
import {createKernel} from '../../src/kernel/kernel.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';

/** How long a call without an answer waits beyond the wait of its watch. */
const TIMEOUT_MS = 500;
/** Until then all calls are answered. */
const SILENT_FROM_MS = 3_000;

const replica = (name: string): DirectReplica => ({
  id: name,
  name,
  startedAt: undefined,
  service: 'pool',
  address: '10.0.0.1:80',
  failureDomain: 'd',
  places: 4,
  leaving: false,
  cold: {kind: 'none'},
});

let clock: VirtualClock;
let kernel: ReturnType<typeof createKernel>;
let revision: number;
let replicas: Map<string, DirectReplica>;
/** Calls that wait on connections which fell silent are never answered. */
let wake: Set<() => void>;
let seen: Map<string, number>;

const remove = (name: string) => {
  revision++;
  replicas.delete(name);
  for (const run of [...wake]) run();
};
const after = (ms: number) =>
  new Promise<void>(resolve => void clock.after(ms, resolve));
const unanswered = () =>
  Left({
    step: 'watch',
    historyGone: false,
    unreadable: false,
    unanswered: true,
    message: 'timed out',
  });

function collectionOf<T>(items: () => Map<string, T>): Collection<T> {
  const known = new Map<number, Map<string, T>>();
  const position = () => ({era: undefined, revision});
  const list = (): Listing<T> => ({
    position: position(),
    items: new Map(items()),
    isPartial: false,
  });
  return {
    list: () => {
      known.set(revision, new Map(items()));
      return Promise.resolve(Right(list()));
    },
    watch: async (from, waitMs) => {
      const sentAt = clock.now();
      const before = known.get(from.revision) ?? new Map(items());
      const changes = (): Changes<T> => {
        known.set(revision, new Map(items()));
        const gone = [...before.keys()].filter(name => !items().has(name));
        return {
          position: position(),
          items: new Map(gone.map(name => [name, undefined])),
        };
      };
      if (revision > from.revision) return Right(changes());
      let isWoken = false;
      const run = () => (isWoken = true);
      wake.add(run);
      while (!isWoken && clock.now() - sentAt < waitMs) await after(10);
      wake.delete(run);
      const isSilent = sentAt < SILENT_FROM_MS && clock.now() >= SILENT_FROM_MS;
      if (!isSilent) return Right(changes());
      await after(sentAt + waitMs + TIMEOUT_MS - clock.now());
      return unanswered();
    },
  };
}

beforeEach(async () => {
  clock = createVirtualClock();
  revision = 1;
  replicas = new Map(['a', 'b', 'c'].map(name => [name, replica(name)]));
  wake = new Set();
  seen = new Map();
  const never = () => new Promise<never>(() => undefined);
  const none = collectionOf<never>(() => new Map<string, never>());
  const store: DirectStore = {
    configs: none,
    replicas: collectionOf(() => replicas),
    evacuations: none,
    quarantine: none,
    writeQuarantine: never,
    removeQuarantine: never,
    claimTrial: never,
    settledEra: never,
    recordSettledEra: never,
    watchEra: () => undefined,
    listEntries: never,
    announceEntry: never,
    removeEntry: never,
  };
  const {runtime} = createRecordingRuntime({clock, seed: 1});
  kernel = createKernel(runtime);
  await kernel.start({
    name: 'direct',
    start: ctx =>
      void ctx.mailbox.observe(message => {
        if (message.kind === 'replica-changes') {
          for (const [name, item] of message.replicas) {
            if (item === undefined) seen.set(name, clock.now());
          }
        }
        if (message.kind === 'replicas') {
          for (const name of ['a', 'b', 'c']) {
            if (!message.replicas.has(name) && !seen.has(name)) {
              seen.set(name, clock.now());
            }
          }
        }
      }),
  });
  await kernel.start({
    name: 'sharing',
    start: ctx =>
      void ctx.mailbox.observe(message => {
        if (message.kind === 'query-peer') message.reply(undefined);
      }),
  });
  await kernel.start(
    createStoreFollower({
      node: 'entry-1',
      store,
      maxReadyAgeMs: 3_000,
      leavingMs: 2_000,
      evacuateMs: undefined,
      isBootstrap: true,
      wallMs: () => clock.now(),
    }),
  );
});
afterEach(() => kernel.stop());

describe('an entry whose connections to the store fall silent', () => {
  // Guards against a removal that waits for the watch of the replicas to fail,
  // though another call has shown that connections were lost.
  test('sees a removal as soon as one call went unanswered', async () => {
    await clock.runFor(SILENT_FROM_MS + 100);
    remove('a');
    await clock.runFor(1_700);
    expect([...seen.keys()]).toEqual(['a']);
    expect(seen.get('a')).toBeLessThanOrEqual(SILENT_FROM_MS + 1_600);
  });
});

describe('an entry whose replicas differ from those of a peer', () => {
  const answer: PeerAnswer = {
    era: undefined,
    evidenceAgeMs: 100,
    evidenceSource: 'entry-0',
    configVersion: 1,
    replicasDigest: 'other',
    evacuationsDigest: undefined,
    askedAt: 0,
    node: 'entry-0',
    ip: '127.0.0.1',
    port: 1,
  };
  const firstDifferenceAt = async (changedAt: number) => {
    let foundAt: number | undefined;
    const confirmation = createPeerConfirmation({
      clock,
      maxAgeMs: 2_000,
      queryPeer: () => Promise.resolve({...answer, askedAt: clock.now()}),
      ownKnowledge: () => ({
        era: undefined,
        configVersion: 1,
        replicasDigest: 'own',
      }),
      replicasChangedAt: () => changedAt,
      onConfirmed: () => undefined,
      onDifferentConfig: () => undefined,
      onSameConfig: () => undefined,
      onDifferentReplicas: () => (foundAt ??= clock.now()),
      onNewerEra: () => undefined,
      onUnconfirmed: () => undefined,
      onChange: () => undefined,
    });
    const startedAt = clock.now();
    await clock.runFor(2_000);
    confirmation.stop();
    return (foundAt ?? Infinity) - startedAt;
  };

  // Guards against entries that learn of a removal half a second after another.
  test('looks again at once where its own have not changed lately', async () => {
    await clock.runFor(3_000);
    expect(await firstDifferenceAt(0)).toBeLessThanOrEqual(700);
  });

  // Guards against lists after each change, which entries see at different times.
  test('waits for the next query where its own have just changed', async () => {
    await clock.runFor(3_000);
    expect(await firstDifferenceAt(clock.now())).toBe(1_000);
  });
});
