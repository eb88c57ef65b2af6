/** Whom an entry follows, and what it takes for a sign of life. */
import {Left, Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createKernel} from '../src/kernel/kernel.js';
import {createMembershipService} from '../src/membership/membership.js';
import {chooseSubset} from '../src/membership/subset.js';
import {OnyxError} from '../src/types/errors.js';
import type {SideHeartbeatReq} from '../src/types/peer_messages.js';
import type {HostInfo} from '../src/types/platform.js';
import type {MembershipView, Replica} from '../src/types/services.js';
import {MEMBERSHIP_EVENTS} from '../src/utils/events.js';
import {createMemoryNetwork} from '../standins/memory_network.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';

const ENTRY = 'entry-1:7300';
const DOMAINS = ['hall-north', 'hall-south', 'hall-east'];

function hostsOf(count: number, pool = 'onyx-pool'): HostInfo[] {
  return Array.from({length: count}, (_, at) => ({
    host: `${pool}-${at}`,
    address: `${pool}-${at}:7301`,
    failureDomain: DOMAINS[at % DOMAINS.length],
    pool,
    state: 'live',
  }));
}

async function startMembership(count: number) {
  const recording = createRecordingRuntime();
  const {clock, runtime} = recording;
  const network = createMemoryNetwork(clock, recording.random);
  const kernel = createKernel(runtime);
  const told: unknown[] = [];
  const beats: SideHeartbeatReq[] = [];
  const sides = hostsOf(count).map(host => ({
    host,
    incarnation: `a-${host.address}`,
    leaving: false,
    configNumber: 1,
    fence: 1,
  }));
  let list: readonly HostInfo[] | undefined = sides.map(({host}) => host);
  const listen = (side: (typeof sides)[number]) =>
    network.transport(side.host.address).listen(side.host.address, {
      sideHeartbeat: async req => {
        beats.push(req);
        return answerOf(side);
      },
    });
  for (const side of sides) await listen(side);
  await kernel.start({
    name: 'config',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'peer-number') told.push(message);
      });
    },
  });
  await kernel.start({
    name: 'placement',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'fence-seen') told.push(message);
      });
    },
  });
  await kernel.start(
    createMembershipService({
      transport: network.transport(ENTRY),
      hostList: async () =>
        list === undefined ? Left(listIsOut()) : Right(list),
      node: 'entry-1',
      host: 'entry-host-1',
      address: ENTRY,
      failureDomain: 'hall-north',
      incarnation: 'e-1',
    }),
  );
  let view: MembershipView = {replicas: [], allSides: [], entries: []};
  kernel.send('membership', {
    kind: 'subscribe',
    listener: next => {
      view = next;
    },
  });
  await clock.runFor(500);
  return {
    ...recording,
    faults: network.faults,
    /** Starts a side's process again after `faults.down`. */
    restart: (at: number) => listen(sides[at]),
    kernel,
    sides,
    beats,
    told,
    setList: (next: readonly HostInfo[] | undefined) => {
      list = next;
    },
    states: () => view.replicas.map(replica => replica.state),
    replica: (at: number) => replicaAt(view, sides[at].host.address),
    evidence: (at: number, what: 'unreachable' | 'leaving' | 'incarnation') =>
      kernel.send('membership', {
        kind: 'evidence',
        address: sides[at].host.address,
        what,
        incarnation: sides[at].incarnation,
      }),
  };
}

function replicaAt(view: MembershipView, address: string): Replica | undefined {
  return view.replicas.find(replica => replica.address === address);
}

function listIsOut(): OnyxError {
  return new OnyxError({
    code: 'store-unavailable',
    step: 'host-list',
    message: 'out',
  });
}

