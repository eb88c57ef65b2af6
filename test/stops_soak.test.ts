/**
 * Real entries that are stopped in turn, while replicas are removed and another
 * program writes unreadable records.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {runStops} from '../fault_soak/stops_and_records/stops_run.js';

const DURATION_MS = 15_000;

let dir: string;
beforeEach(() => {
  dir = mkdtempSync(join(tmpdir(), 'stops-soak-test-'));
});
afterEach(() => rmSync(dir, {recursive: true}));

// Guards against requests that are read and dropped at a stop, and against
// removals that another program's records hide.
test('answer all they have read, and use no replica that was removed', async () => {
  const report = await runStops({
    seed: 3,
    processes: 3,
    durationMs: DURATION_MS,
    dir,
  });
  expect(report.violations).toEqual([]);
  expect(report.stops).toBeGreaterThan(0);
  expect(report.removals).toBeGreaterThan(1);
  expect(report.foreignWrites).toBeGreaterThan(20);
  expect(report.byStatus['200']).toBeGreaterThan(100);
});
