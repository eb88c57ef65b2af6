/**
 * Tests that one placer at a time takes effect, with real sides and with engines
 * that check fencing numbers or ignore them.
 */
import {describe, expect, it} from 'vitest';
import {FLEET_MODEL} from '../standins/fleet_declarations.js';
import {finalOf} from '../standins/fleet_callers.js';
import type {FleetEntry} from '../standins/fleet_entry.js';
import {createMemoryFleet} from '../standins/memory_fleet.js';
import type {
  MemoryFleet,
  MemoryFleetOptions,
} from '../standins/memory_fleet.js';
import type {OrderRes} from '../src/types/peer_messages.js';
import type {PlacementStatus} from '../src/types/services.js';
import {SIDE_EVENTS} from '../src/utils/events.js';

const ENGINES = 4;
const LEASE_KEY = 'lease/placer';
const LONG_DELAY = {minMs: 22_000, maxMs: 22_000};
const LIMIT_MS = 180_000;
const KINDS = [
  ['refuse old fencing numbers', true],
  ['ignore fencing numbers', false],
] as const;

async function startFleet(
  options: Partial<MemoryFleetOptions>,
): Promise<MemoryFleet> {
  const fleet = createMemoryFleet({
    seed: 1,
    entries: 2,
    engines: ENGINES,
    services: 1,
    failureDomains: ['hall-north', 'hall-south'],
    ...options,
  });
  await fleet.start();
  await fleet.clock.runFor(14_000);
  return fleet;
}

function statusOf(entry: FleetEntry): Promise<PlacementStatus> {
  return entry
    .kernel()
    .ask('placement', (reply: (status: PlacementStatus) => void) => ({
      kind: 'status',
      reply,
    }));
}

/** The placer first, then the other entry. */
async function holderFirst({entries}: MemoryFleet) {
  const [a, b] = entries as readonly [FleetEntry, FleetEntry];
  return (await statusOf(a)).placer ? ([a, b] as const) : ([b, a] as const);
}

async function declareVersion(
  fleet: MemoryFleet,
  entry: FleetEntry,
  version: string,
): Promise<void> {
  const patch = JSON.stringify({models: {[FLEET_MODEL]: {version}}});
  void fleet.applyPatch(fleet.entries.indexOf(entry), {base: 1, patch});
  await fleet.clock.runFor(100);
}

/**
 * Fencing numbers of the orders that sides passed to engines, oldest first.
 */
function passedFences({events}: MemoryFleet): readonly number[] {
  return events
    .filter(({event}) => event.number === SIDE_EVENTS.orderPassed.number)
    .map(({fields}) => Number(fields.fence));
}

function refusals({events}: MemoryFleet, reason: string): number {
  return events.filter(
    ({event, fields}) =>
      event.number === SIDE_EVENTS.orderRefused.number &&
      fields.reason === reason,
  ).length;
}

function expectFenced(fleet: MemoryFleet): void {
  const fences = passedFences(fleet);
  expect(fences).toEqual([...fences].sort((a, b) => a - b));
  expect(fences.at(-1)).toBe(2);
  expect(fleet.violations).toEqual([]);
}

/** Number of engines on which this version is ready and the only one. */
function serving({engines}: MemoryFleet, version: string): number {
  return engines.filter(({model}) => {
    const {models} = model.report();
    return (
      models.length === 1 && models[0]?.version === version && models[0].ready
    );
  }).length;
}

async function waitUntilServing(
  fleet: MemoryFleet,
  version: string,
  engines = ENGINES,
): Promise<void> {
  for (let ms = 0; ms < LIMIT_MS; ms += 1_000) {
    if (serving(fleet, version) === engines) return;
    await fleet.clock.runFor(1_000);
  }
}

function delayOrders(fleet: MemoryFleet, from: FleetEntry): void {
  for (const {address} of fleet.engines) {
    fleet.network.faults.setDelay(LONG_DELAY, from.address, address);
  }
}

