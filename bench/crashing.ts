/**
 * Requests that crash replicas, on a model of entries and replicas:
 * `npm run bench -- crashing [--way NAME] [--seeds N] [--first SEED]
 * [--entries N,N] [--json FILE]`. Tells what one such request costs, and what
 * the others pay, by size and way.
 */
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {runCrashes} from './direct/crash_model.js';
import type {CrashFigures, CrashScenario} from './direct/crash_model.js';
import {CRASH_WAYS} from './direct/crash_ways.js';

const USAGE =
  'usage: bench crashing [--way NAME] [--seeds N] [--first SEED] [--entries N,N] [--json FILE]';
const REPLICAS_PER_ENTRY = 2;
const DURATION_MS = 40_000;

/** Replicas that no request crashes, twice. */
const STORMS = [
  {atMs: 8_000, share: 0.15},
  {atMs: 16_000, share: 0.15},
];

type Load = Pick<
  CrashScenario,
  'killers' | 'storms' | 'badParts' | 'restartAtMs'
>;
const LOADS: Readonly<Record<string, Load>> = {
  killers: {killers: 4, storms: []},
  storms: {killers: 0, storms: STORMS},
  both: {killers: 4, storms: STORMS},
  part: {killers: 0, storms: [], badParts: ['after-shared']},
  'first part': {killers: 0, storms: [], badParts: ['first']},
  'two parts': {
    killers: 0,
    storms: [],
    badParts: ['after-shared', 'after-shared'],
  },
  'parts and storms': {
    killers: 0,
    storms: STORMS,
    badParts: ['after-shared', 'first'],
  },
  'part and restart': {
    killers: 0,
    storms: STORMS,
    badParts: ['after-shared'],
    restartAtMs: STORMS[0].atMs - 100,
  },
};

/** Over several seeds; what there is none of is undefined. */
interface Row {
  readonly way: string;
  readonly load: string;
  readonly entries: number;
  readonly endedMean: number | undefined;
  readonly endedMost: number | undefined;
  readonly sentLateMost: number | undefined;
  /** Killers that not every entry refused at the end. */
  readonly neverKnown: number;
  /** Of the others, the slowest. */
  readonly allKnowMsMost: number | undefined;
  readonly innocents: number;
  readonly innocentsRefused: number;
  readonly refusedPer100k: number;
  readonly bytesPerEntryPerSMost: number;
}

export async function benchCrashing(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      way: {type: 'string'},
      seeds: {type: 'string', default: '4'},
      first: {type: 'string', default: '1'},
      entries: {type: 'string', default: '5,29,68'},
      json: {type: 'string'},
    },
  });
  const ways = Object.keys(CRASH_WAYS).filter(
    name => values.way === undefined || name === values.way,
  );
  const sizes = values.entries.split(',').map(Number);
  const seeds = Number(values.seeds);
  const first = Number(values.first);
  const isWrong =
    ways.length === 0 ||
    !(seeds >= 1) ||
    !Number.isInteger(first) ||
    sizes.some(size => !(size >= 1));
  if (isWrong) {
    console.error(`${USAGE}\nways: ${Object.keys(CRASH_WAYS).join(', ')}`);
    process.exitCode = 2;
    return;
  }
  const rows: Row[] = [];
  for (const entries of sizes) {
    for (const load of Object.keys(LOADS)) {
      for (const way of ways) {
        const runs: CrashFigures[] = [];
        for (let seed = first; seed < first + seeds; seed++) {
          runs.push(
            await runCrashes({
              ...LOADS[load],
              entries,
              replicas: entries * REPLICAS_PER_ENTRY,
              durationMs: DURATION_MS,
              seed,
              way: CRASH_WAYS[way],
            }),
          );
        }
        rows.push({way, load, entries, ...summaryOf(runs)});
        console.error(`${way}, ${load}, ${entries} entries: done`);
      }
    }
  }
  console.table(rows);
  const {json} = values;
  if (json !== undefined) writeFileSync(json, JSON.stringify(rows, null, 2));
}

type Summary = Omit<Row, 'way' | 'load' | 'entries'>;

function summaryOf(runs: readonly CrashFigures[]): Summary {
  const ended = runs.flatMap(run => run.ended);
  const known = runs.flatMap(run => run.allKnowMs);
  const innocents = sum(runs.map(run => run.innocents));
  const innocentsRefused = sum(runs.map(run => run.innocentsRefused));
  return {
    endedMean: ended.length > 0 ? round(sum(ended) / ended.length) : undefined,
    endedMost: most(ended),
    sentLateMost: most(runs.flatMap(run => run.sentLate)),
    neverKnown: known.filter(ms => !Number.isFinite(ms)).length,
    allKnowMsMost: most(known.filter(Number.isFinite)),
    innocents,
    innocentsRefused,
    refusedPer100k: round((innocentsRefused / innocents) * 100_000),
    bytesPerEntryPerSMost: most(runs.map(run => run.bytesPerEntryPerS)) ?? 0,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function most(values: readonly number[]): number | undefined {
  return values.length > 0 ? round(Math.max(...values)) : undefined;
}

function round(value: number): number {
  return Number(value.toFixed(2));
}
