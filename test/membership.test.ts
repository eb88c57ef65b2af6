/** Tests which hosts an entry follows, and which state it gives them. */
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
  const forwarded: unknown[] = [];
  const heartbeats: SideHeartbeatReq[] = [];
  const sides = hostsOf(count).map(host => ({
    host,
    incarnation: `a-${host.address}`,
    leaving: false,
    configNumber: 1,
    fence: 1,
  }));
  let list: readonly HostInfo[] | undefined = sides.map(({host}) => host);
  const startSide = (side: (typeof sides)[number]) =>
    network.transport(side.host.address).listen(side.host.address, {
      sideHeartbeat: async req => {
        heartbeats.push(req);
        return heartbeatReplyOf(side);
      },
    });
  for (const side of sides) await startSide(side);
  await kernel.start({
    name: 'config',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'peer-number') forwarded.push(message);
      });
    },
  });
  await kernel.start({
    name: 'placement',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'fence-seen') forwarded.push(message);
      });
    },
  });
  await kernel.start(
    createMembershipService({
      transport: network.transport(ENTRY),
      hostList: async () =>
        list === undefined ? Left(hostListError()) : Right(list),
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
    /** Starts the process of a side again after `faults.down`. */
    restart: (at: number) => startSide(sides[at]),
    kernel,
    sides,
    heartbeats,
    forwarded,
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

function hostListError(): OnyxError {
  return new OnyxError({
    code: 'store-unavailable',
    step: 'host-list',
    message: 'out',
  });
}

function heartbeatReplyOf(side: {
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
  // The host list is half a minute behind and still shows the side as live. It
  // must not make the side live again after the side has reported leaving.
  it('is leaving by its own report while the list shows it as live', async () => {
    const fleet = await startMembership(3);
    fleet.sides[0].leaving = true;
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)?.state).toBe('leaving');
    fleet.sides[0].leaving = false;
    await fleet.clock.runFor(5_000);
    expect(fleet.replica(0)?.state).toBe('leaving');
  });

  it('is leaving by the list while its heartbeats say live', async () => {
    const fleet = await startMembership(3);
    const [first, ...others] = fleet.sides.map(({host}) => host);
    fleet.setList([{...first, state: 'leaving'}, ...others]);
    await fleet.clock.runFor(3_000);
    expect(fleet.replica(0)?.state).toBe('leaving');
  });

  it('is live again with another incarnation', async () => {
    const fleet = await startMembership(3);
    fleet.evidence(0, 'leaving');
    await fleet.clock.runFor(100);
    expect(fleet.replica(0)?.state).toBe('leaving');
    fleet.sides[0].incarnation = 'b';
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)).toMatchObject({state: 'live', incarnation: 'b'});
  });

  it('stays after the list dropped it until its heartbeats fail', async () => {
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
  it('begins with a refused connection and ends with an answer', async () => {
    const fleet = await startMembership(3);
    const {address} = fleet.sides[0].host;
    fleet.faults.down(address);
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)?.state).toBe('suspect');
    await fleet.restart(0);
    await fleet.clock.runFor(1_500);
    expect(fleet.replica(0)?.state).toBe('live');
  });

  it('begins after three seconds of silence', async () => {
    const fleet = await startMembership(3);
    fleet.faults.freeze(fleet.sides[0].host.address);
    await fleet.clock.runFor(2_000);
    expect(fleet.replica(0)?.state).toBe('live');
    await fleet.clock.runFor(2_500);
    expect(fleet.replica(0)?.state).toBe('suspect');
  });

  // The observer is stopped for a minute and reads no replies. If that were
  // counted as silence of the peers, the whole pool would be suspect at once.
  it('does not begin because the observer itself was paused', async () => {
    const fleet = await startMembership(6);
    fleet.clock.advance(60_000);
    await fleet.clock.runFor(1);
    expect(new Set(fleet.states())).toEqual(new Set(['live']));
    expect(fleet.eventsOf(MEMBERSHIP_EVENTS.observerPaused)).toHaveLength(1);
    await fleet.clock.runFor(5_000);
    expect(new Set(fleet.states())).toEqual(new Set(['live']));
  });

  // The entry is cut off from all sides for a minute. If suspects left the
  // view, no side would remain to route requests to.
  it('of all hosts at once leaves them all in the view', async () => {
    const fleet = await startMembership(6);
    for (const {host} of fleet.sides) fleet.faults.cut(ENTRY, host.address);
    await fleet.clock.runFor(60_000);
    expect(fleet.states()).toEqual(Array(6).fill('suspect'));
    expect(fleet.eventsOf(MEMBERSHIP_EVENTS.manySuspect)).toHaveLength(1);
    fleet.faults.healAll();
    await fleet.clock.runFor(3_000);
    expect(fleet.states()).toEqual(Array(6).fill('live'));
  });

  it('does not begin because the host list is unavailable', async () => {
    const fleet = await startMembership(3);
    fleet.setList(undefined);
    await fleet.clock.runFor(60_000);
    expect(fleet.states()).toEqual(Array(3).fill('live'));
  });
});

describe('heartbeats', () => {
  it('carry the dispatches owned at a side that is not followed otherwise', async () => {
    const fleet = await startMembership(40);
    // With fewer entries this one would be assigned all sides.
    const hosts = fleet.sides.map(({host}) => host);
    fleet.setList([...hosts, ...hostsOf(30, 'entry')]);
    await fleet.clock.runFor(2_500);
    const at = fleet.sides.findIndex((_, index) => !fleet.replica(index));
    const {address} = fleet.sides[at].host;
    fleet.kernel.send('membership', {kind: 'own', address, dispatchId: 'r.1'});
    await fleet.clock.runFor(1_500);
    expect(fleet.heartbeats.some(({owned}) => owned.includes('r.1'))).toBe(
      true,
    );
    fleet.kernel.send('membership', {
      kind: 'disown',
      address,
      dispatchId: 'r.1',
    });
    await fleet.clock.runFor(100);
    fleet.heartbeats.length = 0;
    await fleet.clock.runFor(5_000);
    expect(fleet.heartbeats.some(({owned}) => owned.length > 0)).toBe(false);
  });

  it('report newer configuration and fencing numbers to their services', async () => {
    const fleet = await startMembership(1);
    fleet.forwarded.length = 0;
    fleet.sides[0].configNumber = 9;
    fleet.sides[0].fence = 4;
    await fleet.clock.runFor(1_200);
    const peer = fleet.sides[0].host.address;
    expect(fleet.forwarded).toContainEqual({
      kind: 'peer-number',
      peer,
      number: 9,
    });
    expect(fleet.forwarded).toContainEqual({kind: 'fence-seen', fence: 4});
  });
});

describe('the subset that an entry follows', () => {
  const subset = (hosts: readonly HostInfo[], node = 'entry-1') =>
    chooseSubset({node, ownFailureDomain: 'hall-north', hosts, limit: 24});

  it('covers each pool and failure domain, and its own domain most', () => {
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

  it('changes little when a tenth of the hosts is replaced', () => {
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
