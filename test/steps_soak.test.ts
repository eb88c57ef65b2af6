/** Processes of the built program in which errors are thrown in steps. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {runSteps} from '../fault_soak/failing_steps/steps_run.js';

/** Two starts without a configuration, and errors in between. */
const DURATION_MS = 16_000;
/** A run whose entries don't serve waits for them. */
const RUN_LIMIT_MS = 120_000;

let dir: string;
beforeEach(() => {
  dir = mkdtempSync(join(tmpdir(), 'steps-soak-test-'));
});
afterEach(() => rmSync(dir, {recursive: true}));

// Guards against an error in a step that is nobody's request, or a start without a
// configuration, that ends a process or costs callers their answers.
test(
  'errors in steps and starts without a configuration cost no caller an answer',
  async () => {
    const report = await runSteps({
      seed: 1,
      processes: 3,
      durationMs: DURATION_MS,
      dir,
    });
    expect(report.violations).toEqual([]);
    expect(report.refusedWithout).toBeGreaterThan(50);
    expect(report.served['200']).toBeGreaterThan(200);
    const thrown = Object.values(report.thrown).reduce((sum, it) => sum + it);
    expect(thrown).toBeGreaterThan(100);
  },
  RUN_LIMIT_MS,
);
