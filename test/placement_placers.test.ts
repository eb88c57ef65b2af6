import {afterEach, describe, expect, it} from 'vitest';
import {PLACEMENT_EVENTS} from '../src/utils/events.js';
import {createPlacementFleet, declareModel} from './support/placement_fleet.js';
import type {
  FakePlacer,
  FencedBy,
  PlacementFleetOptions,
  PlacementFleet,
} from './support/placement_fleet.js';

const ONE = declareModel('1', {minReplicas: 2});
const TWO = declareModel('2', {minReplicas: 2});

let fleet: PlacementFleet;

afterEach(() => fleet.stop());

async function start(options: PlacementFleetOptions, placers = 1) {
  fleet = await createPlacementFleet(options);
  for (let n = 0; n < placers; n++) await fleet.addPlacer();
}

/**
 * Expects that no order took effect on any engine after one with a higher
 * fencing number.
 */
function expectFenced(): void {
  const fences = fleet.effects.map(({order}) => order.fence);
  expect(fences).toEqual([...fences].sort((a, b) => a - b));
}

function readyWith(version: string): number {
  return fleet.sides.filter(({models}) =>
    models.some(state => state.version === version && state.ready),
  ).length;
}

function distinctFences(): readonly string[] {
  return fleet.effects
    .map(({order}) => order.fence)
    .filter((fence, at, all) => all.indexOf(fence) === at)
    .map(String);
}

describe('placing', () => {
  it('loads a declared model, replaces its version and records the effects', async () => {
    await start({sides: 6});
    fleet.declare(1, declareModel('1', {minReplicas: 4}));
    await fleet.runFor(120_000);
    expect(readyWith('1')).toBe(4);
    fleet.declare(2, declareModel('2', {minReplicas: 4}));
    let fewest = 4;
    await fleet.runFor(300_000, () => {
      fewest = Math.min(fewest, Math.max(readyWith('1'), readyWith('2')));
    });
    expect([readyWith('1'), readyWith('2')]).toEqual([0, 4]);
    // One version or the other is ready on two engines at all times.
    expect(fewest).toBeGreaterThanOrEqual(2);
    const [placer] = fleet.placers;
    const {decisions, placer: isPlacer} = await placer.status();
    expect(isPlacer).toBe(true);
    expect(new Set(decisions.map(item => item.outcome))).toEqual(
      new Set(['in-effect']),
    );
    expect(placer.recording.eventsOf(PLACEMENT_EVENTS.decided)).toHaveLength(
      decisions.length,
    );
  });

  it('starts no more loads than the weight store can serve in time', async () => {
    // At 240 MB/s, two loads of 20 GB end within 180 s.
    await start({sides: 6, bytesPerSec: 240e6});
    fleet.declare(1, declareModel('1', {minReplicas: 6}));
    await fleet.runFor(700_000);
    expect(fleet.maxConcurrentLoads()).toBe(2);
    expect(readyWith('1')).toBe(6);
  });

  it('sends no order before a configuration was accepted', async () => {
    await start({sides: 2, models: ['1']});
    fleet.declare(0, {...declareModel('1', {minReplicas: 1}), models: []});
    await fleet.runFor(30_000);
    expect(fleet.effects).toEqual([]);
  });
});

describe('a placer that was paused past the end of its lease', () => {
  // Its timers fire before it learns that another entry has taken over. Neither
  // engines nor sides check numbers here, so its clock must show that it ended.
  it('sends no order', async () => {
    await start({sides: 4, fencedBy: 'nobody'}, 2);
    fleet.declare(1, declareModel('1', {minReplicas: 4}));
    await fleet.runFor(60_000);
    const [first, second] = await holderFirst();
    first.host.freeze();
    await fleet.runFor(30_000);
    expect((await second.status()).placer).toBe(true);
    const before = fleet.effects.length;
    first.declare({
      number: 2,
      declarations: declareModel('2', {minReplicas: 4}),
    });
    first.host.thaw();
    await fleet.runFor(30_000);
    expect(fleet.effects).toHaveLength(before);
    expect(
      first.recording.eventsOf(PLACEMENT_EVENTS.placerStopped),
    ).toHaveLength(1);
  });
});

