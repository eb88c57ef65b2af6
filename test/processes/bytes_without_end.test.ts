/** The built program while other parties send it bytes without end. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import type {FloodName} from '../../fault_soak/byte_floods/flood_forms.js';
import {runFloods} from '../../fault_soak/byte_floods/floods_run.js';
import type {FloodPart} from '../../fault_soak/byte_floods/floods_run.js';

const DURATION_MS = 4_000;
const RUN_LIMIT_MS = 90_000;
const MEMORY_MB = 250;

let dir: string;
beforeEach(() => {
  dir = mkdtempSync(join(tmpdir(), 'bytes-without-end-'));
});
afterEach(() => rmSync(dir, {recursive: true}));

const play = (only: FloodPart, form: FloodName, status?: 200 | 500) =>
  runFloods({
    seed: 1,
    processes: 1,
    durationMs: DURATION_MS,
    only,
    form,
    status,
    perSecond: 20,
    memoryMb: MEMORY_MB,
    dir,
  });

const FLOODS = [
  ['calls', 'byte-chunks', 200],
  ['calls', 'byte-chunks', 500],
  ['streams', 'byte-chunks', 200],
  ['streams', 'byte-chunks', 500],
  ['streams', 'line-chunks', 200],
  ['streams', 'whole-events', 200],
  ['unread', 'byte-chunks', 200],
] as const;

describe('replicas that answer without an end', () => {
  // Guards against one faulty replica that ends the process, or takes the
  // processor from the requests of all others.
  test.each(FLOODS)(
    'to %s in %s with status %i leave calm requests served',
    async (part, form, status) => {
      const report = await play(part, form, status);
      expect(report.violations).toEqual([]);
      expect(report.floods).toBeGreaterThan(3);
    },
    RUN_LIMIT_MS,
  );
});

// Guards against callers, or the store, that take the processor from all others.
test.each([
  ['callers', 'byte-chunks'],
  ['callers', 'one-chunk'],
  ['store', 'byte-chunks'],
] as const)(
  'floods of the %s in %s leave calm requests served',
  async (part, form) => {
    const report = await play(part, form);
    expect(report.violations).toEqual([]);
  },
  RUN_LIMIT_MS,
);

// Guards against bounds that take a sound answer or stream for a flood.
test(
  'sound answers in chunks of one byte come whole beside streams',
  async () => {
    const report = await play('sound', 'byte-chunks');
    expect(report.violations).toEqual([]);
    expect(report.pieces).toBeGreaterThan(1);
  },
  RUN_LIMIT_MS,
);
