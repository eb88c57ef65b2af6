import {describe, expect, it} from 'vitest';
import {createLease} from '../src/stores/lease.js';
import type {Lease} from '../src/stores/lease.js';
import {createMemoryObjectStore} from '../standins/memory_object_store.js';
import {createObjectStoreCore} from '../standins/object_store_core.js';
import type {ObjectStoreCore} from '../standins/object_store_core.js';
import {createHostClock, storeOnHost} from './support/host_clock.js';
import {createTestRuntime} from './support/test_runtime.js';

const TTL_MS = 3_000;
const MARGIN_MS = 300;

interface MemberOptions {
  /** Rate of the host's clock relative to true time. */
  readonly rate?: number;
  readonly marginMs?: number;
  /** Age in milliseconds of the state that every second read returns. */
  readonly staleReadMs?: number;
}

/** Wraps the store so that every second read is stale. */
function withStaleReads(
  core: ObjectStoreCore,
  staleMs: number,
): ObjectStoreCore {
  let isStale = false;
  return {
    ...core,
    get: (key, purpose) => {
      isStale = !isStale;
      core.setFaults({staleMs: isStale ? staleMs : 0});
      return core.get(key, purpose);
    },
  };
}

/** Creates processes that try to hold the same lease, each on its own host. */
function createMembers(seed = 1) {
  const test = createTestRuntime(seed);
  const {clock, random, runtime} = test;
  const core = createObjectStoreCore({clock, random});
  const leases: Lease[] = [];
  const actions: Array<{readonly holder: string; readonly fence: number}> = [];
  let maxValidLeases = 0;

  const add = (holder: string, options: MemberOptions = {}) => {
    const host = createHostClock(clock, options.rate);
    const {staleReadMs: flickerMs} = options;
    const client = {
      core: flickerMs === undefined ? core : withStaleReads(core, flickerMs),
      clock: host,
      timeoutMs: 200,
    };
    const store = createMemoryObjectStore(client);
    const lease = createLease({
      store: storeOnHost(store, host),
      key: 'lease/placer',
      ttlMs: TTL_MS,
      marginMs: options.marginMs ?? MARGIN_MS,
      holder,
      runtime: {...runtime, clock: host},
    });
    leases.push(lease);
    // Records an action whenever the process considers its lease valid.
    host.every(10, () => {
      if (lease.valid()) actions.push({holder, fence: lease.fence()});
    });
    lease.start();
    return {lease, host, store};
  };

  /** Runs the clock and counts the valid leases at each millisecond. */
  const runFor = async (ms: number) => {
    for (let passed = 0; passed < ms; passed++) {
      await clock.runFor(1);
      const validLeases = leases.filter(lease => lease.valid()).length;
      maxValidLeases = Math.max(maxValidLeases, validLeases);
    }
  };

  const fencesInOrder = () => actions.map(action => action.fence);
  return {
    ...test,
    core,
    add,
    runFor,
    actions,
    fencesInOrder,
    maxValidLeases: () => maxValidLeases,
  };
}

const sorted = (numbers: readonly number[]) =>
  [...numbers].sort((a, b) => a - b);

