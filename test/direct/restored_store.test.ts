/** What an entry does when the store is restored from an older copy. */
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createConfigProof} from '../../src/direct/config_proof.js';
import {createPeerConfirmation} from '../../src/direct/peer_confirmation.js';
import {createReplicaTable} from '../../src/direct/replica_table.js';
import {createStoreEraTracker} from '../../src/direct/store_era_tracker.js';
import type {DirectReplica, PeerAnswer} from '../../src/direct/types.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import {announce, configOf} from '../../standins/users_platform/deployment.js';
import {streamTo} from '../../standins/users_platform/replica.js';
import {createVirtualClock} from '../../standins/virtual_clock.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

function replica(name: string, leaving = false, startedAt = 1): DirectReplica {
  return {
    id: `${name}@${startedAt}`,
    name,
    startedAt,
    service: 'pool',
    address: '127.0.0.1:1',
    failureDomain: 'domain-1',
    places: 8,
    leaving,
  };
}

const byName = (...replicas: readonly DirectReplica[]) =>
  new Map(replicas.map(it => [it.name, it]));

describe('replicas after the store was restored from a copy', () => {
  /**
   * Time in milliseconds that is longer than a replica takes to write its
   * record again.
   */
  const DOUBT_MS = 4_000;

  function createTable(...replicas: readonly DirectReplica[]) {
    const clock = createVirtualClock();
    const fleet = createReplicaTable({
      clock,
      onRemoved: () => undefined,
      onRestarted: () => undefined,
    });
    fleet.replaceAll(byName(...replicas));
    const names = () => fleet.availableFor('pool').map(({name}) => name);
    return {clock, fleet, names};
  }

  // The copy has a leaving replica as it was before. Requests sent to it would
  // be lost when it exits about two seconds later.
  test('stay unused when they were leaving', async () => {
    const {clock, fleet, names} = createTable(replica('a'), replica('b', true));
    await clock.runFor(100);
    fleet.storeRestored();
    fleet.replaceAll(byName(replica('a'), replica('b')));
    expect(names()).toEqual(['a']);
    fleet.applyChanges(byName(replica('b', true)));
    await clock.runFor(DOUBT_MS);
    expect(names()).toEqual(['a']);
  });

  // The copy lists a replica that has gone, until its record expires there.
  test('stay gone when they were gone', async () => {
    const {clock, fleet, names} = createTable(replica('a'), replica('b'));
    fleet.applyChanges(new Map([['b', undefined]]));
    await clock.runFor(100);
    fleet.storeRestored();
    fleet.replaceAll(byName(replica('a'), replica('b')));
    expect(names()).toEqual(['a']);
    fleet.replaceAll(byName(replica('a')));
    await clock.runFor(DOUBT_MS);
    expect(names()).toEqual(['a']);
  });

  test('are used again as soon as they write their record themselves', () => {
    const {fleet, names} = createTable(replica('a'), replica('b'));
    fleet.applyChanges(new Map([['b', undefined]]));
    fleet.storeRestored();
    fleet.replaceAll(byName(replica('a'), replica('b')));
    fleet.applyChanges(byName(replica('b')));
    expect(names().sort()).toEqual(['a', 'b']);
  });

  // The replica does not write its record again, so what the store keeps
  // reporting counts in the end.
  test('are used again when the store keeps listing them', async () => {
    const {clock, fleet, names} = createTable(replica('a'), replica('b', true));
    fleet.storeRestored();
    fleet.replaceAll(byName(replica('a'), replica('b')));
    await clock.runFor(DOUBT_MS);
    expect(names().sort()).toEqual(['a', 'b']);
  });

  // The replica's record is newer than the copy, and the replica writes it
  // again within two seconds.
  test('stay in use for a while when the copy lists none of them', () => {
    const {fleet, names} = createTable(replica('a'));
    fleet.storeRestored();
    fleet.replaceAll(new Map());
    expect(names()).toEqual(['a']);
  });
});

