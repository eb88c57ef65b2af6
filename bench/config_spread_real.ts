/**
 * Confirms the first figure of `config_spread` with real processes on one
 * machine: times are taken from the processes' own log lines. Runs from the
 * build folder, as the processes do. Prints JSON; times in milliseconds.
 */
import {mkdtempSync, readFileSync, readdirSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {DEMO_SHAPE} from '../demo/fleet_plan.js';
import {startFleet} from '../demo/fleet_runner.js';
import type {Fleet} from '../demo/fleet_runner.js';
import {CONFIG_EVENTS} from '../src/utils/events.js';
import {quantile} from './config_spread.js';

const SHAPE = {...DEMO_SHAPE, entries: 3, engines: 5, services: 2};
const PROCESSES = 10;
const PATCHES = 12;
const WAIT_MS = 3_000;
const FIRST_BASE = 1;

interface LogLine {
  readonly time: string;
  readonly event: number;
  readonly node: string;
  readonly number?: number;
}

async function patch(fleet: Fleet, base: number): Promise<void> {
  const {url, token} = fleet.file.operator;
  const change = {organisations: {'volunteers-west': {weight: base + 1}}};
  const res = await request(`${url}/operator/v1/config/patches`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      patchId: `spread-${base}`,
      base,
      form: 'merge-patch',
      patch: JSON.stringify(change),
      dryRun: false,
      operator: 'bench',
    }),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`${res.statusCode}: ${text}`);
}

function readLines(dir: string): readonly LogLine[] {
  return readdirSync(dir)
    .filter(name => name.endsWith('.log'))
    .flatMap(name => readFileSync(join(dir, name), 'utf8').split('\n'))
    .filter(line => line.startsWith('{'))
    .map(line => JSON.parse(line) as LogLine);
}

function timesOf(lines: readonly LogLine[], number: number) {
  const of = (event: number) =>
    lines.filter(line => line.event === event && line.number === number);
  const [accepted] = of(CONFIG_EVENTS.patchAccepted.number);
  if (accepted === undefined) return [];
  return of(CONFIG_EVENTS.adopted.number)
    .filter(({node}) => node !== accepted.node)
    .map(({time}) => Date.parse(time) - Date.parse(accepted.time));
}

/** Starts ten processes and their stand-ins, and ends them. */
export async function benchConfigSpreadReal(): Promise<void> {
  const dir = mkdtempSync(join(tmpdir(), 'onyxloft-spread-'));
  const fleet = await startFleet(SHAPE, dir);
  try {
    for (let base = FIRST_BASE; base < FIRST_BASE + PATCHES; base++) {
      await patch(fleet, base);
      await sleep(WAIT_MS);
    }
  } finally {
    await fleet.stop();
  }
  const lines = readLines(dir);
  const perPatch = Array.from({length: PATCHES}, (_, at) =>
    timesOf(lines, FIRST_BASE + 1 + at),
  );
  const lasts = perPatch.map(times => Math.max(...times));
  console.log(
    JSON.stringify({
      processes: PROCESSES,
      patches: PATCHES,
      processP50Ms: quantile(perPatch.flat(), 0.5),
      processP99Ms: quantile(perPatch.flat(), 0.99),
      everywhereP50Ms: quantile(lasts, 0.5),
      everywhereMaxMs: Math.round(Math.max(...lasts)),
      missing: perPatch.reduce(
        (sum, times) => sum + PROCESSES - 1 - times.length,
        0,
      ),
    }),
  );
  rmSync(dir, {recursive: true});
}