describe('lease', () => {
  it('is acquired by one of several processes, which keeps it', async () => {
    const members = createMembers();
    const all = ['a', 'b', 'c'].map(name => members.add(name));
    await members.runFor(10 * TTL_MS);
    expect(all.filter(member => member.lease.valid())).toHaveLength(1);
    expect(new Set(all.map(it => it.lease.holder())).size).toBe(1);
    expect(all.map(it => it.lease.fence())).toEqual([1, 1, 1]);
    expect(members.maxValidLeases()).toBe(1);
  });

  it('can be acquired at once when its holder stops', async () => {
    const members = createMembers();
    const a = members.add('a');
    await members.runFor(100);
    const b = members.add('b');
    await members.runFor(100);
    await Promise.all([a.lease.stop(), members.runFor(100)]);
    await members.runFor(TTL_MS * 0.7);
    expect(a.lease.valid()).toBe(false);
    expect(b.lease.valid()).toBe(true);
    expect(b.lease.fence()).toBe(2);
  });

  // Another process took over while the holder was frozen. If the holder had
  // stored validity as a flag, its first action after the thaw would conflict.
  it('is invalid for a frozen holder from the moment it resumes', async () => {
    const members = createMembers();
    const a = members.add('a');
    await members.runFor(100);
    const b = members.add('b');
    await members.runFor(TTL_MS);
    a.host.freeze();
    await members.runFor(3 * TTL_MS);
    expect(b.lease.valid()).toBe(true);
    const before = members.actions.length;
    a.host.thaw();
    expect(members.actions.slice(before)).toEqual([]);
    await members.runFor(2 * TTL_MS);
    expect(a.lease.holder()).toBe('b');
    expect(members.maxValidLeases()).toBe(1);
    expect(members.fencesInOrder()).toEqual(sorted(members.fencesInOrder()));
  });

  // The holder freezes before the answer to its renewal and resumes after
  // another took over. Measured from the answer, both leases would be valid.
  it('measures a renewal from its sending, not from its answer', async () => {
    const members = createMembers();
    const a = members.add('a');
    await members.runFor(100);
    members.core.setFaults({slowMs: 100});
    const before = members.core.peek('lease/placer').extract()?.version;
    while (members.core.peek('lease/placer').extract()?.version === before) {
      await members.runFor(1);
    }
    a.host.freeze();
    const b = members.add('b');
    await members.runFor(2 * TTL_MS);
    expect(b.lease.valid()).toBe(true);
    a.host.thaw();
    await members.runFor(TTL_MS);
    expect(members.maxValidLeases()).toBe(1);
  });

  // The holder loses the store and its clock is slow, so its lease seems to
  // last longer. The margin makes it stop before another can take over.
  it('is valid for at most one process when clock rates differ', async () => {
    for (let seed = 1; seed <= 15; seed++) {
      const members = createMembers(seed);
      const a = members.add('a', {rate: 0.7, marginMs: 1_000});
      await members.runFor(100);
      const b = members.add('b', {marginMs: 1_000});
      await members.runFor(2 * TTL_MS);
      a.store.setCut(true);
      await members.runFor(3 * TTL_MS);
      expect(b.lease.valid()).toBe(true);
      expect(b.lease.fence()).toBe(2);
      expect(members.maxValidLeases()).toBe(1);
    }
  });

  // Every second write takes effect but its answer is lost. Treated as failed,
  // the next renewal would conflict with it and a healthy holder would lose.
  it('resolves lost answers by reading the object', async () => {
    const members = createMembers();
    members.core.setFaults({loseEvery: 2});
    const a = members.add('a');
    members.add('b');
    await members.runFor(20 * TTL_MS);
    expect(members.actions.length).toBeGreaterThan(1_000);
    expect(new Set(members.fencesInOrder())).toEqual(new Set([1]));
    expect(a.lease.fence()).toBe(1);
    expect(members.maxValidLeases()).toBe(1);
  });

  // The holder has died and every second read returns an older version. Taken
  // as renewals, these alternating versions would keep the lease with it.
  it('is taken over even when some reads are stale', async () => {
    const members = createMembers();
    const a = members.add('a');
    await members.runFor(4 * TTL_MS);
    a.host.freeze();
    const b = members.add('b', {staleReadMs: 3 * TTL_MS});
    await members.runFor(2.5 * TTL_MS);
    expect(b.lease.valid()).toBe(true);
  });

  // The lease expires in a long store outage. Nobody may acquire it during the
  // outage by the age of an earlier read. One process holds it afterwards.
  it('expires in a store outage and is acquired again after it', async () => {
    const members = createMembers();
    const all = ['a', 'b', 'c'].map(name => members.add(name));
    await members.runFor(TTL_MS);
    members.core.setFaults({outage: true, hang: true});
    await members.runFor(TTL_MS);
    const before = members.actions.length;
    await members.runFor(4 * TTL_MS);
    expect(members.actions.length).toBe(before);
    members.core.setFaults({outage: false});
    await members.runFor(2 * TTL_MS);
    expect(all.filter(member => member.lease.valid())).toHaveLength(1);
    expect(members.maxValidLeases()).toBe(1);
  });

  // Combines all faults at random over many take-overs. At most one lease is
  // valid at any time, and actions come in the order of their fencing numbers.
  it('is valid for at most one process under random faults', async () => {
    let takeOvers = 0;
    for (let seed = 1; seed <= 10; seed++) {
      const members = createMembers(seed);
      const {random, core} = members;
      const all = ['a', 'b', 'c'].map((name, index) =>
        members.add(name, {rate: 0.97 + 0.03 * index}),
      );
      for (let round = 0; round < 30; round++) {
        const member = all[Math.floor(random.next() * all.length)];
        if (random.next() < 0.4) member.host.freeze();
        else member.host.thaw();
        member.store.setCut(random.next() < 0.3);
        core.setFaults({
          outage: random.next() < 0.2,
          hang: random.next() < 0.5,
          slowMs: random.next() < 0.3 ? random.next() * 400 : 0,
          loseProbability: random.next() < 0.5 ? 0.5 : 0,
          staleMs: random.next() < 0.3 ? random.next() * 5_000 : 0,
        });
        await members.runFor(random.next() * 2 * TTL_MS);
      }
      expect(members.maxValidLeases()).toBe(1);
      const fences = members.fencesInOrder();
      expect(fences).toEqual(sorted(fences));
      takeOvers += new Set(fences).size - 1;
    }
    // With fewer take-overs the faults would hardly have tested the lease.
    expect(takeOvers).toBeGreaterThan(20);
  });
});
