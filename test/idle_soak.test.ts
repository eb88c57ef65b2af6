/**
 * Real entries whose limits change while connections of callers idle and
 * requests are under way.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {runIdle} from '../fault_soak/idle_connections/idle_run.js';

let dir: string;
beforeEach(() => {
  dir = mkdtempSync(join(tmpdir(), 'idle-soak-test-'));
});
afterEach(() => rmSync(dir, {recursive: true}));

// Guards against entries that close a connection by the idle limit before a
// raise, under a request of a caller that goes by the raised one.
test('keep idle connections for as long as a raised limit allows', async () => {
  const report = await runIdle({
    seed: 3,
    processes: 2,
    kind: 'idle-raised',
    ladder: [1_000, 8_000],
    beside: 'none',
    ignoresStated: true,
    durationMs: 15_000,
    dir,
  });
  expect(report.violations).toEqual([]);
  expect(report.versions).toBeGreaterThan(1);
  expect(report.reused).toBeGreaterThan(100);
});

// Guards against requests that get neither an answer nor a refusal beside new
// limits, and against connections that are kept for ever.
test('answer each request that is within the limits that callers can know', async () => {
  const report = await runIdle({
    seed: 5,
    processes: 2,
    ladder: [500, 1_000, 2_000],
    durationMs: 15_000,
    dir,
  });
  expect(report.violations).toEqual([]);
  expect(report.versions).toBeGreaterThan(3);
  expect(report.reused).toBeGreaterThan(100);
  expect(report.sitters['closed']).toBeGreaterThan(0);
});
