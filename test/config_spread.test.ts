import {afterEach, describe, expect, it} from 'vitest';
import {CONFIG_EVENTS} from '../src/utils/events.js';
import {fetchAsPeer, createConfigCluster} from './support/config_cluster.js';
import type {ConfigCluster, ConfigNode} from './support/config_cluster.js';

let cluster: ConfigCluster;

afterEach(() => cluster.stop());

async function start(nodes: number) {
  cluster = createConfigCluster();
  for (let n = 0; n < nodes; n++) await cluster.addNode();
  await cluster.clock.runFor(3_000);
  return cluster.nodes;
}

async function applyNext(node: ConfigNode, base: number) {
  const outcome = await cluster.apply(node, {
    base,
    patchId: `patch-${base + 1}`,
    patch: `{"organisations":{"prairie-sky":{"weight":${base + 1}}}}`,
  });
  expect(outcome.isRight()).toBe(true);
}

function numbers(): readonly number[] {
  return cluster.nodes.map(node => node.inForce()?.number ?? -1);
}

function onlyGrows(values: readonly number[]): boolean {
  return values.every((value, at) => at === 0 || value > values[at - 1]);
}

describe('a number in force', () => {
  // The other processes learn the number from heartbeats and fetch the
  // documents from a peer, since the store is unavailable.
  it('reaches all processes when the store fails right after acceptance', async () => {
    const nodes = await start(12);
    await applyNext(nodes[0], 0);
    cluster.core.setFaults({outage: true});
    await cluster.clock.runFor(5_000);
    expect(new Set(numbers())).toEqual(new Set([1]));
  });

  // A process that starts during an outage cannot admit requests until a peer
  // sends it the configuration in force.
  it('reaches a process that starts during a store outage', async () => {
    const nodes = await start(3);
    await applyNext(nodes[0], 0);
    cluster.core.setFaults({outage: true});
    const late = await cluster.addNode();
    expect(late.inForce()).toBeUndefined();
    await cluster.clock.runFor(5_000);
    expect(late.inForce()).toEqual(nodes[0].inForce());
  });

  // Watches and reads return an outdated head. Adopting it would make a revoked
  // key valid again.
  it('never decreases after stale reads', async () => {
    const nodes = await start(6);
    for (let base = 0; base < 5; base++) {
      await applyNext(nodes[base], base);
      await cluster.clock.runFor(4_000);
    }
    cluster.core.setFaults({staleMs: 15_000});
    await cluster.clock.runFor(120_000);
    expect(new Set(numbers())).toEqual(new Set([5]));
    for (const node of nodes) expect(onlyGrows(node.numbersInForce)).toBe(true);
    const noted = nodes.flatMap(node =>
      node.recording.eventsOf(CONFIG_EVENTS.olderOffered),
    );
    expect(noted.length).toBeGreaterThan(0);
  });

  it('is not adopted from documents that do not match their hash', async () => {
    const nodes = await start(1);
    await applyNext(nodes[0], 0);
    cluster.core.setFaults({outage: true});
    const late = await cluster.addNode();
    let spoilt = true;
    nodes[0].setHandlers({
      entryHeartbeat: req => {
        late.kernel.send('config', {
          kind: 'peer-number',
          peer: nodes[0].address,
          number: 1,
        });
        return Promise.resolve({...req, configNumber: 1});
      },
      fetchConfig: async req => {
        const res = await fetchAsPeer(nodes[0].kernel, req);
        if (!spoilt) return res;
        const documents = res.documents.map(({hash, json}) => ({
          hash,
          json: `${json} `,
        }));
        return {...res, documents};
      },
    });
    await cluster.clock.runFor(5_000);
    expect(late.inForce()).toBeUndefined();
    expect(
      late.recording.eventsOf(CONFIG_EVENTS.documentCorrupt).length,
    ).toBeGreaterThan(0);
    spoilt = false;
    await cluster.clock.runFor(5_000);
    expect(late.inForce()?.number).toBe(1);
  });

  it('is fetched from a peer without the unchanged documents', async () => {
    const nodes = await start(2);
    await applyNext(nodes[0], 0);
    await cluster.clock.runFor(3_000);
    const wanted: number[] = [];
    nodes[0].setHandlers({
      entryHeartbeat: req => Promise.resolve({...req, configNumber: 2}),
      fetchConfig: req => {
        wanted.push(req.wantHashes.length);
        return fetchAsPeer(nodes[0].kernel, req);
      },
    });
    await applyNext(nodes[0], 1);
    await cluster.clock.runFor(3_000);
    expect(numbers()).toEqual([2, 2]);
    expect(wanted).toEqual([0, 1]);
  });

  it('needs few store calls in a large fleet, with one watch', async () => {
    const nodes = await start(40);
    await applyNext(nodes[0], 0);
    await cluster.clock.runFor(60_000);
    const before = callsOf('watch') + callsOf('get');
    const watchesBefore = callsOf('watch');
    await cluster.clock.runFor(600_000);
    const perSec = (callsOf('watch') + callsOf('get') - before) / 600;
    // 39 reads per 30 s and one watch per 25 s.
    expect(perSec).toBeLessThan(1.6);
    expect(callsOf('watch') - watchesBefore).toBeLessThanOrEqual(24);
  });
});

describe('after an outage', () => {
  // With equal pauses, all processes would call at the same moment when the
  // store is back, and could overload it again.
  it('calls to the store are spread over time', async () => {
    cluster = createConfigCluster();
    cluster.core.setFaults({outage: true});
    for (let n = 0; n < 40; n++) await cluster.addNode();
    await cluster.clock.runFor(300_000);
    cluster.core.setFaults({outage: false});
    let most = 0;
    for (let tenth = 0; tenth < 300; tenth++) {
      const before = callsOf('get');
      await cluster.clock.runFor(100);
      most = Math.max(most, callsOf('get') - before);
    }
    expect(most).toBeLessThanOrEqual(4);
  });
});

function callsOf(kind: string): number {
  return cluster.core
    .counts()
    .filter(count => count.kind === kind)
    .reduce((sum, {calls}) => sum + calls, 0);
}
