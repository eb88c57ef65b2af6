/**
 * One run: processes of the built program in which errors are thrown, and that
 * start without a configuration, beside ends, signals and changes.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDraw} from '../odd_wires/draws.js';
import {longestStallMs} from '../odd_wires/wires_judge.js';
import {seeded} from '../plan/seeded.js';
import {countBy} from '../silent_replicas/silence_report.js';
import {TIMING} from '../soak_fleet.js';
import {
  abortAtExit,
  createEntries,
  factsOf,
  isSteady,
  peakMb,
} from '../starts_and_ends/all_entries.js';
import type {SeriesPart} from '../starts_and_ends/entry_series.js';
import {createGate} from '../starts_and_ends/gate.js';
import type {PartsShape} from '../starts_and_ends/play_parts.js';
import {buildProgram} from '../starts_and_ends/program_build.js';
import {
  startStartsFleet,
  startsConfig,
} from '../starts_and_ends/starts_fleet.js';
import {judgeLife} from '../starts_and_ends/starts_judge.js';
import type {Span} from '../starts_and_ends/starts_judge.js';
import {findUnserved} from '../starts_and_ends/unserved.js';
import type {StoreManner} from '../stops_and_records/store_program.js';
import {callAndLeave, checkReady} from './step_callers.js';
import type {ReadyCheck, StepOutcome} from './step_callers.js';
import {judgeLog, judgeSteps, shorten} from './steps_judge.js';
import {createThrownErrors} from './thrown_errors.js';
import type {ErrorKind} from './thrown_errors.js';

const ERROR_KINDS: readonly ErrorKind[] = ['once', 'each', 'timers'];
export const PARTS = [...ERROR_KINDS, 'store', 'ends', 'changes'] as const;
export type Part = (typeof PARTS)[number];

const ENDS: readonly SeriesPart[] = ['kills', 'signals'];
const MEMORY_MB = [250, 350] as const;
const FEW_PROCESSES = 6;
const CALLERS_PER_ENTRY = 6;
const FEWER_CALLERS = 2;
const RECONNECT_MS = 50;
const CHECK_MS = 100;
const MEAN_CHANGE_MS = 1_000;
const MEAN_HANG_UP_MS = 1_500;
const MEAN_TROUBLE_GAP_MS = 2_500;
const SHORTEST_TROUBLE_MS = 1_500;
const LONGEST_TROUBLE_MS = 5_000;
/** After a trouble of the store, entries catch up with it. */
const CATCH_UP_MS = 6_000;
/** Entries are observed for at least so long behind the last trouble. */
const OBSERVED_MS = 6_000;
/** All are started again so long before the errors end. */
const LAST_START_MS = 9_000;
const TROUBLES = ['unset', 'away', 'silent', 'late'] as const;
type Trouble = (typeof TROUBLES)[number];
const LATE_MS = 1_500;
/** Every entry serves so soon after the errors have ended. */
const SERVE_WITHIN_MS = 10_000;
/** Of one round in which all are to be served. */
export const PROBES = Array<readonly string[]>(10)
  .fill(['/again/probe', '/stream/probe'])
  .flat();