function answerOf(side: {
  readonly host: HostInfo;
  readonly incarnation: string;
  readonly leaving: boolean;
  readonly configNumber: number;
  readonly fence: number;
}) {
  const {pool, failureDomain, address} = side.host;
  const {incarnation, leaving, configNumber, fence} = side;
  return {
    node: address,
    incarnation,
    pool,
    failureDomain,
    leaving,
    configNumber,
    fence,
    load: {
      capacityTokens: 1,
      freeTokens: 1,
      running: 0,
      queued: 0,
      prefillBacklogTokens: 0,
      shortBacklogTokens: 0,
      prefillTokensPerSec: 1,
      stepMs: 1,
      reportAgeMs: 0,
    },
    models: [],
  };
}

describe('a leaving host', () => {
  // The host list lags by half a minute. The side says itself that it leaves;
  // the list still shows it live, and must not bring it back.
  it('is leaving by its own word while the list shows it live', async () => {
    const fleet = await startMembership(3);
    fleet.sides[0].leaving = true;
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)?.state).toBe('leaving');
    fleet.sides[0].leaving = false;
    await fleet.clock.runFor(5_000);
    expect(fleet.replica(0)?.state).toBe('leaving');
  });

  it('is leaving by the list while it does not know itself', async () => {
    const fleet = await startMembership(3);
    const [first, ...others] = fleet.sides.map(({host}) => host);
    fleet.setList([{...first, state: 'leaving'}, ...others]);
    await fleet.clock.runFor(3_000);
    expect(fleet.replica(0)?.state).toBe('leaving');
  });

  it('is live again as another incarnation', async () => {
    const fleet = await startMembership(3);
    fleet.evidence(0, 'leaving');
    await fleet.clock.runFor(100);
    expect(fleet.replica(0)?.state).toBe('leaving');
    fleet.sides[0].incarnation = 'b';
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)).toMatchObject({state: 'live', incarnation: 'b'});
  });

  it('that the list lost stays until its heartbeats fail', async () => {
    const fleet = await startMembership(3);
    const [first, ...others] = fleet.sides.map(({host}) => host);
    fleet.setList(others);
    await fleet.clock.runFor(10_000);
    expect(fleet.replica(0)?.state).toBe('live');
    fleet.faults.freeze(first.address);
    await fleet.clock.runFor(6_000);
    expect(fleet.replica(0)).toBeUndefined();
  });
});

describe('suspicion', () => {
  it('comes with a refused connection and goes with an answer', async () => {
    const fleet = await startMembership(3);
    const {address} = fleet.sides[0].host;
    fleet.faults.down(address);
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)?.state).toBe('suspect');
    await fleet.restart(0);
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)?.state).toBe('live');
  });

  it('comes with three seconds of silence', async () => {
    const fleet = await startMembership(3);
    fleet.faults.freeze(fleet.sides[0].host.address);
    await fleet.clock.runFor(2_000);
    expect(fleet.replica(0)?.state).toBe('live');
    await fleet.clock.runFor(2_500);
    expect(fleet.replica(0)?.state).toBe('suspect');
  });

  // This process is stopped for a minute and continued. Every peer was silent
  // to it for that minute, since it read nothing; were that counted, the whole
  // pool would be suspect at once.
  it('does not come from a pause of the observer itself', async () => {
    const fleet = await startMembership(6);
    fleet.clock.advance(60_000);
    await fleet.clock.runFor(1);
    expect(new Set(fleet.states())).toEqual(new Set(['live']));
    expect(fleet.eventsOf(MEMBERSHIP_EVENTS.observerPaused)).toHaveLength(1);
    await fleet.clock.runFor(5_000);
    expect(new Set(fleet.states())).toEqual(new Set(['live']));
  });

  // The entry is cut off from all sides for a minute while the host list shows
  // them live. All become suspect, none leaves the view: there is never an
  // empty pool to route to, and all come back with the network.
  it('of all at once leaves them all in the view', async () => {
    const fleet = await startMembership(6);
    for (const {host} of fleet.sides) fleet.faults.cut(ENTRY, host.address);
    await fleet.clock.runFor(60_000);
    expect(fleet.states()).toEqual(Array(6).fill('suspect'));
    expect(fleet.eventsOf(MEMBERSHIP_EVENTS.manySuspect)).toHaveLength(1);
    fleet.faults.healAll();
    await fleet.clock.runFor(3_000);
    expect(fleet.states()).toEqual(Array(6).fill('live'));
  });

  it('does not come from a host list that is out', async () => {
    const fleet = await startMembership(3);
    fleet.setList(undefined);
    await fleet.clock.runFor(60_000);
    expect(fleet.states()).toEqual(Array(3).fill('live'));
  });
});

