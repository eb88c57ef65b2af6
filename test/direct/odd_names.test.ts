/** Records of replicas whose names can't be told to a replica. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {announce, configOf} from '../../standins/users_platform/deployment.js';
import {
  answerWell,
  startReplica,
  streamTo,
} from '../../standins/users_platform/replica.js';
import type {ReplicaStandIn} from '../../standins/users_platform/replica.js';
import {callEntry, startDirectFleet, until} from '../support/direct_fleet.js';
import type {DirectFleet} from '../support/direct_fleet.js';

const HEADERS = {'X-Token-Usage': '10,10'};
/** As often as it takes until the replica of the odd record was chosen. */
const REQUESTS = 12;

let fleet: DirectFleet;
let later: ReplicaStandIn;
beforeEach(async () => {
  fleet = await startDirectFleet();
  later = await startReplica('later');
  [...fleet.desk, later].forEach(it => it.behave(answerWell));
  fleet.pool.forEach(it => it.behave(streamTo(3)));
});
afterEach(async () => {
  await fleet.close();
  await later.close();
});

describe.each(['東京', 'a\nb', 'a\u0000b'])('a replica named %j', name => {
  // Guards against a record that takes a share of its service's requests and
  // ends each of them unsent, beside sound replicas.
  test.each([
    ['desk', '/again/a'],
    ['desk', '/once/a'],
    ['pool', '/stream/a'],
  ] as const)('costs no request to %s at %s', async (service, path) => {
    announce(fleet.store, {id: name, address: later.address}, service);
    announce(fleet.store, later, 'another');
    // The four of the fleet and the sound record that came after the odd one.
    const {metrics} = fleet.runtime;
    const known = () => metrics.value('onyxloft_direct_replicas', {}) ?? 0;
    await until(() => known() >= 5);
    for (let at = 0; at < REQUESTS; at++) {
      const answer = await callEntry(fleet, path, {headers: HEADERS});
      expect(answer).toMatchObject({status: 200, whole: true});
    }
  });
});

/** Puts a configuration in force in which the only organisation has the name. */
async function nameOrganisation(name: string, version: number): Promise<void> {
  const {metrics} = fleet.runtime;
  const config = configOf(version);
  const tenants = config.tenants.map(it => ({...it, name}));
  fleet.store.put('config', 'main', {...config, tenants});
  const known = () => metrics.value('onyxloft_direct_config_version', {});
  await until(() => known() === version);
}

// Guards against an organisation that is never served, and against a name that
// its replicas read as another one.
test.each(['東京', 'Zoë', '😀', 'a\tb'])(
  'requests of an organisation named %j reach replicas with its UTF-8 bytes',
  async name => {
    await nameOrganisation(name, 2);
    for (const path of ['/again/a', '/once/a', '/stream/a']) {
      const answer = await callEntry(fleet, path, {headers: HEADERS});
      expect(answer).toMatchObject({status: 200, whole: true});
    }
    const arrivals = [...fleet.desk, ...fleet.pool].flatMap(it => it.arrivals);
    expect(arrivals).toHaveLength(3);
    for (const {headers} of arrivals) {
      const bytes = Buffer.from(String(headers['x-tenant']), 'latin1');
      expect(bytes.toString('utf8')).toBe(name);
    }
  },
);

// Guards against a request that runs in the name of another organisation, or of
// none, and against an error of the entry in place of a clear refusal.
test.each(['a\nb', 'a\u0000b', ' a', 'a ', 'a\u007f', '\ud800'])(
  'requests of an organisation named %j are refused, and reach no replica',
  async name => {
    await nameOrganisation(name, 2);
    for (const path of ['/again/a', '/once/a', '/stream/a']) {
      const answer = await callEntry(fleet, path, {headers: HEADERS});
      expect(answer).toMatchObject({status: 503, whole: true});
      expect(answer.body).toContain('name fits no header');
    }
    const arrivals = [...fleet.desk, ...fleet.pool].flatMap(it => it.arrivals);
    expect(arrivals).toEqual([]);
  },
);

// Guards against an organisation whose requests are never served, since each one
// ends as an error of the entry that promises a later success.
test('requests of an organisation whose name fits no header meet no error of the entry', async () => {
  const {metrics} = fleet.runtime;
  const config = configOf(2);
  for (const [at, name] of ['東京', 'a\nb'].entries()) {
    const tenants = config.tenants.map(it => ({...it, name}));
    const next = {...config, version: config.version + at, tenants};
    fleet.store.put('config', 'main', next);
    const version = () => metrics.value('onyxloft_direct_config_version', {});
    await until(() => version() === next.version);
    for (const path of ['/again/a', '/stream/a']) {
      const answer = await callEntry(fleet, path, {headers: HEADERS});
      expect(answer.body).not.toContain('internal error');
    }
  }
});
