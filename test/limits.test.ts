import {describe, expect, it} from 'vitest';
import {ORGANISATION, createLimitsFleet} from './support/limits_fleet.js';
import type {LimitsEntry} from './support/limits_fleet.js';

const MAX_RUNNING = 64;
const TTL_MS = 2_000;
/**
 * Requests per second over all entries, about four times what the limit admits.
 */
const ALL_PER_SEC = 250;
const LOAD = {perSec: 60, holdMs: 1_000, tokens: 10};
/** Longest running time of a request: one and a half times `holdMs`. */
const LONGEST_MS = 1_500;

function allowanceSlots(entries: number): number {
  return Math.max(1, Math.floor(MAX_RUNNING / (4 * entries)));
}

describe.each([2, 4, 8])('limits over %i entries', entryCount => {
  const createLoaded = async (seed: number, holdMs = LOAD.holdMs) => {
    const options = {entries: entryCount, maxRunning: MAX_RUNNING, seed};
    const fleet = await createLimitsFleet(options);
    const perSec = ALL_PER_SEC / entryCount;
    const load = {...LOAD, holdMs, perSec};
    for (const entry of fleet.entries) fleet.startLoad(entry, load);
    await fleet.clock.runFor(10_000);
    return fleet;
  };

  it('use the whole limit and never exceed it while homes stay the same', async () => {
    const fleet = await createLoaded(1);
    const peak = await fleet.peakOver(20_000);
    expect(peak).toBeLessThanOrEqual(MAX_RUNNING);
    expect(peak).toBeGreaterThan(0.9 * MAX_RUNNING);
    expect(fleet.entries[0].refusals[0]).toMatchObject({
      code: 'limit-reached',
      step: 'limit',
    });
    expect(fleet.entries[0].refusals[0].retryAfterMs).toBeGreaterThan(0);
    await fleet.stop();
  });

  // The new home does not know the grants of the dead one, and may grant the
  // whole limit again until these have expired and their requests have ended.
  it('are exceeded by old grants at most when the home dies', async () => {
    const fleet = await createLoaded(2);
    const home = fleet.homeAmong(fleet.entries);
    const left = fleet.entries.filter(entry => entry !== home);
    fleet.kill(home);
    const unseen = await fleet.peakOver(1_000);
    for (const entry of left) {
      fleet.show(entry, peer => (peer === home ? 'gone' : 'live'));
    }
    const moved = await fleet.peakOver(TTL_MS + LONGEST_MS);
    const settled = await fleet.peakOver(10_000);
    const allowances = left.length * allowanceSlots(entryCount);
    expect(unseen).toBeLessThanOrEqual(MAX_RUNNING + allowances);
    expect(moved).toBeLessThanOrEqual(2 * MAX_RUNNING + allowances);
    expect(settled).toBeLessThanOrEqual(MAX_RUNNING);
    expect(settled).toBeGreaterThan(0.8 * MAX_RUNNING);
    await fleet.stop();
  });

  // Each half suspects the other and has its own home. If each home granted the
  // whole limit, it would be granted twice for as long as the cut lasts.
  it('are kept by two halves of the fleet that are cut off from each other', async () => {
    // Requests that run longer than the grants they were admitted from.
    const holdMs = 4_000;
    const fleet = await createLoaded(3, holdMs);
    const half = fleet.entries.length / 2;
    const halves = [fleet.entries.slice(0, half), fleet.entries.slice(half)];
    for (const a of halves[0]) {
      for (const b of halves[1]) fleet.faults.cut(a.address, b.address);
    }
    const unseen = await fleet.peakOver(5_000);
    for (const [index, own] of halves.entries()) {
      const other = new Set<LimitsEntry>(halves[1 - index]);
      for (const entry of own) {
        fleet.show(entry, peer => (other.has(peer) ? 'suspect' : 'live'));
      }
    }
    const moved = await fleet.peakOver(TTL_MS + 2 * holdMs);
    const parted = await fleet.peakOver(10_000);
    fleet.faults.healAll();
    for (const entry of fleet.entries) fleet.show(entry, () => 'live');
    const healed = await fleet.peakOver(TTL_MS + 2 * holdMs);
    const settled = await fleet.peakOver(10_000);
    const allowances = half * allowanceSlots(entryCount);
    expect(unseen).toBeLessThanOrEqual(MAX_RUNNING + allowances);
    expect(moved).toBeLessThanOrEqual(2 * MAX_RUNNING + allowances);
    expect(parted).toBeLessThanOrEqual(MAX_RUNNING);
    expect(parted).toBeGreaterThan(0.8 * MAX_RUNNING);
    expect(healed).toBeLessThanOrEqual(2 * MAX_RUNNING);
    expect(settled).toBeLessThanOrEqual(MAX_RUNNING);
    await fleet.stop();
  });
});