export async function runSteps(shape: PartsShape<Part>) {
  const {seed, processes, durationMs, only, dir, program} = shape;
  const plays = (part: Part) => only === undefined || only === part;
  const draws = (part: number) => createDraw(seeded(seed, part));
  const draw = draws(1);
  const fleet = await startStartsFleet();
  const {store} = fleet;
  const built = buildProgram(dir, program);
  const beganAt = performance.now();
  const errors = createThrownErrors({
    kinds: ERROR_KINDS.filter(plays),
    build: built,
    dir,
    draw: draws(2),
    endAt: beganAt + durationMs,
  });
  const entries = await createEntries({
    seed,
    processes,
    dir,
    build: errors.build,
    store: store.address,
    memoryMb: MEMORY_MB[seed % MEMORY_MB.length],
    gate: createGate(),
    // The errors of steady ones go on.
    partsOf: at =>
      only === 'ends' || (only === undefined && !isSteady(at)) ? ENDS : [],
  });
  const abort = abortAtExit(entries);
  const delay = monitorEventLoopDelay();
  let areErrorsOver = false;
  let isOver = false;
  let ids = 0;
  let version = 1;
  let isUnset = false;
  const nextId = () => `step-${seed}-${++ids}`;
  // Replicas draw the length of a stream from the last number; this one is short.
  const probeId = () => `${nextId()}-1`;
  const outcomes: StepOutcome[] = [];
  const checks: ReadyCheck[] = [];
  const played: string[] = [];
  const unconfigured: Span[] = [];
  const away: Span[] = [];
  const pause = (meanMs: number) => sleep(draw.below(2 * meanMs));

  const configure = () => store.put('config', 'main', startsConfig(++version));
  const behave = (change: Partial<StoreManner>) =>
    store.behave({
      mode: 'well',
      lateMs: [0, 0],
      cutShare: 0,
      seed: draw.below(2 ** 31),
      ...change,
    });
  const trouble = async (kind: Trouble) => {
    played.push(`store ${kind}`);
    isUnset = kind === 'unset';
    if (kind === 'unset') await store.remove('config', 'main');
    else if (kind === 'late') await behave({lateMs: [LATE_MS, LATE_MS]});
    else await behave({mode: kind});
  };
  const heal = (kind: Trouble) => {
    isUnset = false;
    return kind === 'unset' ? configure() : behave({});
  };
  /** Troubles the store while all of these processes are started. */
  const startWithout = async (
    start: () => Promise<unknown>,
    isAll: boolean,
  ) => {
    const kind = plays('store') ? draw.one(TROUBLES) : 'unset';
    const troubledAt = performance.now();
    await trouble(kind);
    await start();
    const from = performance.now();
    const spareMs = LONGEST_TROUBLE_MS - SHORTEST_TROUBLE_MS;
    await sleep(SHORTEST_TROUBLE_MS + draw.below(spareMs));
    const isWithout = isAll && kind !== 'late';
    // What is asked for meanwhile may have the healed store's answer.
    if (isWithout) unconfigured.push({from, to: performance.now()});
    away.push({from: troubledAt, to: (await heal(kind)) + CATCH_UP_MS});
  };
  const troubleOne = async () => {
    await pause(MEAN_TROUBLE_GAP_MS);
    const entry = draw.one(entries);
    await startWithout(async () => entry.losePower(), false);
  };
  const change = async () => {
    await pause(MEAN_CHANGE_MS);
    if (!isUnset) await configure();
  };
  const hangUp = async () => {
    await pause(MEAN_HANG_UP_MS);
    const life = draw.one(entries).lives.at(-1);
    if (life?.isReady()) life.send('SIGHUP');
  };
  const loseAll = async () => {
    entries.forEach(entry => entry.losePower());
    const ended = entries.flatMap(it => it.lives.map(life => life.exited));
    await Promise.all(ended);
  };
  const repeat = async (until: () => boolean, act: () => Promise<unknown>) => {
    while (!until()) await act();
  };
  const call = (entry: number) => async () => {
    await callAndLeave({
      entry,
      address: entries[entry].callers,
      draw,
      nextId,
      isOver: () => isOver,
      onEnd: it => outcomes.push(it),
    });
    await sleep(RECONNECT_MS);
  };
  const check = (entry: number) => async () => {
    checks.push(await checkReady(entry, entries[entry].ready));
    await sleep(CHECK_MS);
  };
  const callersOfEach =
    processes <= FEW_PROCESSES ? CALLERS_PER_ENTRY : FEWER_CALLERS;
  try {
    delay.enable();
    const over = () => isOver;
    const traffic = entries.flatMap((_, at) => [
      ...Array.from({length: callersOfEach}, () => repeat(over, call(at))),
      repeat(over, check(at)),
    ]);
    let isLastStart = false;
    await startWithout(
      () => Promise.all(entries.map(entry => entry.begin())),
      true,
    );
    const series = [
      ...entries.map(entry => entry.play(() => areErrorsOver)),
      ...(plays('changes') ? [change, hangUp] : []).map(it =>
        repeat(() => areErrorsOver, it),
      ),
    ];
    const troubles = plays('store')
      ? repeat(() => isLastStart, troubleOne)
      : Promise.resolve();
    const leftMs = () => beganAt + durationMs - performance.now();
    await sleep(Math.max(0, leftMs() - LAST_START_MS));
    isLastStart = true;
    await troubles;
    await startWithout(loseAll, true);
    await sleep(Math.max(0, leftMs()));
    areErrorsOver = true;
    await Promise.all(series);
    await Promise.all(entries.map(entry => entry.settle()));
    const unserved = await Promise.all(
      entries.map(it =>
        findUnserved(it.callers, PROBES, probeId, SERVE_WITHIN_MS),
      ),
    );
    const untroubledAt = Math.max(...away.map(({to}) => to));
    const observeMs = untroubledAt + OBSERVED_MS - performance.now();
    await sleep(Math.max(0, observeMs));
    isOver = true;
    await Promise.all(traffic);
    const observedTo = performance.now();
    await Promise.all(entries.map(entry => entry.finish()));

    const lives = factsOf(entries);
    const rules = {graceMs: TIMING.graceS * 1_000, observedTo, away};
    const {timeOrigin} = performance;
    const times = {timeOrigin, unconfigured, away};
    const {thrownIn} = errors;
    const steps = judgeSteps(outcomes, checks, {lives, ...times, thrownIn});
    const violations = [
      ...lives.flatMap(life => [
        ...judgeLife(life, rules),
        ...judgeLog(life, {timeOrigin, observedTo}),
      ]),
      ...unserved.flat(),
      ...steps.violations,
    ];
    const all = [...played, ...entries.flatMap(it => it.played)];
    return {
      seed,
      starts: lives.length,
      thrown: errors.counts(),
      played: countBy(all.sort(), it => it),
      requests: outcomes.length,
      served: steps.served,
      refusedWithout: steps.refusedWithout,
      excused: steps.excused,
      untold: steps.untold,
      peakMb: peakMb(entries),
      brokenByKind: countBy(violations, it => it.split(':')[0]),
      violations: shorten(violations),
      longestStallMs: longestStallMs(lives),
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
      storeDelayMs: (await store.look()).ownDelayMs,
    };
  } finally {
    areErrorsOver = true;
    isOver = true;
    abort();
    await fleet.close();
  }
}