describe('proof that the configuration is the newest', () => {
  const SOON_MS = 100;
  const LATER_MS = 2_000;
  const FIRST_WORD_MS = 600;
  const createProof = (hasEra = true) => {
    const {runtime, clock, eventsOf} = createRecordingRuntime();
    const firstEraAt = hasEra ? clock.now() : undefined;
    const proof = createConfigProof(clock, runtime.log, () => firstEraAt);
    proof.versionListed(12);
    return {clock, proof, eventsOf};
  };
  const createRunningProof = async () => {
    const made = createProof();
    await made.clock.runFor(LATER_MS);
    return made;
  };

  test('is given by each answer with that version', async () => {
    expect((await createRunningProof()).proof.provesNewest(12)).toBe(true);
  });

  // An entry cannot know at its start whether the store was restored just
  // before.
  test('is not given at the start until another entry had time to answer', async () => {
    const {clock, proof} = createProof();
    expect(proof.provesNewest(12)).toBe(false);
    await clock.runFor(FIRST_WORD_MS);
    expect(proof.provesNewest(12)).toBe(true);
  });

  // Guards against a removed key that is served when the store comes back from a
  // copy after it was away for long.
  test('is not given until others had time to write to a store that comes back', async () => {
    const {runtime, clock} = createRecordingRuntime();
    const era: {firstAt?: number} = {};
    const proof = createConfigProof(
      clock,
      runtime.log,
      () => era.firstAt,
      () => false,
    );
    await clock.runFor(LATER_MS * 3);
    era.firstAt = clock.now();
    proof.versionListed(12);
    expect(proof.provesNewest(12)).toBe(false);
    await clock.runFor(LATER_MS);
    expect(proof.provesNewest(12)).toBe(true);
  });

  // Such a store cannot be known to be restored from a copy.
  test('is given at the start where the store reports no era', () => {
    expect(createProof(false).proof.provesNewest(12)).toBe(true);
  });

  test('is not given while a newer configuration is fetched from another entry', async () => {
    const {clock, proof} = await createRunningProof();
    proof.peerHasVersion(13);
    expect(proof.provesNewest(12)).toBe(false);
    await clock.runFor(LATER_MS);
    expect(proof.provesNewest(12)).toBe(true);
  });

  // Version 13 removes a key and is acknowledged, but the restored store lacks
  // it. Its answers with version 12 must not prove that key.
  test('is not given right after a restore until something is written', async () => {
    const {clock, proof} = await createRunningProof();
    proof.storeRestored();
    proof.versionListed(12);
    await clock.runFor(SOON_MS);
    expect(proof.provesNewest(12)).toBe(false);
    proof.versionWritten(13);
    expect(proof.provesNewest(13)).toBe(true);
  });

  test('is given again when nothing was written for long after a restore', async () => {
    const {clock, proof} = await createRunningProof();
    proof.storeRestored();
    proof.versionListed(12);
    await clock.runFor(LATER_MS);
    expect(proof.provesNewest(12)).toBe(true);
  });

  test('is never given by an older configuration', async () => {
    const {clock, proof, eventsOf} = await createRunningProof();
    proof.storeRestored();
    proof.versionListed(10);
    await clock.runFor(LATER_MS);
    expect(proof.provesNewest(12)).toBe(false);
    expect(proof.provesNewest(12)).toBe(false);
    proof.versionWritten(12);
    expect(proof.provesNewest(12)).toBe(true);
    expect(eventsOf(DIRECT_EVENTS.knowledgeKept)).toHaveLength(1);
    expect(eventsOf(DIRECT_EVENTS.knowledgeSettled)).toHaveLength(1);
  });
});

describe('the era of the store', () => {
  test('rises and never falls', () => {
    const {runtime, eventsOf} = createRecordingRuntime();
    let restoredCount = 0;
    const {log, metrics} = runtime;
    const eraTracker = createStoreEraTracker({
      log,
      metrics,
      onRestored: () => restoredCount++,
    });
    for (const era of [3, 3, 4, 3, 3, 4]) eraTracker.observe(era);
    expect(eraTracker.current()).toBe(4);
    expect(restoredCount).toBe(1);
    expect(eventsOf(DIRECT_EVENTS.eraOlder)).toHaveLength(1);
  });

  test('is logged once as missing where it is not reported', () => {
    const {runtime, eventsOf} = createRecordingRuntime();
    const {log, metrics} = runtime;
    const eras = createStoreEraTracker({
      log,
      metrics,
      onRestored: () => undefined,
    });
    eras.observe(undefined);
    eras.observe(undefined);
    expect(eras.current()).toBeUndefined();
    expect(eventsOf(DIRECT_EVENTS.eraUntold)).toHaveLength(1);
  });
});

describe('the answer of an entry in another era', () => {
  async function eventsFor(era: number, configVersion = 3): Promise<string[]> {
    const clock = createVirtualClock();
    const seen: string[] = [];
    const confirmation = createPeerConfirmation({
      clock,
      maxAgeMs: 2_000,
      queryPeer: async (): Promise<PeerAnswer> => ({
        era,
        configVersion,
        replicasDigest: 'other',
        evidenceAgeMs: 10,
        askedAt: clock.now(),
        node: 'entry-0',
        ip: '127.0.0.1',
        port: 1,
      }),
      ownKnowledge: () => ({era: 2, configVersion: 3, replicasDigest: 'own'}),
      onConfirmed: () => seen.push('confirmed'),
      onDifferentConfig: () => seen.push('config'),
      onSameConfig: () => undefined,
      onDifferentReplicas: () => seen.push('replicas'),
      onNewerEra: () => seen.push('newer era'),
      onUnconfirmed: () => undefined,
      onChange: isActive => seen.push(isActive ? 'covered' : 'uncovered'),
    });
    await clock.runFor(1_100);
    confirmation.stop();
    return [...new Set(seen)];
  }

  // The peer has not seen the restore, so its evidence and its digest describe
  // a state that no longer exists.
  test('proves nothing when the era is older', async () => {
    expect(await eventsFor(1)).toEqual([]);
  });

  test('still reports a newer configuration', async () => {
    expect(await eventsFor(1, 4)).toEqual(['config']);
  });

  test('reports the restore when the era is newer', async () => {
    expect(await eventsFor(3)).toContain('newer era');
  });
});

