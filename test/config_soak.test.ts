/**
 * Real entries as processes while the configuration changes in series. Each
 * answer is held to the versions that the store had acknowledged.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {runConfigChanges} from '../fault_soak/config_changes/config_run.js';

const CALM_MS = 8_000;
const TROUBLED_MS = 40_000;

let dir: string;
beforeEach(() => {
  dir = mkdtempSync(join(tmpdir(), 'config-soak-test-'));
});
afterEach(() => rmSync(dir, {recursive: true}));

describe('entries in touch with the store', () => {
  test('follow the newest version of a configuration that changes in series', async () => {
    const report = await runConfigChanges({
      seed: 2,
      processes: 3,
      durationMs: CALM_MS,
      trouble: 'none',
      dir,
    });
    expect(report.late).toEqual([]);
    expect(report.unserved).toEqual({});
    expect(report.judged).toBeGreaterThan(300);
  });

  // Guards against answers by an outdated version after open connections to the
  // store fell silent for good.
  test('follow the newest version after their connections fell silent', async () => {
    const report = await runConfigChanges({
      seed: 1,
      processes: 5,
      durationMs: TROUBLED_MS,
      trouble: 'silence',
      dir,
    });
    expect(report.late.filter(({inTouch}) => inTouch)).toEqual([]);
    expect(report.judged).toBeGreaterThan(1_000);
  });
});
