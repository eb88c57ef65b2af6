/**
 * Real entries whose replicas fall silent and go on, while entries are stopped
 * and the configuration changes.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {CHANGE_KINDS} from '../fault_soak/silent_replicas/silence_config.js';
import {runSilences} from '../fault_soak/silent_replicas/silence_run.js';
import {PART_KINDS} from '../fault_soak/silent_replicas/silent_parts.js';

const DURATION_MS = 12_000;
const PARTS_MS = 10_000;

let dir: string;
beforeEach(() => {
  dir = mkdtempSync(join(tmpdir(), 'silence-soak-test-'));
});
afterEach(() => rmSync(dir, {recursive: true}));

// Guards against requests, connections and runs that are lost or kept for good
// while the store or entries are silent beside a new configuration.
test('end each request while the store and entries fall silent', async () => {
  const report = await runSilences({
    seed: 3,
    processes: 3,
    silences: false,
    parts: PART_KINDS,
    other: 'none',
    changes: CHANGE_KINDS,
    stops: false,
    durationMs: PARTS_MS,
    dir,
  });
  expect(report.violations).toEqual([]);
  expect(Object.keys(report.parts).length).toBeGreaterThan(1);
  expect(Object.keys(report.changes).length).toBeGreaterThan(3);
  expect(report.byEnd['stream whole']).toBeGreaterThan(10);
});

// Guards against answers that are ended for a silence, though their replica
// goes on, and against callers that are kept at a replica that is gone.
test('end no answer for a silence, and keep no caller for nothing', async () => {
  const report = await runSilences({
    seed: 4,
    processes: 3,
    changes: CHANGE_KINDS,
    stops: true,
    durationMs: DURATION_MS,
    dir,
  });
  expect(report.violations).toEqual([]);
  expect(Object.keys(report.silences).length).toBeGreaterThan(2);
  expect(Object.keys(report.changes).length).toBeGreaterThan(3);
  expect(report.stops).toBeGreaterThan(1);
  expect(report.hangUps).toBeGreaterThan(0);
  expect(report.byEnd['stream whole']).toBeGreaterThan(10);
  expect(report.byEnd['pair whole']).toBeGreaterThan(10);
  expect(report.besideSilence.streams).toBeGreaterThan(20);
});
