/** Handing knowledge of the store from one entry to another. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createCatchUp} from '../../src/direct/catch_up.js';
import {
  decodeEvacuations,
  decodeHandoverConfig,
  decodeReplicas,
  encodeConfig,
  encodeEvacuations,
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

describe('an entry that the store refuses', () => {
  let served: DirectFleet;
  let refused: DirectFleet;

  // Two entries with a store each; both stores have the same content at first.
  // The second entry finds the first one in its store.
  beforeEach(async () => {
    served = await startDirectFleet({node: 'entry-1'});
    const other = {node: 'entry-1', peers: served.peers};
    refused = await startDirectFleet({node: 'entry-2', other});
    const {eventsOf} = refused.runtime;
    await until(() => eventsOf(DIRECT_EVENTS.coverBegan).length > 0);
  }, 30_000);
  afterEach(async () => {
    await refused.close();
    await served.close();
  });

  // The store refuses one entry. It stayed on the old version, refused the new
  // key with 401, and later refused all keys with 503.
  test('takes a newer configuration from an entry that the store serves', async () => {
    refused.store.setMode('busy');
    served.store.put('config', 'main', configOf(2, ['key-1', 'key-2']));
    const headers = {Authorization: 'Token key-2'};
    await until(
      async () =>
        (await callEntry(refused, '/again/', {headers})).status === 200,
    );
    const [taken] = refused.runtime.eventsOf(DIRECT_EVENTS.knowledgeTaken);
    const {fields} = taken;
    expect(fields).toMatchObject({what: 'configuration', entry: 'entry-1'});
  }, 30_000);

  // Keys are removed while the store refuses this entry. The old key must not
  // be accepted any more after the handover.
  test('accepts no key that the newer configuration has removed', async () => {
    refused.store.setMode('busy');
    served.store.put('config', 'main', configOf(2, ['key-2']));
    await until(
      async () => (await callEntry(refused, '/again/')).status === 401,
    );
    const headers = {Authorization: 'Token key-2'};
    expect((await callEntry(refused, '/again/', {headers})).status).toBe(200);
  }, 30_000);

  // Replicas are replaced while the store refuses this entry, which would
  // otherwise keep calling the old ones.
  test('takes the replicas as well', async () => {
    refused.store.setMode('busy');
    for (const {close} of refused.desk) await close();
    const isServed = async () =>
      (await callEntry(refused, '/again/')).status === 200;
    await until(isServed, 10_000);
    expect(served.desk.flatMap(({arrivals}) => arrivals)).not.toEqual([]);
  }, 30_000);
});

describe('an entry that loses the store', () => {
  // Guards against requests of an entry that the store refuses to a domain
  // whose evacuation its peer knows.
  test('takes evacuations from an entry that the store serves', async () => {
    const timing = {evacuateMs: 5_000};
    const served = await startDirectFleet({node: 'entry-1', timing});
    const other = {node: 'entry-1', peers: served.peers};
    const refused = await startDirectFleet({node: 'entry-2', other, timing});
    const {eventsOf} = refused.runtime;
    await until(() => eventsOf(DIRECT_EVENTS.coverBegan).length > 0);
    refused.store.setMode('busy');
    served.store.put('evacuations', 'domain-1', {});
    await until(() => eventsOf(DIRECT_EVENTS.evacuationBegan).length > 0);
    expect((await callEntry(refused, '/again/')).status).toBe(503);
    const [taken] = eventsOf(DIRECT_EVENTS.evacuationsTaken);
    expect(taken.fields).toEqual({
      entry: 'entry-1',
      failureDomains: ['domain-1'],
    });
    await refused.close();
    await served.close();
  }, 30_000);
});

describe('knowledge that an entry serves', () => {
  // The configuration contains callers' keys, and any host on the network may
  // connect.
  test('is served to entries only', async () => {
    const fleet = await startDirectFleet();
    const answer = await fetch(`http://${fleet.peers}/config`);
    expect([answer.status, await answer.text()]).toEqual([404, '']);
    await fleet.close();
  });
});

describe('knowledge of another entry', () => {
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
  function createFixture(
    mayTakeReplicas: boolean,
    ownVersion: number | null = 3,
  ) {
    const taken: string[] = [];
    let fetched = 0;
    const catchUp = createCatchUp({
      ownVersion: () => ownVersion ?? undefined,
      mayTakeReplicas: () => mayTakeReplicas,
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
  const flush = () => new Promise(resolve => setImmediate(resolve));

  // A change reaches all entries at about the same time, and the own watch
  // delivers it as well.
  test('is fetched when a newer version is reported twice in a row', async () => {
    const {catchUp, taken, fetched} = createFixture(false);
    expect(catchUp.handleDifferentConfig(answer)).toBe(false);
    catchUp.handleSameConfig();
    expect(catchUp.handleDifferentConfig(answer)).toBe(false);
    await flush();
    expect(fetched()).toBe(0);
    expect(catchUp.handleDifferentConfig(answer)).toBe(true);
    await flush();
    expect(taken).toEqual(['config 4']);
  });

  // Guards against 503 for another interval from an entry that starts.
  test('is fetched at the first report where there is no configuration', async () => {
    const {catchUp, taken} = createFixture(true, null);
    expect(catchUp.handleDifferentConfig(answer)).toBe(true);
    await flush();
    expect(taken).toEqual(['config 4']);
  });

  test('is not fetched when it is older', async () => {
    const {catchUp, fetched} = createFixture(true);
    const older = {...answer, configVersion: 2};
    for (let at = 0; at < 4; at++) catchUp.handleDifferentConfig(older);
    await flush();
    expect(fetched()).toBe(0);
  });

  // The service that fetches restarts. A failed fetch must neither block the
  // next one nor end the process.
  test('is fetched again after a fetch that failed', async () => {
    const taken: string[] = [];
    let tries = 0;
    const catchUp = createCatchUp({
      ownVersion: () => 3,
      mayTakeReplicas: () => true,
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
      await flush();
    }
    expect(taken.slice(0, 2)).toEqual(['Error: not running', 'config 4']);
  });

  // Guards against a new version that comes late because a peer fell silent.
  test('is fetched while another peer leaves a fetch unanswered', async () => {
    const taken: string[] = [];
    const asked: string[] = [];
    const never = new Promise<undefined>(() => undefined);
    const catchUp = createCatchUp({
      ownVersion: () => 3,
      mayTakeReplicas: () => true,
      fetchConfig: ({node}) => {
        asked.push(node);
        return node === 'silent'
          ? never
          : Promise.resolve({version: 4} as DirectConfig);
      },
      fetchReplicas: () => never,
      onConfig: ({version}) => taken.push(`config ${version}`),
      onReplicas: () => undefined,
      onFetchFailed: cause => taken.push(String(cause)),
    });
    catchUp.handleDifferentReplicas(answer);
    const silent = {...answer, node: 'silent'};
    for (let at = 0; at < 3; at++) catchUp.handleDifferentConfig(silent);
    expect(asked).toEqual(['silent']);
    catchUp.handleDifferentConfig(answer);
    await flush();
    expect(taken).toEqual(['config 4']);
  });

  // The peer may be behind. While the store answers here, its answers are more
  // current.
  test('about replicas counts only while the store is lost', async () => {
    const connected = createFixture(false);
    connected.catchUp.handleDifferentReplicas(answer);
    const lost = createFixture(true);
    lost.catchUp.handleDifferentReplicas(answer);
    await flush();
    expect([connected.taken, lost.taken]).toEqual([[], ['replicas']]);
  });
});

describe('an encoded handover', () => {
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

  test('decodes to what was encoded', () => {
    expect(decodeHandoverConfig(encodeConfig(config)).extract()).toEqual(
      config,
    );
    const replicas = new Map([['a', replica]]);
    const read = decodeReplicas(encodeReplicas(replicas)).extract();
    expect(read).toEqual(replicas);
    const domains = new Set(['a', 'b']);
    expect(decodeEvacuations(encodeEvacuations(domains)).extract()).toEqual(
      domains,
    );
  });

  // Guards against a peer whose records no request could be sent by.
  test.each([
    {address: 'a b\n:80'},
    {address: '10.0.0.1:0'},
    {address: 'host:80'},
    {name: 'a\r\nb'},
    {name: '\u4e2d'},
  ])('of replicas is rejected when one has %j', odd => {
    const replicas = new Map([
      ['a', replica],
      ['b', {...replica, ...odd}],
    ]);
    expect(decodeReplicas(encodeReplicas(replicas)).isLeft()).toBe(true);
  });

  test.each(['', '{}', '[{}]', '{"version":"5"}', 'null'])(
    'is rejected when it is %j',
    text => {
      expect(decodeHandoverConfig(text).isLeft()).toBe(true);
      expect(decodeReplicas(text).isLeft()).toBe(true);
      expect(decodeEvacuations(text).isLeft()).toBe(true);
    },
  );
});