describe('heartbeats', () => {
  it('carry the dispatches owned at the side, followed or not', async () => {
    const fleet = await startMembership(40);
    // Alone, an entry would follow all sides.
    const hosts = fleet.sides.map(({host}) => host);
    fleet.setList([...hosts, ...hostsOf(30, 'entry')]);
    await fleet.clock.runFor(2_500);
    const at = fleet.sides.findIndex((_, index) => !fleet.replica(index));
    const {address} = fleet.sides[at].host;
    fleet.kernel.send('membership', {kind: 'own', address, dispatchId: 'r.1'});
    await fleet.clock.runFor(1_500);
    expect(fleet.beats.some(({owned}) => owned.includes('r.1'))).toBe(true);
    fleet.kernel.send('membership', {
      kind: 'disown',
      address,
      dispatchId: 'r.1',
    });
    await fleet.clock.runFor(100);
    fleet.beats.length = 0;
    await fleet.clock.runFor(5_000);
    expect(fleet.beats.some(({owned}) => owned.length > 0)).toBe(false);
  });

  it('pass on newer config numbers and fences', async () => {
    const fleet = await startMembership(1);
    fleet.told.length = 0;
    fleet.sides[0].configNumber = 9;
    fleet.sides[0].fence = 4;
    await fleet.clock.runFor(1_200);
    const peer = fleet.sides[0].host.address;
    expect(fleet.told).toContainEqual({kind: 'peer-number', peer, number: 9});
    expect(fleet.told).toContainEqual({kind: 'fence-seen', fence: 4});
  });
});

describe('the subset that an entry follows', () => {
  const subset = (hosts: readonly HostInfo[], node = 'entry-1') =>
    chooseSubset({node, ownFailureDomain: 'hall-north', hosts, limit: 24});

  it('covers each pool and failure domain, the own one most', () => {
    const hosts = [...hostsOf(600), ...hostsOf(3, 'station-app')];
    const chosen = subset(hosts);
    const followed = hosts.filter(host => chosen.has(host.address));
    expect(followed.length).toBeLessThanOrEqual(24 + 3);
    const own = followed.filter(host => host.failureDomain === 'hall-north');
    expect(own.length).toBeGreaterThanOrEqual(followed.length / 3);
    for (const pool of ['onyx-pool', 'station-app']) {
      const domains = followed
        .filter(host => host.pool === pool)
        .map(host => host.failureDomain);
      expect(new Set(domains)).toEqual(new Set(DOMAINS));
    }
  });

  it('moves by few hosts when a tenth of the fleet is replaced', () => {
    const before = subset(hostsOf(600));
    const hosts = hostsOf(600).map((host, at) =>
      at % 10 === 0 ? {...host, address: `new-${at}:7301`} : host,
    );
    const after = subset(hosts);
    const kept = [...before].filter(address => after.has(address)).length;
    expect(kept).toBeGreaterThanOrEqual(before.size * 0.75);
  });

  it('differs between entries, so that no side is followed by all', () => {
    const followers = new Map<string, number>();
    for (let entry = 0; entry < 100; entry++) {
      for (const address of subset(hostsOf(600), `entry-${entry}`)) {
        followers.set(address, (followers.get(address) ?? 0) + 1);
      }
    }
    expect(Math.max(...followers.values())).toBeLessThan(20);
  });
});
