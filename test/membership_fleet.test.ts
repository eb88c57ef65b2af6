/**
 * Tests failures of whole parts of a fleet under load, with real services in
 * virtual time.
 */
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
  // All hosts of a failure domain die at once, with runs in progress. Refused
  // connections show this to the other entries long before the host list does.
  it('continues without a failure domain, and uses it when it is back', async () => {
    const {figures, outcome} = await domainLost(1);
    expectNothingLost(outcome);
    expect(figures.detectMs).toBeLessThanOrEqual(1_500);
    expect(figures.placedMs).toBeLessThan(1_500);
    expect(figures.returnMs).toBeGreaterThanOrEqual(0);
    expect(figures.returnMs).toBeLessThan(5_000);
    expect(figures.usedAgainMs).toBeGreaterThan(0);
    expect(outcome.failed).toBeLessThanOrEqual(5);
  });

  // For minutes, frames between one failure domain and the others are dropped
  // and no connection is refused, so silence is the only sign of the cut.
  it('serves callers in both parts of a cut network, and reunites after it', async () => {
    const {figures, outcome} = await regionCut(1);
    expectNothingLost(outcome);
    expect(figures.detectMs).toBeLessThan(5_000);
    expect(figures.fewestCandidates).toBe(SIDES);
    expect(figures.returnMs).toBeGreaterThanOrEqual(0);
    expect(figures.returnMs).toBeLessThan(5_000);
    expect(outcome.failed / outcome.asked).toBeLessThan(0.01);
  });

  // Each host is drained and replaced by another at its address. A drain must
  // cut off no request, and a host that is leaving must get no new work.
  it('loses nothing when all its hosts are replaced one after another', async () => {
    const {figures, outcome} = await allReplaced(1);
    expectNothingLost(outcome);
    expect(outcome).toMatchObject({failed: 0, cut: 0});
    expect(figures).toMatchObject({neverReturned: 0});
    expect(figures.lastPlacedMs).toBeLessThan(1_500);
    expect(figures.returnMostMs).toBeLessThan(5_000);
  });

  // An entry is paused for 20 s, and later cut off from all peers. If it took
  // either for a failure of the peers, it could send requests to no side.
  it('has no empty pool at an entry that was paused or cut off', async () => {
    const {figures, outcome} = await observerPaused(1);
    expectNothingLost(outcome);
    expect(figures.falseSuspicions).toBe(0);
    expect(figures.fewestCandidates).toBe(SIDES);
    expect(figures.liveWhileCut).toBe(0);
    expect(figures.returnMs).toBeLessThan(5_000);
  });

  // The host list is 30 s behind and then frozen. Refused connections and the
  // heartbeats of a leaving side must show both changes without the list.
  it('detects dead and leaving sides while the host list is out of date', async () => {
    const {figures, outcome} = await hostListStale(1);
    expectNothingLost(outcome);
    expect(figures.detectMs).toBeLessThanOrEqual(1_500);
    expect(figures.leavingSeenMs).toBeLessThanOrEqual(1_500);
    expect(figures.placedMs).toBeLessThan(2_000);
    expect(figures.returnMs).toBeLessThan(5_000);
  });
});

describe('the followed subsets', () => {
  // Ten entries choose 24 of 90 sides each, which leaves out some side. It would
  // get no work, and no new configuration while the store is unavailable.
  it('leave no side without a follower', async () => {
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
    'of %i replicas and %i entries change only by the host that leaves',
    (replicas, entries) => {
      const moved = subsetMoves(replicas, entries);
      expect(moved.movedByLeave).toBe(moved.leastByLeave);
      expect(moved.mostOfOneEntry).toBe(1);
      expect(moved.movedByJoin / moved.places).toBeLessThan(0.02);
    },
  );
});
