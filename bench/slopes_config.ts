/** What the configuration costs: by organisations, and by changes a second. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {DEMO_SHAPE} from '../demo/fleet_plan.js';
import type {Fleet} from '../demo/fleet_runner.js';
import {patchConfig} from './slopes_load.js';
import {mean} from './slopes_members.js';
import type {WithFleet} from './slopes_members.js';
import {
  countsBetween,
  daemonsOf,
  memoryOf,
  ratesOf,
  storeCounts,
} from './slopes_readings.js';
import type {Rates} from './slopes_readings.js';
import {createRecorder} from './slopes_record.js';
import type {Recorder} from './slopes_record.js';

const SHAPE = {...DEMO_SHAPE, entries: 3, engines: 3, services: 0};
const SETTLE_MS = 8_000;
const QUIET_MS = 8_000;
const CHANGES = 8;

function organisationNamed(i: number): string {
  return `organisation-${String(i).padStart(4, '0')}`;
}

/** In the form of a hash of a generated key; no key has it. */
function keyHash(organisation: number, key: number): string {
  const last = `${organisation}${key}`.padStart(64, '0');
  return `sha256$${'ab'.repeat(16)}$${last}`;
}

/** Adds organisations with three keys each, as real ones have. */
async function addOrganisations(
  fleet: Fleet,
  base: number,
  from: number,
  to: number,
): Promise<number> {
  const added = Array.from({length: to - from}, (_, i) => [
    organisationNamed(from + i),
    {
      keyHashes: [1, 2, 3].map(key => keyHash(from + i, key)),
      weight: 1,
      maxRunning: 64,
      tokensPerSec: 100_000,
    },
  ]);
  return patchConfig(fleet, base, {organisations: Object.fromEntries(added)});
}

/** Changes one organisation after the other, evenly spaced. */
async function change(fleet: Fleet, base: number, perSec: number) {
  const startedAt = performance.now();
  let number = base;
  for (let i = 0; i < CHANGES; i++) {
    const dueMs = startedAt + (i / perSec) * 1000 - performance.now();
    if (dueMs > 0) await sleep(dueMs);
    number = await patchConfig(fleet, number, {
      organisations: {[organisationNamed(i)]: {weight: 2 + number}},
    });
  }
  // Whoever hears of the last one by heartbeat still fetches it.
  await sleep(4_000);
  return {number, seconds: (performance.now() - startedAt) / 1000};
}

/** The entry that was asked is shown apart by the heading `asked`. */
function noteRates(
  recorder: Recorder,
  fleet: Fleet,
  names: readonly string[],
  rates: readonly Rates[],
  toFigure: (rate: Rates, quiet: Rates) => readonly [number, number],
  quiet: readonly Rates[],
  x: number,
): void {
  const [asked] = daemonsOf(fleet, 'entry');
  for (const role of ['entry', 'side'] as const) {
    const ofRole = daemonsOf(fleet, role);
    const figures = names.flatMap((name, i) => {
      const rate = rates[i];
      const before = quiet[i];
      if (name === asked || !ofRole.includes(name)) return [];
      return rate && before ? [toFigure(rate, before)] : [];
    });
    const put = (figure: string, unit: string, y: number) =>
      recorder.note(role, figure, unit, [x, y]);
    put('processor per change', 'ms', mean(figures.map(([cpu]) => cpu)));
    put('control bytes per change', 'B', mean(figures.map(([, b]) => b)));
  }
  const at = names.indexOf(asked ?? '');
  const rate = rates[at];
  const before = quiet[at];
  if (rate === undefined || before === undefined) return;
  recorder.note('entry', 'processor per change where asked', 'ms', [
    x,
    toFigure(rate, before)[0],
  ]);
}

async function noteChanges(
  fleet: Fleet,
  recorder: Recorder,
  base: number,
  perSec: number,
  x: number,
): Promise<number> {
  const names = [...daemonsOf(fleet, 'entry'), ...daemonsOf(fleet, 'side')];
  const quiet = await ratesOf(fleet, names, () => sleep(QUIET_MS));
  const counted = await storeCounts(fleet);
  let done = {number: base, seconds: 1};
  const rates = await ratesOf(fleet, names, async () => {
    done = await change(fleet, base, perSec);
  });
  const calls = countsBetween(counted, await storeCounts(fleet));
  const {seconds} = done;
  const perChange = (more: number) => (more * seconds) / CHANGES;
  noteRates(
    recorder,
    fleet,
    names,
    rates,
    (rate, before) => [
      perChange((rate.cpuPercent - before.cpuPercent) * 10),
      perChange(rate.controlBytes - before.controlBytes),
    ],
    quiet,
    x,
  );
  for (const [name, count] of calls) {
    if (!/^(config|operator|all)/.test(name)) continue;
    recorder.note('object-api', `calls per change: ${name}`, '1', [
      x,
      count / CHANGES,
    ]);
  }
  return done.number;
}

export function sweepOrganisations(withFleet: WithFleet) {
  const recorder = createRecorder(
    'organisations',
    'organisations',
    '3 entries and 3 sides; three keys each; 8 changes, 1 a second',
  );
  return withFleet(SHAPE, async fleet => {
    let number = 1;
    let have = 0;
    for (const organisations of [10, 100, 750, 1_500]) {
      number = await addOrganisations(fleet, number, have, organisations);
      have = organisations;
      await sleep(SETTLE_MS);
      for (const role of ['entry', 'side'] as const) {
        const read = await memoryOf(fleet, daemonsOf(fleet, role)[2] ?? '');
        recorder.note(role, 'heap', 'MB', [organisations, read.heapMb]);
        recorder.note(role, 'resident', 'MB', [organisations, read.rssMb]);
      }
      number = await noteChanges(fleet, recorder, number, 1, organisations);
    }
    return recorder.sweep();
  });
}

export function sweepChanges(withFleet: WithFleet) {
  const recorder = createRecorder(
    'changes',
    'changes a second',
    '3 entries and 3 sides, 1,500 organisations',
  );
  return withFleet(SHAPE, async fleet => {
    let number = await addOrganisations(fleet, 1, 0, 1_500);
    await sleep(SETTLE_MS);
    for (const perSec of [0.5, 1, 2]) {
      number = await noteChanges(fleet, recorder, number, perSec, perSec);
    }
    return recorder.sweep();
  });
}
