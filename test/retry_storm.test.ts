import {expect, test} from 'vitest';
import type {Ask} from '../standins/fleet_callers.js';
import {createMemoryFleet} from '../standins/memory_fleet.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';

const ENTRIES = 2;
const ENGINES = 6;
/** Default of the policy's `retryRatio`. */
const RETRY_RATIO = 0.2;
/** Number of retries that each entry may make at once after a quiet period. */
const RETRY_BURST = 10;
/** Allowed delay of a final event after the deadline, in milliseconds. */
const LATE_SLACK_MS = 50;

const REQUEST: Ask = {
  kind: 'completion',
  organisation: 'prairie-sky',
  promptTokens: 4_000,
  maxTokens: 20,
  timeLimitMs: 30_000,
  repeatable: true,
  priority: 1,
};

/**
 * Counts runs by the engines' own counters; runs sent to stopped engines never
 * ran.
 */
function countRuns(fleet: MemoryFleet) {
  const runs = fleet.engines.flatMap(({model}) =>
    Object.entries(model.counts().runsStarted),
  );
  const attempts = runs.reduce((sum, [, count]) => sum + count, 0);
  const ids = runs.map(([runId]) => runId.split('.')[0]);
  return {attempts, requests: new Set(ids).size};
}

async function submitRequests(
  fleet: MemoryFleet,
  count: number,
): Promise<void> {
  for (let at = 0; at < count; at++) {
    fleet.submit(at % ENTRIES, REQUEST);
    await fleet.clock.runFor(5);
  }
}

test('retries stay within their budget when half of the engines fail under load', async () => {
  // Retries of the runs of three lost engines would overload the other three
  // and so cause more retries. The budget must limit them to a share.
  const fleet = createMemoryFleet({
    seed: 1,
    entries: ENTRIES,
    engines: ENGINES,
    services: 0,
    failureDomains: ['hall-north', 'hall-south'],
  });
  await fleet.start();
  await submitRequests(fleet, 300);
  for (const engine of fleet.engines.slice(0, ENGINES / 2)) engine.kill();
  await submitRequests(fleet, 40);
  await fleet.clock.runFor(REQUEST.timeLimitMs + LATE_SLACK_MS);
  const {attempts, requests} = countRuns(fleet);
  expect(attempts).toBeGreaterThan(requests);
  expect(attempts).toBeLessThanOrEqual(
    requests * (1 + RETRY_RATIO) + ENTRIES * RETRY_BURST,
  );
  for (const one of fleet.tracked) {
    expect(one.finals).toBe(1);
    expect(one.endedAt).toBeLessThanOrEqual(one.deadlineAt + LATE_SLACK_MS);
  }
  expect(fleet.violations).toEqual([]);
  fleet.stop();
});