describe('an entry', () => {
  it('is granted slots in proportion to what it wants', async () => {
    const fleet = await createLimitsFleet({entries: 2, maxRunning: 60});
    const [busy, calm] = fleet.entries;
    fleet.startLoad(busy, {...LOAD, perSec: 200});
    fleet.startLoad(calm, {...LOAD, perSec: 20});
    await fleet.clock.runFor(30_000);
    const admitted = (entry: LimitsEntry): number =>
      entry.admitted / (entry.admitted + entry.refusals.length);
    expect(admitted(calm)).toBeGreaterThanOrEqual(admitted(busy));
    expect(busy.admitted).toBeGreaterThan(2 * calm.admitted);
    await fleet.stop();
  });

  it('gives up an unused grant after its time to live', async () => {
    const fleet = await createLimitsFleet({entries: 2, maxRunning: 4});
    const [first, second] = fleet.entries;
    const load = {holdMs: 100, tokens: 1, perSec: 0};
    for (let count = 0; count < 4; count++) fleet.request(first, load);
    await fleet.clock.runFor(2.5 * TTL_MS);
    for (let count = 0; count < 4; count++) fleet.request(second, load);
    await fleet.clock.runFor(100);
    expect(first.admitted).toBe(4);
    expect(second.admitted).toBe(4);
    await fleet.stop();
  });

  it('refuses a request of an organisation that is not configured', async () => {
    const fleet = await createLimitsFleet({entries: 2, maxRunning: 4});
    const outcome = await fleet.entries[0].kernel.ask(
      'limits',
      (reply: (value: unknown) => void) => ({
        kind: 'acquire',
        organisation: `not-${ORGANISATION}`,
        tokens: 1,
        reply,
      }),
    );
    expect(outcome).toMatchObject({__value: {code: 'not-found'}});
    await fleet.stop();
  });
});

describe('lost and late asks', () => {
  // Answers are lost and asks arrive twice. Each entry uses the last grant that
  // reached it, so the home must count no less than that grant.
  it('let no more run than the limit and the allowances', async () => {
    const options = {entries: 4, maxRunning: MAX_RUNNING, seed: 4};
    const fleet = await createLimitsFleet(options);
    fleet.faults.setDrops(0.2);
    fleet.faults.setDuplicates(0.3, {minMs: 100, maxMs: 1_900});
    for (const entry of fleet.entries) fleet.startLoad(entry, LOAD);
    const peak = await fleet.peakOver(60_000);
    const allowances = 4 * allowanceSlots(4);
    expect(peak).toBeLessThanOrEqual(MAX_RUNNING + allowances);
    await fleet.stop();
  });
});

describe('tokens', () => {
  it('are granted at the rate, plus a burst of a second and one ask', async () => {
    const tokensPerSec = 100_000;
    const options = {entries: 4, maxRunning: 1_000, tokensPerSec};
    const fleet = await createLimitsFleet(options);
    const load = {perSec: 50, holdMs: 200, tokens: 2_000};
    for (const entry of fleet.entries) fleet.startLoad(entry, load);
    const seconds = 30;
    await fleet.clock.runFor(seconds * 1_000);
    const taken = fleet.entries.reduce((sum, entry) => sum + entry.tokens, 0);
    expect(taken).toBeLessThanOrEqual(tokensPerSec * (seconds + 2));
    expect(taken).toBeGreaterThan(0.8 * tokensPerSec * seconds);
    await fleet.stop();
  });

  it('admit a prompt larger than the tokens of a second, then none for a while', async () => {
    const options = {entries: 2, maxRunning: 10, tokensPerSec: 100_000};
    const fleet = await createLimitsFleet(options);
    const [entry] = fleet.entries;
    const huge = {perSec: 0, holdMs: 10, tokens: 1_000_000};
    fleet.request(entry, huge);
    await fleet.clock.runFor(1_000);
    fleet.request(entry, huge);
    await fleet.clock.runFor(1_000);
    expect(entry.admitted).toBe(1);
    expect(entry.refusals).toHaveLength(1);
    await fleet.clock.runFor(8_000);
    fleet.request(entry, huge);
    await fleet.clock.runFor(1_000);
    expect(entry.admitted).toBe(2);
    await fleet.stop();
  });
});
