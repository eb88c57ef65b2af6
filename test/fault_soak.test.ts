/**
 * A short run of the fault soak, and the seeds that once failed. Each runs two
 * or more real entries as processes for some seconds.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {drawFaults} from '../fault_soak/plan/draw_faults.js';
import {runSoak} from '../fault_soak/soak_run.js';
import type {SoakReport} from '../fault_soak/soak_run.js';
import {createSeededRandom} from '../standins/seeded_random.js';

const SHORT_MS = 6_000;
/** Limits of replicas bind some seconds after they are named. */
const LIMITED_MS = 15_000;
/** Duration of the run; nothing may be sent 5 s after an evacuation. */
const EVACUATED_MS = 20_000;

let dir: string;
beforeEach(() => {
  dir = mkdtempSync(join(tmpdir(), 'fault-soak-test-'));
});
afterEach(() => rmSync(dir, {recursive: true}));

describe('the fault soak', () => {
  test('draws the same faults from the same seed', () => {
    const shape = {entries: 3, replicas: 7, durationMs: 60_000};
    const draw = (seed: number) => drawFaults(createSeededRandom(seed), shape);
    expect(draw(77)).toEqual(draw(77));
    expect(draw(77)).not.toEqual(draw(78));
  });

  test('finds no promise broken in a short run', async () => {
    const report = await runSoak({
      seed: 10,
      processes: 2,
      durationMs: SHORT_MS,
      dir,
    });
    expect(report.violations).toEqual([]);
    expect(report.faults).toBeGreaterThan(0);
    expect(report.served).toBeGreaterThan(50);
  });

  // Guards against entries that exceed a limit after one of them was killed,
  // paused or cut off. Entries that get little processor time may leave limited
  // replicas to others; with the second seed all replicas of a service have one.
  test('finds that entries under faults keep the limits of replicas', async () => {
    const reports: SoakReport[] = [];
    for (const seed of [5003, 6407]) {
      const report = await runSoak({
        seed,
        processes: 3,
        durationMs: LIMITED_MS,
        only: 'server-limit',
        dir: mkdtempSync(join(dir, 'seed-')),
      });
      expect(report.violations).toEqual([]);
      reports.push(report);
    }
    // The figures show what kept the windows from being judged.
    const figures = JSON.stringify(reports);
    const windows = reports.map(({limitedWindows}) => limitedWindows);
    expect(Math.max(...windows), figures).toBeGreaterThan(0);
  }, 120_000);

  // Guards against entries that send to a failure domain after its evacuation,
  // by the replicas' count, while the store fails or entries are killed.
  test('finds that entries under faults send nothing to evacuated domains', async () => {
    const report = await runSoak({
      seed: 7003,
      processes: 3,
      durationMs: EVACUATED_MS,
      only: 'evacuation',
      dir,
    });
    expect(report.violations).toEqual([]);
    expect(report.evacuationsJudged).toBeGreaterThan(0);
  });

  // Guards against a cold replica that crashes under the sum of what entries
  // send it while some are killed, paused or cut off from the store.
  test('finds that entries under faults keep the limits of cold replicas', async () => {
    const report = await runSoak({
      seed: 7005,
      processes: 3,
      durationMs: 9_000,
      only: 'cold-replica',
      dir,
    });
    expect(report.violations).toEqual([]);
    expect(report.cold.requests).toBeGreaterThan(0);
  });

  // Guards against entries that do not heed what replicas say in their answers.
  test.each(['server-leaving', 'retry-after'] as const)(
    'finds that entries under faults heed replicas under %s',
    async only => {
      const report = await runSoak({
        seed: 6001,
        processes: 3,
        durationMs: LIMITED_MS,
        only,
        dir,
      });
      expect(report.violations).toEqual([]);
      expect(report.noticesJudged).toBeGreaterThan(0);
    },
  );
});
