/** Whole parts of a fleet fail under load: real services, virtual time. */
import {describe, expect, it} from 'vitest';
import {
  allReplaced,
  domainLost,
  hostListStale,
  observerPaused,
  regionCut,
} from '../bench/membership_runs.js';
import {DOMAINS} from '../bench/membership_scenarios.js';
import type {Outcome} from '../bench/membership_scenarios.js';
import {createMemoryFleet} from '../standins/memory_fleet.js';
import {subsetMoves} from '../bench/membership_subset.js';

const SIDES = 12;

function expectNothingLost(outcome: Outcome): void {
  expect(outcome).toMatchObject({lost: 0, heldTokens: 0, violations: []});
  expect(outcome.whole).toBeGreaterThan(0);
}

describe('a fleet under load', () => {
  // All hosts of a failure domain die in one moment, with runs in progress.
  // Callers of the dead entry lose their connection; all others get a whole
  // answer or a failure in time. The two entries left see it by refused
  // connections, long before the host list does; when the hosts are back, work
  // goes to them again.
  it('goes on without a failure domain, and uses it when it is back', async () => {
    const {figures, outcome} = await domainLost(1);
    expectNothingLost(outcome);
    expect(figures.detectMs).toBeLessThanOrEqual(1_500);
    expect(figures.placedMs).toBeLessThan(1_500);
    expect(figures.returnMs).toBeGreaterThanOrEqual(0);
    expect(figures.returnMs).toBeLessThan(5_000);
    expect(figures.usedAgainMs).toBeGreaterThan(0);
    expect(outcome.failed).toBeLessThanOrEqual(5);
  });

  // Nothing passes between one failure domain and the others for minutes, and
  // nobody refuses a connection: silence is all there is to see. Each part
  // serves its own callers. After the cut all see each other again, and runs
  // whose owner was on the other side hold no memory.
  it('serves on both sides of a cut, and joins again', async () => {
    const {figures, outcome} = await regionCut(1);
    expectNothingLost(outcome);
    expect(figures.detectMs).toBeLessThan(5_000);
    expect(figures.fewestCandidates).toBe(SIDES);
    expect(figures.returnMs).toBeGreaterThanOrEqual(0);
    expect(figures.returnMs).toBeLessThan(5_000);
    expect(outcome.failed / outcome.asked).toBeLessThan(0.01);
  });

  // Each host is drained, taken away and replaced by another at its address,
  // one after another, sides first and then entries. No caller notices: a
  // drain cuts nothing, and no work goes to a host that is leaving.
  it('loses nothing when all its hosts are replaced in turn', async () => {
    const {figures, outcome} = await allReplaced(1);
    expectNothingLost(outcome);
    expect(outcome).toMatchObject({failed: 0, cut: 0});
    expect(figures).toMatchObject({neverReturned: 0});
    expect(figures.lastPlacedMs).toBeLessThan(1_500);
    expect(figures.returnMostMs).toBeLessThan(5_000);
  });

  // An entry stands still for 20 s: on waking, its own clock says that nobody
  // answered for that long. Later it is cut off from everyone. Taking either
  // for the death of the pool would leave it without a place to send work.
  it('has no empty pool at an observer that was paused or cut off', async () => {
    const {figures, outcome} = await observerPaused(1);
    expectNothingLost(outcome);
    expect(figures.falseSuspicions).toBe(0);
    expect(figures.fewestCandidates).toBe(SIDES);
    expect(figures.liveWhileCut).toBe(0);
    expect(figures.returnMs).toBeLessThan(5_000);
  });

  // The host list shows everything 30 s late, then nothing new at all. A side
  // that dies and one that leaves are seen all the same, by their connections
  // and their own word; a host that comes is used once the list shows it.
  it('sees death and leaving through a host list that lags', async () => {
    const {figures, outcome} = await hostListStale(1);
    expectNothingLost(outcome);
    expect(figures.detectMs).toBeLessThanOrEqual(1_500);
    expect(figures.leavingSeenMs).toBeLessThanOrEqual(1_500);
    expect(figures.placedMs).toBeLessThan(2_000);
    expect(figures.returnMs).toBeLessThan(5_000);
  });
});

describe('the followed subsets', () => {
  // Ten entries follow 24 of 90 sides each. Some side is in no subset: it
  // would get no work, and no new configuration while the store is out.
  it('leave no side that nobody follows', async () => {
    const fleet = createMemoryFleet({
      seed: 100,
      entries: 10,
      engines: 90,
      services: 0,
      failureDomains: DOMAINS,
    });
    await fleet.start();
    const followed = fleet.entries.flatMap(entry =>
      (entry.view()?.replicas ?? []).map(({address}) => address),
    );
    const counts = fleet.sides.map(
      ({address}) => followed.filter(each => each === address).length,
    );
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(2);
    fleet.stop();
  });

  it.each([
    [100, 40],
    [600, 370],
  ])(
    'of %i replicas and %i entries move by the host that goes and no more',
    (replicas, entries) => {
      const moved = subsetMoves(replicas, entries);
      expect(moved.movedByLeave).toBe(moved.leastByLeave);
      expect(moved.mostOfOneEntry).toBe(1);
      expect(moved.movedByJoin / moved.places).toBeLessThan(0.02);
    },
  );
});
