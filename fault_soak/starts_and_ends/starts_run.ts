/**
 * One run: processes of the built program that end and start in series under
 * obstacles and signals, beside odd records, endless answers and bursts.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {seeded} from '../plan/seeded.js';
import type {Random} from '../../src/types/runtime.js';
import {countBy} from '../silent_replicas/silence_report.js';
import {TIMING} from '../soak_fleet.js';
import {startForeignWriter} from '../stops_and_records/foreign_writer.js';
import type {StoreProcess} from '../stops_and_records/store_process.js';
import {useConnection} from '../stops_and_records/pipelining_caller.js';
import {
  abortAtExit,
  createEntries,
  factsOf,
  isSteady,
  peakMb,
} from './all_entries.js';
import {askEndless, playBurst} from './bursts.js';
import type {Burst} from './bursts.js';
import {ENDLESS_KINDS, endlessly} from './endless_answers.js';
import {SERIES_PARTS} from './entry_series.js';
import type {EntrySeries} from './entry_series.js';
import {createGate} from './gate.js';
import type {Gate} from './gate.js';
import {ODD_RECORDS} from './odd_records.js';
import type {PartsShape} from './play_parts.js';
import {buildProgram} from './program_build.js';
import {
  byStatus,
  judgeCallers,
  judgeLife,
  judgeWindows,
  startMs,
} from './starts_judge.js';
import type {CallerOutcome} from './starts_judge.js';
import {startStartsFleet} from './starts_fleet.js';
import type {StartsFleet} from './starts_fleet.js';
import {playTroubles} from './store_troubles.js';
import type {TroubleReport} from './store_troubles.js';
import {findUnserved} from './unserved.js';

export const PARTS = [
  ...SERIES_PARTS,
  'records',
  'endless',
  'bursts',
  'store',
] as const;
export type Part = (typeof PARTS)[number];

export interface StartsReport {
  readonly seed: number;
  readonly memoryMb: number;
  /** Processes that were started. */
  readonly starts: number;
  /** Largest resident size of any of them, in megabytes. */
  readonly peakMb: number;
  /** Longest time from the end of its obstacles until one was ready. */
  readonly slowestStartMs: number;
  /** Longest time until a whole fleet that is left alone was ready. */
  readonly slowestReadyMs: number;
  /** Windows in which a ready fleet was left alone. */
  readonly windows: number;
  /** What was played, by name. */
  readonly played: Readonly<Record<string, number>>;
  readonly foreignWrites: number;
  readonly small: Readonly<Record<string, number>>;
  /** Small ones beside a burst at the same process in service. */
  readonly beside: Readonly<Record<string, number>>;
  /** Connections that processes closed unread in floods, by their logs. */
  readonly closedInFloods: number;
  /** Large ones at processes in service. */
  readonly large: Readonly<Record<string, number>>;
  readonly brokenByKind: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
  /** 99th percentile of this process's own delay, in milliseconds. */
  readonly ownDelayMs: number;
  /** The same of the store's process. */
  readonly storeDelayMs: number;
}

/** Limits of memory of the users' sheets. */
const MEMORY_MB = [160, 250, 350] as const;
const NO_TROUBLES: TroubleReport = {
  played: [],
  away: [],
  windows: [],
  slowestReadyMs: 0,
  violations: [],
};
const CALLERS_PER_ENTRY = 2;
const RECONNECT_MS = 50;
const MEAN_BURST_GAP_MS = 1_000;
const BURST_LEAD_MS = 200;
const ENDLESS_CALLERS = 4;
const GATE_POLL_MS = 100;
const PROBE_LIMIT_MS = 15_000;
const PROBES = ['/once/probe'];
/** Of those that are not ended, so that bursts meet one in service. */
const STEADY_AT = 2;

