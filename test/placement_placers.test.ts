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

/** No order takes effect, on any engine, after one with a higher number. */
function expectFenced(): void {
  const fences = fleet.effects.map(({order}) => order.fence);
  expect(fences).toEqual([...fences].sort((a, b) => a - b));
}

function readyWith(version: string): number {
  return fleet.sides.filter(({models}) =>
    models.some(state => state.version === version && state.ready),
  ).length;
}

function holders(): readonly string[] {
  return fleet.effects
    .map(({order}) => order.fence)
    .filter((fence, at, all) => all.indexOf(fence) === at)
    .map(String);
}

describe('placing', () => {
  it('loads a declared model, rolls a new version and reads back', async () => {
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
    // In service all the time, by one version or the other.
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

  it('keeps to the loads that the weight store can feed', async () => {
    // 240 MB/s carry two loads of 20 GB within 180 s.
    await start({sides: 6, bytesPerSec: 240e6});
    fleet.declare(1, declareModel('1', {minReplicas: 6}));
    await fleet.runFor(700_000);
    expect(fleet.maxConcurrentLoads()).toBe(2);
    expect(readyWith('1')).toBe(6);
  });

  it('does nothing before a configuration was accepted', async () => {
    await start({sides: 2, models: ['1']});
    fleet.declare(0, {...declareModel('1', {minReplicas: 1}), models: []});
    await fleet.runFor(30_000);
    expect(fleet.effects).toEqual([]);
  });
});

describe('a placer that wakes after its lease', () => {
  // It was paused in the middle of a roll, and another has taken over. Its
  // timers fire before it hears of that. Its clock alone must tell it that the
  // lease is over: here neither engines nor sides check the number.
  it('sends nothing', async () => {
    await start({sides: 4, fencedBy: 'nobody'}, 2);
    fleet.declare(1, declareModel('1', {minReplicas: 4}));
    await fleet.runFor(60_000);
    const [first, second] = await inTurn();
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

// The placer is paused past its lease, another takes over and orders. The first
// wakes, believing itself the holder, with orders of its own that were on their
// way all along. Without numbers checked at the engine, an old load or unload
// would undo what the new placer did, and callers would lose a version.
describe.each<FencedBy>(['engine', 'side'])(
  'with numbers checked by the %s',
  by => {
    it('no order of a placer that was paused follows the newer ones', async () => {
      await start({sides: 4, fencedBy: by}, 2);
      fleet.declare(1, declareModel('1', {minReplicas: 2}));
      await fleet.runFor(20_000);
      const [first, second] = await inTurn();
      // What the first sends from now on stays on its way for 40 s.
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
      expect(holders()).toHaveLength(2);
      expectFenced();
      expect(
        first.recording.eventsOf(PLACEMENT_EVENTS.orderAnswered).length,
      ).toBeGreaterThan(0);
      expect([readyWith('1'), readyWith('2')]).toEqual([0, 2]);
    });

    // The lease's object is removed by mistake. A second placer makes it anew,
    // and the first believes until its next renewal; its view of the engines
    // lags, too. Both order the same engines at the same time.
    it('of two that both believe only the newer one has effect', async () => {
      const first = await placerWithoutLease(by);
      const second = await fleet.addPlacer({leaseCreateAfterMs: 0});
      second.declare({number: 2, declarations: TWO});
      await fleet.runFor(3_500);
      first.declare({number: 2, declarations: TWO});
      const believe = await Promise.all([first.status(), second.status()]);
      expect(believe.map(({placer}) => placer)).toEqual([true, true]);
      await fleet.runFor(1_500);
      const refused = refusalsOf(first);
      expect(refused).toBeGreaterThan(0);
      // It has heard of the higher number by that, and sends nothing more.
      await fleet.runFor(10_000);
      expect(refusalsOf(first)).toBe(refused);
      first.isMembershipFrozen = false;
      await fleet.runFor(180_000);
      expectFenced();
      expect([readyWith('1'), readyWith('2')]).toEqual([0, 2]);
      expect((await first.status()).placer).toBe(false);
    });

    // As above, and the new number reaches one side late. The first placer's
    // order takes effect there; the second must not have begun by then, or the
    // engines would be changed by two plans in turn.
    it('a new placer waits until all sides know its number', async () => {
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

/** A placer that believes in its lease, whose object has been removed. */
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

/** Placers, the one that holds the lease first. */
async function inTurn() {
  const [a, b] = fleet.placers;
  return (await a.status()).placer ? [a, b] : [b, a];
}
