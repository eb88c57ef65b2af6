/** Requests that crash replicas, on the model of entries and replicas. */
import {describe, expect, test} from 'vitest';
import {runCrashes} from '../bench/direct/crash_model.js';
import {CRASH_WAYS} from '../bench/direct/crash_ways.js';

const [way] = Object.values(CRASH_WAYS);
const STORMS = [
  {atMs: 8_000, share: 0.15},
  {atMs: 16_000, share: 0.15},
];

const run = (killers: number, storms: typeof STORMS, seed: number) =>
  runCrashes({
    entries: 5,
    replicas: 10,
    killers,
    storms,
    durationMs: 30_000,
    seed,
    way,
  });

describe.each([1, 2, 3])('what requests that crash replicas cost, %d', seed => {
  // Unknown, each of them ends a replica every second or so.
  test('is five replicas each, and all entries know within a second', async () => {
    const {ended, sentLate, allKnowMs} = await run(4, [], seed);
    expect(Math.max(...ended)).toBeLessThanOrEqual(5);
    expect(Math.max(...sentLate)).toBeLessThanOrEqual(3);
    expect(Math.max(...allKnowMs)).toBeLessThan(1_000);
  });

  // Crashes that no request causes must not be held against any.
  test('is no refusal of another request in storms of crashes', async () => {
    expect((await run(0, STORMS, seed)).innocentsRefused).toBe(0);
  });
});