describe('an entry whose store is restored from a copy', () => {
  let fleet: DirectFleet;
  beforeEach(async () => {
    fleet = await startDirectFleet({pool: 3});
    for (const it of fleet.pool) it.behave(streamTo(3));
  });
  afterEach(() => fleet.close());

  const HEADERS = {'X-Token-Usage': '1000,100'};
  const stream = () => callEntry(fleet, '/stream/a', {headers: HEADERS});
  const isRestored = () =>
    fleet.runtime.eventsOf(DIRECT_EVENTS.storeRestored).length > 0;
  const knownReplicas = () =>
    fleet.runtime.metrics.value('onyxloft_direct_replicas', {});
  const ownRecord = () => fleet.store.get('onyxloft-entries', 'entry-1');

  // A replica left after the copy was made, and the store has assigned the
  // later revisions again.
  test('sends nothing to a replica that had left', async () => {
    const [gone, ...others] = fleet.pool;
    const copy = fleet.store.copy();
    fleet.store.remove('servers', gone.id);
    await until(() => knownReplicas() === others.length + fleet.desk.length);
    fleet.store.restore(copy);
    for (const it of others) announce(fleet.store, it, 'pool');
    await until(isRestored);
    for (let count = 0; count < 20; count++) await stream();
    expect(gone.arrivals).toEqual([]);
  });

  // The record by which peers find this one is newer than the copy.
  test('writes its own record again', async () => {
    const {revision, kinds} = fleet.store.copy();
    const without = new Map(kinds);
    without.delete('onyxloft-entries');
    fleet.store.restore({revision, kinds: without});
    expect(ownRecord()).toBeUndefined();
    await until(() => ownRecord() !== undefined);
  });

  // The copy has the previous configuration. The newer one stays in force here
  // until operators write it again.
  test('keeps the newer configuration', async () => {
    const copy = fleet.store.copy();
    fleet.store.put('config', 'main', configOf(2));
    const adopted = () => fleet.runtime.eventsOf(DIRECT_EVENTS.configAdopted);
    await until(() => adopted().length === 2);
    fleet.store.restore(copy);
    const kept = () => fleet.runtime.eventsOf(DIRECT_EVENTS.knowledgeKept);
    await until(() => kept().length > 0);
    expect(adopted()).toHaveLength(2);
    expect((await stream()).status).toBe(200);
    fleet.store.put('config', 'main', configOf(2));
    const settled = () =>
      fleet.runtime.eventsOf(DIRECT_EVENTS.knowledgeSettled);
    await until(() => settled().length > 0);
  });
});

/** Limit on removed keys in the settings of these tests, in milliseconds. */
const REVOKED_MS = 5_100;

describe('an entry that starts just after the store was restored from a copy', () => {
  // The copy lacks the configuration that removed the key. Only a peer knows it
  // until operators write it again.
  test('accepts no key that another entry knows was removed', async () => {
    const running = await startDirectFleet({node: 'entry-2'});
    running.store.put('config', 'main', configOf(2, ['key-2']));
    const {eventsOf} = running.runtime;
    await until(() => eventsOf(DIRECT_EVENTS.configAdopted).length === 2);
    const other = {node: 'entry-2', peers: running.peers};
    const starting = await startDirectFleet({node: 'entry-1', other});
    const answer = await callEntry(starting, '/again/');
    await starting.close();
    await running.close();
    expect(answer.status).not.toBe(200);
  }, 30_000);

  // All entries were stopped as well, so nobody knows what was lost.
  test('accepts no removed key where no other entry is left', async () => {
    const fleet = await startDirectFleet();
    const copy = fleet.store.copy();
    fleet.store.put('config', 'main', configOf(2, ['key-2']));
    await sleep(REVOKED_MS);
    await fleet.entry.kernel.stop();
    fleet.store.restore(copy);
    const starting = await startDirectFleet({
      node: 'entry-2',
      sharedFleet: fleet,
    });
    const answer = await callEntry(starting, '/again/');
    await starting.close();
    await fleet.close();
    expect(answer.status).not.toBe(200);
  }, 30_000);
});
