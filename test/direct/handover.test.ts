/** What entries know of the store, handed from one to another. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createCatchUp} from '../../src/direct/catch_up.js';
import {
  decodeHandoverConfig,
  decodeReplicas,
  encodeConfig,
  encodeReplicas,
} from '../../src/direct/handover_codec.js';
import type {
  DirectConfig,
  DirectReplica,
  PeerAnswer,
} from '../../src/direct/types.js';
import {DIRECT_EVENTS} from '../../src/utils/events.js';
import {configOf} from '../../standins/users_platform/deployment.js';
import {decodeConfig} from '../../platform/config_document.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

describe('an entry that the store turns away', () => {
  let served: DirectFleet;
  let away: DirectFleet;

  // Two entries, each with a store of its own that hold the same at first; the
  // second finds the first in its store.
  beforeEach(async () => {
    served = await startDirectFleet({node: 'entry-1'});
    const other = {node: 'entry-1', peers: served.peers};
    away = await startDirectFleet({node: 'entry-2', other});
    const {eventsOf} = away.runtime;
    await until(() => eventsOf(DIRECT_EVENTS.coverBegan).length > 0);
  }, 30_000);
  afterEach(async () => {
    await away.close();
    await served.close();
  });

  // The store turns one entry away and serves the other and the operator, who
  // adds a key. The entry that is turned away stayed on the old version: the new
  // key got 401 there, and once its evidence was old all keys got 503.
  test('takes a newer configuration from one that it serves', async () => {
    away.store.setMode('busy');
    served.store.put('config', 'main', configOf(2, ['key-1', 'key-2']));
    const headers = {Authorization: 'Token key-2'};
    await until(
      async () => (await callEntry(away, '/again/', {headers})).status === 200,
    );
    const [taken] = away.runtime.eventsOf(DIRECT_EVENTS.knowledgeTaken);
    const {fields} = taken;
    expect(fields).toMatchObject({what: 'configuration', entry: 'entry-1'});
  }, 30_000);

  // Keys are taken away while the store turns this entry away: the old key must
  // not be served for longer than the bound, and here not past the handover.
  test('serves no key that the newer one has taken away', async () => {
    away.store.setMode('busy');
    served.store.put('config', 'main', configOf(2, ['key-2']));
    await until(async () => (await callEntry(away, '/again/')).status === 401);
    const headers = {Authorization: 'Token key-2'};
    expect((await callEntry(away, '/again/', {headers})).status).toBe(200);
  }, 30_000);

  // Replicas are replaced while the store turns this entry away. It would go on
  // asking those that are gone.
  test('takes the replicas as well', async () => {
    away.store.setMode('busy');
    for (const {close} of away.desk) await close();
    const reaches = async () =>
      (await callEntry(away, '/again/')).status === 200;
    await until(reaches, 10_000);
    expect(served.desk.flatMap(({arrivals}) => arrivals)).not.toEqual([]);
  }, 30_000);
});

describe('what an entry knows', () => {
  // It holds the callers' keys. On this network's other hosts anyone may dial.
  test('is handed to no one who is not an entry', async () => {
    const fleet = await startDirectFleet();
    const answer = await fetch(`http://${fleet.peers}/config`);
    expect([answer.status, await answer.text()]).toEqual([404, '']);
    await fleet.close();
  });
});

describe('what another entry knows', () => {
  const answer: PeerAnswer = {
    node: 'entry-1',
    ip: '127.0.0.1',
    port: 1,
    askedAt: 0,
    era: 1,
    evidenceAgeMs: 0,
    configVersion: 4,
    replicasDigest: 'b',
  };
  function catchUpOf(lost: boolean) {
    const taken: string[] = [];
    let fetched = 0;
    const catchUp = createCatchUp({
      ownVersion: () => 3,
      isStoreLost: () => lost,
      fetchConfig: async () => {
        fetched++;
        return {version: 4} as DirectConfig;
      },
      fetchReplicas: async () => new Map(),
      onConfig: ({version}) => taken.push(`config ${version}`),
      onReplicas: () => taken.push('replicas'),
      onFetchFailed: () => taken.push('failed'),
    });
    return {catchUp, taken, fetched: () => fetched};
  }
  const settled = () => new Promise(resolve => setImmediate(resolve));

  // A change is on its way to all entries; the own watch brings it as well.
  test('is fetched when a newer version is told twice in a row', async () => {
    const {catchUp, taken, fetched} = catchUpOf(false);
    expect(catchUp.handleDifferentConfig(answer)).toBe(false);
    catchUp.handleSameConfig();
    expect(catchUp.handleDifferentConfig(answer)).toBe(false);
    await settled();
    expect(fetched()).toBe(0);
    expect(catchUp.handleDifferentConfig(answer)).toBe(true);
    await settled();
    expect(taken).toEqual(['config 4']);
  });

  test('is not fetched when it is older', async () => {
    const {catchUp, fetched} = catchUpOf(true);
    const older = {...answer, configVersion: 2};
    for (let at = 0; at < 4; at++) catchUp.handleDifferentConfig(older);
    await settled();
    expect(fetched()).toBe(0);
  });

  // The service that fetches is starting anew. A fetch that failed must not keep
  // the next one from being made, nor end the process.
  test('is fetched again after a fetch that failed', async () => {
    const taken: string[] = [];
    let tries = 0;
    const catchUp = createCatchUp({
      ownVersion: () => 3,
      isStoreLost: () => true,
      fetchConfig: async () => {
        if (++tries === 1) throw new Error('not running');
        return {version: 4} as DirectConfig;
      },
      fetchReplicas: async () => undefined,
      onConfig: ({version}) => taken.push(`config ${version}`),
      onReplicas: () => undefined,
      onFetchFailed: cause => taken.push(String(cause)),
    });
    for (let at = 0; at < 4; at++) {
      catchUp.handleDifferentConfig(answer);
      await settled();
    }
    expect(taken.slice(0, 2)).toEqual(['Error: not running', 'config 4']);
  });

  // The other entry may lag: while the store answers here, its word is newer.
  test('of replicas counts only while the store is lost', async () => {
    const well = catchUpOf(false);
    well.catchUp.handleDifferentReplicas(answer);
    const lost = catchUpOf(true);
    lost.catchUp.handleDifferentReplicas(answer);
    await settled();
    expect([well.taken, lost.taken]).toEqual([[], ['replicas']]);
  });
});

describe('a handed-over text', () => {
  const config = decodeConfig(configOf(5)).unsafeCoerce();
  const replica: DirectReplica = {
    id: 'a@1',
    name: 'a',
    startedAt: undefined,
    service: 's',
    address: '10.0.0.1:80',
    failureDomain: 'd',
    places: 4,
    leaving: false,
  };

  test('reads as what was handed over', () => {
    expect(decodeHandoverConfig(encodeConfig(config)).extract()).toEqual(
      config,
    );
    const replicas = new Map([['a', replica]]);
    const read = decodeReplicas(encodeReplicas(replicas)).extract();
    expect(read).toEqual(replicas);
  });

  test.each(['', '{}', '[{}]', '{"version":"5"}', 'null'])(
    'is not taken when it is %j',
    text => {
      expect(decodeHandoverConfig(text).isLeft()).toBe(true);
      expect(decodeReplicas(text).isLeft()).toBe(true);
    },
  );
});