export async function runStarts(
  shape: PartsShape<Part>,
): Promise<StartsReport> {
  const {seed, processes, durationMs, only, program, dir} = shape;
  const plays = (part: Part) => only === undefined || only === part;
  const fleet = await startStartsFleet();
  const memoryMb = MEMORY_MB[seed % MEMORY_MB.length];
  const gate = createGate();
  const some = SERIES_PARTS.filter(plays);
  const entries = await createEntries({
    seed,
    processes,
    dir,
    build: buildProgram(dir, program),
    store: fleet.store.address,
    memoryMb,
    gate,
    partsOf: at => (only === undefined && isSteady(at, STEADY_AT) ? [] : some),
    metricsHeldAt: plays('addresses') ? 0 : undefined,
  });
  const abort = abortAtExit(entries);
  const writer = plays('records')
    ? startForeignWriter(
        whileOpen(gate, fleet.store),
        fleet.names,
        seeded(seed, 1),
        ODD_RECORDS,
      )
    : undefined;
  const delay = monitorEventLoopDelay();
  try {
    let isEnding = false;
    let isOver = false;
    const over = () => isOver;
    let ids = 0;
    const nextId = () => `start-${++ids}`;
    const outcomes: CallerOutcome[] = [];
    await Promise.all(entries.map(entry => entry.begin()));
    await Promise.all(entries.map(entry => entry.settle()));
    delay.enable();
    const callers = callInSeries(entries, nextId, outcomes, over);
    const series = entries.map(entry => entry.play(over));
    const bursts = plays('bursts')
      ? playBursts(entries, seeded(seed, 2), nextId, outcomes, over, gate)
      : Promise.resolve([]);
    const endless = plays('endless')
      ? playEndless(fleet, entries, seeded(seed, 3), nextId, over, gate)
      : Promise.resolve([]);
    const troubles = plays('store')
      ? playTroubles({
          store: fleet.store,
          entries,
          random: seeded(seed, 4),
          gate,
          isOver: () => isEnding,
        })
      : Promise.resolve(NO_TROUBLES);
    await sleep(durationMs);
    // The last window needs callers and restarts.
    isEnding = true;
    const {away, windows, ...store} = await troubles;
    isOver = true;
    await Promise.all(series);
    const played = [
      ...(await bursts).map(({kind}) => `burst ${kind}`),
      ...(await endless).map(kind => `endless ${kind}`),
      ...store.played,
    ];
    await Promise.all(entries.map(entry => entry.settle()));
    const unserved = await Promise.all(
      entries.map(it =>
        findUnserved(it.callers, PROBES, nextId, PROBE_LIMIT_MS),
      ),
    );
    await Promise.all(entries.map(entry => entry.finish()));
    await callers;

    const lives = factsOf(entries);
    const rules = {
      graceMs: TIMING.graceS * 1_000,
      observedTo: performance.now(),
      away,
    };
    const judged = judgeCallers(outcomes, {lives, bursts: await bursts, away});
    const violations = [
      ...lives.flatMap(life => judgeLife(life, rules)),
      ...unserved.flat(),
      ...judged.violations,
      ...store.violations,
      ...judgeWindows(windows, outcomes),
    ];
    const all = [...played, ...entries.flatMap(entry => entry.played)];
    const starts = lives.map(it => startMs(it, rules));
    return {
      seed,
      memoryMb,
      starts: lives.length,
      peakMb: peakMb(entries),
      slowestStartMs: Math.round(Math.max(...starts.filter(Number.isFinite))),
      slowestReadyMs: Math.round(store.slowestReadyMs),
      windows: windows.length,
      played: countBy(all.sort(), it => it),
      foreignWrites: writer?.writes() ?? 0,
      small: byStatus(outcomes.filter(({kind}) => kind === 'small')),
      beside: judged.beside,
      closedInFloods: judged.closedInFloods,
      large: judged.large,
      brokenByKind: countBy(violations, it => it.split(':')[0]),
      violations,
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
      storeDelayMs: (await fleet.store.look()).ownDelayMs,
    };
  } finally {
    writer?.stop();
    abort();
    await fleet.close();
  }
}

/** A writer of this store does nothing while the fleet is left alone. */
function whileOpen(
  gate: Gate,
  {put, remove}: StoreProcess,
): Pick<StoreProcess, 'put' | 'remove'> {
  const skip = () => Promise.resolve(performance.now());
  return {
    put: (kind, name, spec) =>
      gate.isClosed() ? skip() : put(kind, name, spec),
    remove: (kind, name) => (gate.isClosed() ? skip() : remove(kind, name)),
  };
}

async function callInSeries(
  entries: readonly EntrySeries[],
  nextId: () => string,
  outcomes: CallerOutcome[],
  isOver: () => boolean,
): Promise<void> {
  const call = async (entry: number): Promise<void> => {
    while (!isOver()) {
      await useConnection({
        entry,
        address: entries[entry].callers,
        nextId,
        isOver,
        onEnd: ({id, firstId, writtenAt: sentAt, endedAt, status}) => {
          // Those behind it end with the connection of one that is refused.
          if (id !== firstId) return;
          outcomes.push({kind: 'small', entry, sentAt, endedAt, status});
        },
      });
      await sleep(RECONNECT_MS);
    }
  };
  await Promise.all(
    entries.flatMap((_, entry) =>
      Array.from({length: CALLERS_PER_ENTRY}, () => call(entry)),
    ),
  );
}

async function playBursts(
  entries: readonly EntrySeries[],
  random: Random,
  nextId: () => string,
  outcomes: CallerOutcome[],
  isOver: () => boolean,
  gate: Gate,
): Promise<readonly Burst[]> {
  const bursts: Burst[] = [];
  const steady = entries.findIndex((_, at) => isSteady(at, STEADY_AT));
  while (!isOver()) {
    await sleep(BURST_LEAD_MS + random.next() * 2 * MEAN_BURST_GAP_MS);
    const drawn = Math.floor(random.next() * entries.length);
    const at = random.next() < 0.5 && steady >= 0 ? steady : drawn;
    const {callers} = entries[at];
    const onEnd = (it: CallerOutcome) => outcomes.push(it);
    if (gate.isClosed()) continue;
    bursts.push(
      await gate.run(() => playBurst(at, callers, random, nextId, onEnd)),
    );
  }
  return bursts;
}

async function playEndless(
  {endless}: StartsFleet,
  entries: readonly EntrySeries[],
  random: Random,
  nextId: () => string,
  isOver: () => boolean,
  gate: Gate,
): Promise<readonly string[]> {
  const answered: string[] = [];
  while (!isOver()) {
    const kind =
      ENDLESS_KINDS[Math.floor(random.next() * ENDLESS_KINDS.length)];
    endless.behave(endlessly(kind, it => answered.push(it)));
    const ask = (_: unknown, at: number) => {
      const drawn = Math.floor(random.next() * entries.length);
      return askEndless(entries[drawn].callers, nextId(), at % 2 === 0);
    };
    if (gate.isClosed()) await sleep(GATE_POLL_MS);
    else {
      await gate.run(() =>
        Promise.all(Array.from({length: ENDLESS_CALLERS}, ask)),
      );
    }
  }
  return answered;
}