// Late orders of a paused placer arrive after another entry has taken over. If
// they took effect, callers could lose a version that the new placer loaded.
describe.each<FencedBy>(['engine', 'side'])(
  'with fencing numbers checked by the %s',
  by => {
    it('no order of a paused placer takes effect after newer orders', async () => {
      await start({sides: 4, fencedBy: by}, 2);
      fleet.declare(1, declareModel('1', {minReplicas: 2}));
      await fleet.runFor(20_000);
      const [first, second] = await holderFirst();
      // Orders that the first placer sends from now on arrive 40 s later.
      for (const {address} of fleet.sides) {
        fleet.net.faults.setDelay(
          {minMs: 40_000, maxMs: 40_000},
          first.address,
          address,
        );
      }
      fleet.declare(2, declareModel('2', {minReplicas: 2}));
      await fleet.runFor(1_500);
      first.host.freeze();
      await fleet.runFor(30_000);
      expect((await second.status()).placer).toBe(true);
      first.host.thaw();
      await fleet.runFor(60_000);
      expect(distinctFences()).toHaveLength(2);
      expectFenced();
      expect(
        first.recording.eventsOf(PLACEMENT_EVENTS.orderAnswered).length,
      ).toBeGreaterThan(0);
      expect([readyWith('1'), readyWith('2')]).toEqual([0, 2]);
    });

    // The lease was removed and a second placer creates it again. Until the first
    // one renews, both believe that they hold it and order the same engines.
    it('of two placers that believe in their lease, only the newer has effect', async () => {
      const first = await placerWithoutLease(by);
      const second = await fleet.addPlacer({leaseCreateAfterMs: 0});
      second.declare({number: 2, declarations: TWO});
      await fleet.runFor(3_500);
      first.declare({number: 2, declarations: TWO});
      const statuses = await Promise.all([first.status(), second.status()]);
      expect(statuses.map(({placer}) => placer)).toEqual([true, true]);
      await fleet.runFor(1_500);
      const refused = refusalsOf(first);
      expect(refused).toBeGreaterThan(0);
      // The refusals told it the higher number, so it sends no more orders.
      await fleet.runFor(10_000);
      expect(refusalsOf(first)).toBe(refused);
      first.isMembershipFrozen = false;
      await fleet.runFor(180_000);
      expectFenced();
      expect([readyWith('1'), readyWith('2')]).toEqual([0, 2]);
      expect((await first.status()).placer).toBe(false);
    });

    // The new number reaches one side late, so an order of the first placer still
    // takes effect there. The second must not have sent an order before that.
    it('a new placer waits until all sides know its fencing number', async () => {
      const first = await placerWithoutLease(by);
      fleet.sides[3].missesHeartbeats = true;
      const second = await fleet.addPlacer({leaseCreateAfterMs: 0});
      const all = declareModel('2', {minReplicas: 4});
      second.declare({number: 2, declarations: all});
      await fleet.runFor(3_500);
      first.declare({number: 2, declarations: all});
      await fleet.runFor(1_500);
      fleet.sides[3].missesHeartbeats = false;
      await fleet.runFor(180_000);
      expect(fleet.effects.filter(({order}) => order.fence === 1)).toHaveLength(
        3,
      );
      expectFenced();
      expect(readyWith('2')).toBe(4);
    });
  },
);

/** Starts a placer, and removes its lease without its knowledge. */
async function placerWithoutLease(fencedBy: FencedBy): Promise<FakePlacer> {
  fleet = await createPlacementFleet({sides: 4, fencedBy});
  const placer = await fleet.addPlacer({
    leaseTtlMs: 300_000,
    leaseCreateAfterMs: 0,
  });
  placer.declare({number: 1, declarations: ONE});
  await fleet.runFor(60_000);
  const lease = fleet.core.peek('lease/placer').unsafeCoerce();
  void fleet.core.remove('lease/placer', lease.version, 'lease');
  placer.isMembershipFrozen = true;
  return placer;
}

function refusalsOf(placer: FakePlacer): number {
  return placer.recording
    .eventsOf(PLACEMENT_EVENTS.orderAnswered)
    .filter(({fields}) => fields.outcome === 'refused').length;
}

/** The two placers, with the holder of the lease first. */
async function holderFirst() {
  const [a, b] = fleet.placers;
  return (await a.status()).placer ? [a, b] : [b, a];
}
