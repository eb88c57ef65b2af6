/** Errors of the entry itself in steps in the background. */
import {Left, Right} from 'purify-ts';
import {beforeEach, describe, expect, test} from 'vitest';
import {followCollection} from '../../src/direct/collection_follower.js';
import {createCrashWatch} from '../../src/direct/crashes/crash_watch.js';
import {createLostRuns} from '../../src/direct/crashes/lost_runs.js';
import {createQuarantineRecords} from '../../src/direct/crashes/quarantine_records.js';
import type {Exchange} from '../../src/direct/exchange.js';
import {createGroups} from '../../src/direct/groups.js';
import {createRequestPermits} from '../../src/direct/limits/request_permits.js';
import {createMemoryLeases} from '../../src/direct/memory_leases.js';
import {createPeerConfirmation} from '../../src/direct/peer_confirmation.js';
import type {DirectReplica} from '../../src/direct/types.js';
import {createSeededRandom} from '../../standins/seeded_random.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';
import {IGNORED_CALLBACKS} from '../support/peer_confirmation.js';
import {createRestorableCollection} from '../support/restorable_collection.js';

const PART = 'b'.repeat(32);
const REPLICA: DirectReplica = {
  id: 'r1',
  name: 'r1',
  startedAt: undefined,
  service: 'pool',
  address: '127.0.0.1:1',
  failureDomain: 'domain-1',
  places: 8,
  leaving: false,
};
const failed = () => Promise.reject(new Error('a step fails'));

let clock: VirtualClock;
let errors: string[];
/** Handed to each part; what it does not take would end the process. */
let owner: {readonly onError: (err: unknown, callback: string) => void};
beforeEach(() => {
  clock = createVirtualClock();
  errors = [];
  owner = {onError: (_err, callback) => void errors.push(callback)};
});

/** Throws at the first call only. */
function failOnce(): () => void {
  let calls = 0;
  return () => {
    if (++calls === 1) throw new Error('a step fails');
  };
}

