/** What an entry does when the store comes back from an older copy. */
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

describe('replicas after the store came back from a copy', () => {
  /** Longer than a replica takes to write again. */
  const DOUBT_MS = 4_000;

  function fleetOf(...replicas: readonly DirectReplica[]) {
    const clock = createVirtualClock();
    const fleet = createReplicaTable({
      clock,
      onRemoved: () => undefined,
      onRestarted: () => undefined,
    });
    fleet.setAll(byName(...replicas));
    const names = () => fleet.availableFor('pool').map(({name}) => name);
    return {clock, fleet, names};
  }

  // A replica that is leaving is in the copy as it was before. It serves on for
  // two seconds or so and then exits, with what it was sent meanwhile.
  test('stay unused when they were leaving', async () => {
    const {clock, fleet, names} = fleetOf(replica('a'), replica('b', true));
    await clock.runFor(100);
    fleet.storeRestored();
    fleet.setAll(byName(replica('a'), replica('b')));
    expect(names()).toEqual(['a']);
    fleet.applyChanges(byName(replica('b', true)));
    await clock.runFor(DOUBT_MS);
    expect(names()).toEqual(['a']);
  });

  // One that had gone is alive by the copy until its record lapses there.
  test('stay gone when they were gone', async () => {
    const {clock, fleet, names} = fleetOf(replica('a'), replica('b'));
    fleet.applyChanges(new Map([['b', undefined]]));
    await clock.runFor(100);
    fleet.storeRestored();
    fleet.setAll(byName(replica('a'), replica('b')));
    expect(names()).toEqual(['a']);
    fleet.setAll(byName(replica('a')));
    await clock.runFor(DOUBT_MS);
    expect(names()).toEqual(['a']);
  });

  test('are used again as soon as they write so themselves', () => {
    const {fleet, names} = fleetOf(replica('a'), replica('b'));
    fleet.applyChanges(new Map([['b', undefined]]));
    fleet.storeRestored();
    fleet.setAll(byName(replica('a'), replica('b')));
    fleet.applyChanges(byName(replica('b')));
    expect(names().sort()).toEqual(['a', 'b']);
  });

  // No write of its own comes; what the store goes on saying is the truth then.
  test('are used again when the store says so for long', async () => {
    const {clock, fleet, names} = fleetOf(replica('a'), replica('b', true));
    fleet.storeRestored();
    fleet.setAll(byName(replica('a'), replica('b')));
    await clock.runFor(DOUBT_MS);
    expect(names().sort()).toEqual(['a', 'b']);
  });

  // Its record is younger than the copy. It writes again within two seconds.
  test('are used on for a while when the copy knows none of them', () => {
    const {fleet, names} = fleetOf(replica('a'));
    fleet.storeRestored();
    fleet.setAll(new Map());
    expect(names()).toEqual(['a']);
  });
});

