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
  /** Speed of its clock against true time. */
  readonly rate?: number;
  readonly marginMs?: number;
  /** Each other of its reads shows the state of this long ago. */
  readonly flickerMs?: number;
}

/** The store with each other read stale. */
function flickering(core: ObjectStoreCore, staleMs: number): ObjectStoreCore {
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

/** Processes that want the same lease, each on its own host. */
function createMembers(seed = 1) {
  const test = createTestRuntime(seed);
  const {clock, random, runtime} = test;
  const core = createObjectStoreCore({clock, random});
  const leases: Lease[] = [];
  const actions: Array<{readonly holder: string; readonly fence: number}> = [];
  let mostAtOnce = 0;

  const add = (holder: string, options: MemberOptions = {}) => {
    const host = createHostClock(clock, options.rate);
    const {flickerMs} = options;
    const client = {
      core: flickerMs === undefined ? core : flickering(core, flickerMs),
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
    // What a holder does on the strength of its lease.
    host.every(10, () => {
      if (lease.valid()) actions.push({holder, fence: lease.fence()});
    });
    lease.start();
    return {lease, host, store};
  };

  /** Runs on and counts at each millisecond how many believe to hold it. */
  const runFor = async (ms: number) => {
    for (let passed = 0; passed < ms; passed++) {
      await clock.runFor(1);
      const believers = leases.filter(lease => lease.valid()).length;
      mostAtOnce = Math.max(mostAtOnce, believers);
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
    mostAtOnce: () => mostAtOnce,
  };
}

const sorted = (numbers: readonly number[]) =>
  [...numbers].sort((a, b) => a - b);

describe('lease', () => {
  it('goes to one of several and stays with it', async () => {
    const members = createMembers();
    const all = ['a', 'b', 'c'].map(name => members.add(name));
    await members.runFor(10 * TTL_MS);
    expect(all.filter(member => member.lease.valid())).toHaveLength(1);
    expect(new Set(all.map(it => it.lease.holder())).size).toBe(1);
    expect(all.map(it => it.lease.fence())).toEqual([1, 1, 1]);
    expect(members.mostAtOnce()).toBe(1);
  });

  it('is free at once when its holder stops', async () => {
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

  // A holder is frozen for several leases' time and wakes. It still has its
  // old state, its timers are overdue and answers wait in its sockets. The
  // other has taken over; had the frozen one kept "I hold it" as a flag, its
  // first action on waking would go out beside the new holder's.
  it('is not valid for a frozen holder from its first moment awake', async () => {
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
    expect(members.mostAtOnce()).toBe(1);
    expect(members.fencesInOrder()).toEqual(sorted(members.fencesInOrder()));
  });

  // The renewal reaches the store, the process freezes before its answer, and
  // wakes after another took over. Counted from the answer, the old renewal
  // would look fresh and both would act; so it counts from its sending.
  it('counts a renewal from its sending, not from its answer', async () => {
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
    expect(members.mostAtOnce()).toBe(1);
  });

  // The holder's host loses the platform while the others keep it, and its
  // clock runs slower than theirs: by its own clock the lease lasts longer
  // than by theirs. The margin makes it stop before the others may start.
  it('has no two believers when clocks run at unlike rates', async () => {
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
      expect(members.mostAtOnce()).toBe(1);
    }
  });

  // Each other write takes effect and its answer is lost. Taken as failed,
  // the holder's next renewal would name an old version, conflict with its
  // own write, and the lease would change hands although nobody failed.
  it('settles lost answers by reading back', async () => {
    const members = createMembers();
    members.core.setFaults({loseEvery: 2});
    const a = members.add('a');
    members.add('b');
    await members.runFor(20 * TTL_MS);
    expect(members.actions.length).toBeGreaterThan(1_000);
    expect(new Set(members.fencesInOrder())).toEqual(new Set([1]));
    expect(a.lease.fence()).toBe(1);
    expect(members.mostAtOnce()).toBe(1);
  });

  // The holder is dead and each other read shows a version from before its
  // last one. Taken as changes, old and new in turn would look like a holder
  // that renews, and the lease would stay with the dead one for good.
  it('is taken over also when some reads are stale', async () => {
    const members = createMembers();
    const a = members.add('a');
    await members.runFor(4 * TTL_MS);
    a.host.freeze();
    const b = members.add('b', {flickerMs: 3 * TTL_MS});
    await members.runFor(2.5 * TTL_MS);
    expect(b.lease.valid()).toBe(true);
  });

  // The store is out for several leases' time: the lease lapses by itself and
  // nobody holds it. Nobody may take it on the age of what was seen before
  // the outage; after it, one holds it again.
  it('lapses in a store outage and comes back after it', async () => {
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
    expect(members.mostAtOnce()).toBe(1);
  });

  // All faults at once, by chance, over many take-overs. The judge is outside
  // the lease: never two believers, and actions in the order of their fences.
  it('keeps one believer through random faults', async () => {
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
      expect(members.mostAtOnce()).toBe(1);
      const fences = members.fencesInOrder();
      expect(fences).toEqual(sorted(fences));
      takeOvers += new Set(fences).size - 1;
    }
    // Else the faults would never have put the lease to the test.
    expect(takeOvers).toBeGreaterThan(20);
  });
});