describe('an error in a step in the background', () => {
  // Guards against memory of a group that is not renewed after one failure.
  test('of a group is followed by the next renewal', async () => {
    const reports = failOnce();
    const renewals = failOnce();
    let reserved = 0;
    const groups = createGroups({
      ...owner,
      clock,
      log: () => undefined,
      orders: {
        reserve: async () => {
          if (++reserved > 1) renewals();
          return 'done';
        },
        release: async () => 'done',
      },
      readReport: async () => {
        reports();
        return {startedAt: undefined, reservations: undefined};
      },
      idPrefix: 'entry-1',
      holdMs: 3_000,
      unusedMs: 20_000,
    });
    const group = await groups.open({
      requestId: 'req-1',
      lead: REPLICA,
      helpers: [REPLICA],
      tokens: 10,
    });
    await clock.runFor(12_000);
    expect(reserved).toBeGreaterThan(3);
    if ('close' in group) group.close();
    await clock.runFor(15_000);
    expect(groups.reservationCount()).toBe(0);
    expect(errors.length).toBe(2);
  });

  // Guards against a release that ends the process.
  test('of a release ends that lease only', async () => {
    const leases = createMemoryLeases({
      ...owner,
      clock,
      orders: {reserve: async () => 'done', release: failed},
      idPrefix: 'entry-1',
      holdMs: 3_000,
    });
    const lease = leases.create(REPLICA.address, 10);
    await lease.reserve();
    lease.release();
    await clock.runFor(20_000);
    expect([leases.count(), errors.length]).toEqual([0, 1]);
  });

  // Guards against a cold replica that gets nothing after one failure.
  test('of an ask for a permit does not refuse the next one', async () => {
    const send = failOnce();
    const cold = {name: 'r1', leftMs: 60_000, ageMs: 0, perSecond: 5};
    const limit = {replicaId: 'r1', perSecond: undefined, ageMs: 0, cold};
    const permits = createRequestPermits({
      ...owner,
      clock,
      log: () => undefined,
      metrics: {
        count: () => undefined,
        gauge: () => undefined,
        observe: () => undefined,
        render: () => '',
      },
      node: 'entry-1',
      limits: {
        limitOf: () => 5,
        reportOf: () => limit,
        merge: () => undefined,
      },
      sendAsk: (_to, {id}) => {
        send();
        permits.handleAnswer({
          askId: id,
          isGranted: true,
          retryAfterMs: 0,
          limit,
        });
      },
      sendAnswer: () => undefined,
    });
    permits.setGrantingEntries({live: ['entry-2'], known: 1});
    const take = () =>
      permits.take({replicaId: 'r1', count: 1, urgency: 1}).catch(() => false);
    expect([await take(), await take()]).toEqual([false, true]);
  });

  // Guards against a crash that is not counted because another one failed.
  test('of a look-up leaves the other runs their ends', async () => {
    const fail = failOnce();
    const ended: string[] = [];
    const runs = createLostRuns<string>({
      ...owner,
      clock,
      probePort: () => Promise.resolve('refused'),
      isLeaving: () => false,
      replicaAt: () => undefined,
      onEnded: run => {
        fail();
        ended.push(run);
      },
    });
    runs.runBroken('a', REPLICA);
    runs.runBroken('b', REPLICA);
    await clock.runFor(1_000);
    expect([ended, errors.length]).toEqual([['b'], 1]);
  });

  // Guards against a quarantine without a trial after one claim that failed.
  test('of a claim for a trial is followed by another claim', async () => {
    let claims = 0;
    const watch = createCrashWatch({
      ...owner,
      clock,
      log: () => undefined,
      random: createSeededRandom(1),
      node: 'entry-1',
      probePort: () => Promise.resolve('refused'),
      isLeaving: () => false,
      isCurrent: () => true,
      replicaAt: () => undefined,
      shareReport: () => undefined,
      onQuarantined: () => undefined,
      onCleared: () => undefined,
      claimTrial: () => {
        claims++;
        return claims === 1 ? failed() : Promise.resolve(true);
      },
    });
    const request = (): Exchange =>
      ({
        id: 'req-1',
        body: Buffer.alloc(0),
        isTrial: false,
        digest: () => 'a'.repeat(32),
        partDigests: () => [PART],
      }) as Partial<Exchange> as Exchange;
    for (const id of ['r1', 'r2', 'r3', 'r4']) {
      watch.runBroken(request(), {...REPLICA, id});
      await clock.runFor(500);
    }
    const claim = () => watch.claimTrial(request()).catch(() => false);
    const gained: boolean[] = [];
    for (let at = 0; at < 20; at++) {
      gained.push(await claim());
      await clock.runFor(500);
    }
    expect(claims).toBeGreaterThan(1);
    expect(gained).toContain(true);
    expect(errors.length).toBe(1);
  });

  // Guards against a write of a record that ends the process.
  test('of a write to the store leaves the other writes', async () => {
    const fail = failOnce();
    const written: string[] = [];
    const records = createQuarantineRecords({
      ...owner,
      store: {
        quarantine: createRestorableCollection(clock) as never,
        writeQuarantine: async ({digest}) => {
          fail();
          written.push(digest);
          return Right(undefined);
        },
        removeQuarantine: failed,
        claimTrial: failed,
      },
      clock,
      wallMs: () => 0,
      random: createSeededRandom(1),
      log: () => undefined,
      waitMs: () => 1_000,
      maxRetryMs: () => 500,
      onReports: () => undefined,
      onFault: () => undefined,
      onReleased: () => undefined,
    });
    records.ensureStored({digest: 'a', ended: [], good: {}}, true);
    records.ensureStored({digest: 'b', ended: [], good: {}}, true);
    records.clear('c', true);
    await clock.runFor(500);
    expect([written, errors.length]).toEqual([['b'], 2]);
    expect(await records.claimTrial('a', 0, 'me').catch(() => 'failed')).toBe(
      undefined,
    );
    records.stop();
  });

  // Guards against a quarantine that a restart loses, and one that stays after
  // its release, since the call to the store failed once with an error.
  test('of a write or a removal in the store is followed by the next one', async () => {
    const failWrite = failOnce();
    const failRemoval = failOnce();
    const calls: string[] = [];
    const records = createQuarantineRecords({
      ...owner,
      store: {
        quarantine: createRestorableCollection(clock) as never,
        writeQuarantine: async ({digest}) => {
          failWrite();
          calls.push(`write ${digest}`);
          return Right(undefined);
        },
        removeQuarantine: async digest => {
          failRemoval();
          calls.push(`remove ${digest}`);
          return Right(undefined);
        },
        claimTrial: failed,
      },
      clock,
      wallMs: () => 0,
      random: createSeededRandom(1),
      log: () => undefined,
      waitMs: () => 1_000,
      maxRetryMs: () => 500,
      onReports: () => undefined,
      onFault: () => undefined,
      onReleased: () => undefined,
    });
    records.ensureStored({digest: 'a', ended: [], good: {}}, true);
    records.clear('b', true);
    await clock.runFor(3_000);
    records.stop();
    expect([calls, errors.length]).toEqual([['write a', 'remove b'], 2]);
  });

  // Guards against an entry that no longer queries its peers.
  test('of a query of a peer is followed by the next query', async () => {
    let queries = 0;
    const confirmation = createPeerConfirmation({
      ...owner,
      ...IGNORED_CALLBACKS,
      clock,
      maxAgeMs: 1_000,
      queryPeer: () => {
        queries++;
        return queries === 1 ? failed() : Promise.resolve(undefined);
      },
      ownKnowledge: () => ({
        era: 1,
        configVersion: 1,
        replicasDigest: 'a',
      }),
    });
    await clock.runFor(3_000);
    confirmation.stop();
    expect(queries).toBeGreaterThan(3);
    expect(errors.length).toBe(1);
  });

  // Guards against a collection that is no longer followed.
  test('of a follower is followed by another list', async () => {
    const collection = createRestorableCollection(clock);
    const list = failOnce();
    const change = failOnce();
    let known: ReadonlyMap<string, string> = new Map();
    const follower = followCollection<string>({
      ...owner,
      collection,
      clock,
      random: createSeededRandom(1),
      waitMs: () => 500,
      maxRetryMs: () => 500,
      changePauseMs: 0,
      onList: items => {
        list();
        known = items;
      },
      onChanges: change,
      onConfirmed: () => undefined,
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    collection.put('a', '1');
    await clock.runFor(2_000);
    expect([...known.keys()]).toEqual(['a']);
    collection.put('b', '2');
    await clock.runFor(2_000);
    follower.stop();
    expect([...known.keys()]).toEqual(['a', 'b']);
    expect(errors.length).toBe(2);
  });

  // Guards against a list beside the watch that is never made again.
  test('of a list on demand is followed by the next one', async () => {
    let lists = 0;
    const follower = followCollection<string>({
      ...owner,
      collection: {
        list: async () => {
          if (++lists === 2) throw new Error('a step fails');
          const position = {era: 1, revision: 1};
          return Right({position, items: new Map(), isPartial: false});
        },
        watch: async () => {
          await new Promise<void>(resolve => void clock.after(400, resolve));
          return Left({
            step: 'watch',
            message: 'cut',
            historyGone: false,
            unreadable: false,
          });
        },
      },
      clock,
      random: createSeededRandom(1),
      waitMs: () => 500,
      maxRetryMs: () => 500,
      changePauseMs: 0,
      onList: () => undefined,
      onChanges: () => undefined,
      onConfirmed: () => undefined,
      onRestored: () => undefined,
      onFault: () => undefined,
    });
    await clock.runFor(100);
    follower.relistNow();
    await clock.runFor(1_000);
    const before = lists;
    follower.relistNow();
    await clock.runFor(1);
    follower.stop();
    expect([lists - before, errors.length]).toEqual([1, 1]);
  });
});