describe('proof that a configuration is the newest', () => {
  const SOON_MS = 100;
  const LATER_MS = 2_000;
  const FIRST_WORD_MS = 600;
  const proofOf = (tellsEra = true) => {
    const {runtime, clock, eventsOf} = createRecordingRuntime();
    const proof = createConfigProof(clock, runtime.log, () => tellsEra);
    proof.versionListed(12);
    return {clock, proof, eventsOf};
  };
  const runningProofOf = async () => {
    const made = proofOf();
    await made.clock.runFor(LATER_MS);
    return made;
  };

  test('is each answer that shows it', async () => {
    expect((await runningProofOf()).proof.provesNewest(12)).toBe(true);
  });

  // An entry that starts may do so just after a return, of which it cannot know.
  test('is none at the start, until another entry had time to tell', async () => {
    const {clock, proof} = proofOf();
    expect(proof.provesNewest(12)).toBe(false);
    await clock.runFor(FIRST_WORD_MS);
    expect(proof.provesNewest(12)).toBe(true);
  });

  // Such a store cannot be known to come back from a copy.
  test('is each answer at the start where the store tells no era', () => {
    expect(proofOf(false).proof.provesNewest(12)).toBe(true);
  });

  test('is none while a newer configuration is fetched from another entry', async () => {
    const {clock, proof} = await runningProofOf();
    proof.peerHasVersion(13);
    expect(proof.provesNewest(12)).toBe(false);
    await clock.runFor(LATER_MS);
    expect(proof.provesNewest(12)).toBe(true);
  });

  // Version 13 takes a key away and is acknowledged; the store comes back
  // without it. Answers that show 12 must not keep that key in use.
  test('is none right after a return, until something is written', async () => {
    const {clock, proof} = await runningProofOf();
    proof.storeRestored();
    proof.versionListed(12);
    await clock.runFor(SOON_MS);
    expect(proof.provesNewest(12)).toBe(false);
    proof.versionWritten(13);
    expect(proof.provesNewest(13)).toBe(true);
  });

  test('is an answer again when nothing was written for long', async () => {
    const {clock, proof} = await runningProofOf();
    proof.storeRestored();
    proof.versionListed(12);
    await clock.runFor(LATER_MS);
    expect(proof.provesNewest(12)).toBe(true);
  });

  test('is never an older configuration', async () => {
    const {clock, proof, eventsOf} = await runningProofOf();
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
  test('rises, and never falls back', () => {
    const {runtime, eventsOf} = createRecordingRuntime();
    let risen = 0;
    const {log, metrics} = runtime;
    const eras = createStoreEraTracker({
      log,
      metrics,
      onRestored: () => risen++,
    });
    for (const era of [3, 3, 4, 3, 3, 4]) eras.observe(era);
    expect(eras.current()).toBe(4);
    expect(risen).toBe(1);
    expect(eventsOf(DIRECT_EVENTS.eraOlder)).toHaveLength(1);
  });

  test('is missed once where it is not told', () => {
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

describe('the word of an entry in another era', () => {
  async function hear(era: number, configVersion = 3): Promise<string[]> {
    const clock = createVirtualClock();
    const seen: string[] = [];
    const cover = createPeerConfirmation({
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
      onChange: isCovered => seen.push(isCovered ? 'covered' : 'uncovered'),
    });
    await clock.runFor(1_100);
    cover.stop();
    return [...new Set(seen)];
  }

  // The other one has not heard of the return: its evidence, its digest of the
  // replicas and its cover speak of what is gone.
  test('proves nothing when the era is older', async () => {
    expect(await hear(1)).toEqual([]);
  });

  test('still brings a newer configuration', async () => {
    expect(await hear(1, 4)).toEqual(['config']);
  });

  test('tells of the return when the era is newer', async () => {
    expect(await hear(3)).toContain('newer era');
  });
});

describe('an entry whose store comes back from a copy', () => {
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
  const known = () =>
    fleet.runtime.metrics.value('onyxloft_direct_replicas', {});
  const ownRecord = () => fleet.store.get('onyxloft-entries', 'entry-1');

  // A replica left after the copy was made, and the store gave the revisions
  // since out again. Callers' requests must not be sent to it any more.
  test('sends nothing to a replica that had left', async () => {
    const [gone, ...others] = fleet.pool;
    const copy = fleet.store.copy();
    fleet.store.remove('servers', gone.id);
    await until(() => known() === others.length + fleet.desk.length);
    fleet.store.restore(copy);
    for (const it of others) announce(fleet.store, it, 'pool');
    await until(isRestored);
    for (let count = 0; count < 20; count++) await stream();
    expect(gone.arrivals).toEqual([]);
  });

  // The record by which other entries find this one is younger than the copy.
  test('writes its own record again', async () => {
    const {revision, kinds} = fleet.store.copy();
    const without = new Map(kinds);
    without.delete('onyxloft-entries');
    fleet.store.restore({revision, kinds: without});
    expect(ownRecord()).toBeUndefined();
    await until(() => ownRecord() !== undefined);
  });

  // A newer configuration was in force; the copy has the one before. It stays
  // in force here, and the operators write it again.
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

/** The bound on a key that was taken away, in the settings of these tests. */
const REVOKED_MS = 5_100;

describe('an entry that starts just after the store came back from a copy', () => {
  // The configuration that took the key away is gone with the copy, and only
  // another entry knows it until operators write again.
  test('serves no key that another entry knows was taken away', async () => {
    const stands = await startDirectFleet({node: 'entry-2'});
    stands.store.put('config', 'main', configOf(2, ['key-2']));
    const {eventsOf} = stands.runtime;
    await until(() => eventsOf(DIRECT_EVENTS.configAdopted).length === 2);
    const other = {node: 'entry-2', peers: stands.peers};
    const starts = await startDirectFleet({node: 'entry-1', other});
    const answer = await callEntry(starts, '/again/');
    await starts.close();
    await stands.close();
    expect(answer.status).not.toBe(200);
  }, 30_000);

  // All entries were killed as well, so that nobody knows what is lost.
  test('serves no key that was taken away where no other entry is left', async () => {
    const fleet = await startDirectFleet();
    const copy = fleet.store.copy();
    fleet.store.put('config', 'main', configOf(2, ['key-2']));
    await sleep(REVOKED_MS);
    await fleet.entry.kernel.stop();
    fleet.store.restore(copy);
    const starts = await startDirectFleet({node: 'entry-2', beside: fleet});
    const answer = await callEntry(starts, '/again/');
    await starts.close();
    await fleet.close();
    expect(answer.status).not.toBe(200);
  }, 30_000);
});