describe.each(KINDS)('placement on engines that %s', (_, honoursFence) => {
  // The orders of a paused placer arrive after another entry has taken over. If
  // they took effect, they would undo changes that the new placer relies on.
  it('applies no order of a paused placer after newer orders', async () => {
    const fleet = await startFleet({honoursFence});
    const [first, second] = await holderFirst(fleet);
    delayOrders(fleet, first);
    await declareVersion(fleet, first, '2');
    await fleet.clock.runFor(1_500);
    first.freeze(18_000);
    await fleet.clock.runFor(18_000);
    expect((await statusOf(second)).placer).toBe(true);
    await waitUntilServing(fleet, '2');
    await fleet.clock.runFor(8_000);
    expect(refusals(fleet, 'stale-fence')).toBeGreaterThan(0);
    expectFenced(fleet);
    expect(serving(fleet, '2')).toBe(ENGINES);
    fleet.stop();
  });

  // A restarted entry knows no fencing number. If it created a missing lease at
  // once, it would start at 1 again and share that number with the old placer.
  it('creates a removed lease again with a higher fencing number', async () => {
    const fleet = await startFleet({honoursFence});
    const [first, second] = await holderFirst(fleet);
    await declareVersion(fleet, first, '2');
    first.cutStore(true);
    fleet.network.faults.cut(first.address, second.address);
    delayOrders(fleet, first);
    const lease = fleet.store.peek(LEASE_KEY).unsafeCoerce();
    void fleet.store.remove(LEASE_KEY, lease.version, 'lease');
    void second.restart();
    let wereBothPlacers = false;
    for (let ms = 0; ms < 20_000; ms += 100) {
      await fleet.clock.runFor(100);
      const [a, b] = await Promise.all([statusOf(first), statusOf(second)]);
      wereBothPlacers ||= a.placer && b.placer;
    }
    expect(wereBothPlacers).toBe(false);
    expect((await statusOf(second)).placer).toBe(true);
    first.cutStore(false);
    fleet.network.faults.healAll();
    await waitUntilServing(fleet, '2');
    await fleet.clock.runFor(8_000);
    expect(refusals(fleet, 'stale-fence')).toBeGreaterThan(0);
    expectFenced(fleet);
    expect(serving(fleet, '2')).toBe(ENGINES);
    fleet.stop();
  });

  // A restarted side knows no fencing number yet. It must read the lease before
  // it accepts an order, since the order may be of a placer that was replaced.
  it('refuses an old order at a side that was just restarted', async () => {
    const fleet = await startFleet({honoursFence});
    const [first] = await holderFirst(fleet);
    await first.restart();
    await fleet.clock.runFor(16_000);
    const [side] = fleet.engines;
    if (side === undefined) throw new Error('no side');
    void side.restart();
    const stalePlacer = fleet.network.transport('127.0.0.1:9999');
    const answers: OrderRes[] = [];
    for (let at = 0; at < 20; at++) {
      const order = {
        orderId: `old-${at}`,
        fence: 1,
        action: 'unload',
        model: FLEET_MODEL,
        version: '1',
        adapter: '',
        role: 'mixed',
      } as const;
      void stalePlacer
        .call(side.address, 'order', order, 1_000)
        .then(res => res.ifRight(answer => answers.push(answer)));
      await fleet.clock.runFor(1);
    }
    await fleet.clock.runFor(5_000);
    expect(answers.length).toBeGreaterThan(0);
    expect(new Set(answers.map(({state}) => state))).toEqual(
      new Set(['refused']),
    );
    expect(serving(fleet, '1')).toBe(ENGINES);
    fleet.stop();
  });

  // The old version must stay on an engine until the new one is ready there;
  // otherwise callers would get refusals or failures during the update.
  it('replaces a version under load without a failed request', async () => {
    const fleet = await startFleet({honoursFence});
    const [first] = await holderFirst(fleet);
    await declareVersion(fleet, first, '2');
    for (let ms = 0; ms < 40_000; ms += 200) {
      fleet.submit((ms / 200) % 2, {
        kind: 'completion',
        organisation: 'prairie-sky',
        promptTokens: 1_000,
        maxTokens: 20,
        timeLimitMs: 30_000,
        repeatable: true,
        priority: 1,
      });
      await fleet.clock.runFor(200);
    }
    await waitUntilServing(fleet, '2');
    await fleet.clock.runFor(5_000);
    expect(serving(fleet, '2')).toBe(ENGINES);
    expect(fleet.tracked.map(one => finalOf(one)?.kind)).toEqual(
      fleet.tracked.map(() => 'end'),
    );
    expect(fleet.violations).toEqual([]);
    fleet.stop();
  });
});

describe('a placer that follows few of many sides', () => {
  // No entry follows all eight sides. A placer that used only those it follows
  // would leave the old version on the others forever.
  it('places models on all of them', async () => {
    const fleet = await startFleet({
      entries: 6,
      engines: 8,
      followReplicas: 2,
      services: 0,
    });
    for (const entry of fleet.entries) {
      expect(entry.view()?.replicas.length).toBeLessThan(8);
    }
    const [first] = fleet.entries as readonly [FleetEntry];
    await declareVersion(fleet, first, '2');
    await waitUntilServing(fleet, '2', 8);
    expect(serving(fleet, '2')).toBe(8);
    fleet.stop();
  });
});
