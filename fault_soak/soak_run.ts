/**
 * One run of the soak: callers under faults in series and overlapping, then
 * all faults taken back, then what must hold afterwards.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom} from '../standins/seeded_random.js';
import type {Fault, PlannedFault} from './faults.js';
import {createSoakPlan, warmedUp} from './plan/soak_plan.js';
import {judgeCold} from './soak_cold.js';
import type {ColdJudgement} from './soak_cold.js';
import {watchDisturbance} from './soak_disturbance.js';
import {createEvacuator, judgeEvacuations} from './soak_evacuations.js';
import {
  endAll,
  isServed,
  judgeCalm,
  judgeMemory,
  judgeProcesses,
  judgeRetries,
} from './soak_end_judge.js';
import type {SoakFleet} from './soak_fleet.js';
import {TIMING, startSoakFleet} from './soak_fleet.js';
import type {Injector} from './soak_inject.js';
import {createInjector} from './soak_inject.js';
import type {JudgeView, Violation} from './soak_judge.js';
import {judgeAnswer, judgeRefusals, judgeRuns} from './soak_judge.js';
import {watchLimits} from './soak_limits.js';
import {judgeNotices} from './soak_notices.js';
import {createPoisons} from './soak_poison.js';
import {startTraffic} from './soak_traffic.js';

export interface SoakShape {
  readonly seed: number;
  /** Entries, each a process. */
  readonly processes: number;
  /** How long faults go on. */
  readonly durationMs: number;
  /** Faults of this kind alone. @default all */
  readonly only?: Fault['kind'];
  /** Where settings and logs are written. */
  readonly dir: string;
}

export interface SoakReport {
  readonly seed: number;
  readonly faults: number;
  readonly requests: number;
  readonly served: number;
  readonly notRun: number;
  /** Replicas that each request which crashes them ended. */
  readonly ended: readonly number[];
  /** Windows that were judged by the limit of a replica. */
  readonly limitedWindows: number;
  /** Answers that said that their replica leaves, and pauses, judged. */
  readonly noticesJudged: number;
  /** Evacuations that entries were held to, counted for each entry. */
  readonly evacuationsJudged: number;
  /**
   * Longest time until the last arrival in an evacuated domain from an entry in
   * touch with the store, in milliseconds.
   */
  readonly evacuatedAfterMs: number;
  /** Cold starts, requests that they got, and most of them in any second. */
  readonly cold: Omit<ColdJudgement, 'violations'>;
  readonly violations: readonly Violation[];
  /** 99th percentile of this process's own delay, in milliseconds. */
  readonly ownDelayMs: number;
}

const START_LIMIT_MS = 60_000;
/** From the end of the last fault until all is served again. */
const RECOVER_LIMIT_MS = 15_000;
/** A change in the store is in force everywhere within this. */
const CONFIG_APPLY_MS = 3_000;
const CALM_MS = 2_000;
const POLL_MS = 100;

export async function runSoak(shape: SoakShape): Promise<SoakReport> {
  const random = warmedUp(createSeededRandom(shape.seed));
  const fleet = await startSoakFleet(shape.processes, shape.dir);
  const violations: Violation[] = [];
  const blame = (violation: Violation) => void violations.push(violation);
  const poisons = createPoisons({
    fleet,
    random: createSeededRandom(shape.seed),
    key: () => injector.keys.current(),
    isInTouch: (entry, forMs) =>
      injector.reachesStore(entry, forMs) &&
      fleet.entries[entry].isUndisturbedSince(performance.now() - forMs),
  });
  const evacuator = createEvacuator(fleet.store);
  const injector = createInjector(fleet, blame, poisons.begin, evacuator);
  const disturbance = watchDisturbance(fleet);
  const limitWatch = watchLimits(fleet, disturbance);
  const view = viewOf(fleet, injector);
  const delay = monitorEventLoopDelay();
  try {
    await allReady(fleet, START_LIMIT_MS);
    delay.enable();
    const plan = createSoakPlan(shape, fleet, random);
    const traffic = startTraffic(fleet, injector, random);
    await play(plan, injector, shape.durationMs);
    await injector.heal();
    // The last of them may have ended replicas just now.
    const poisonous = await poisons.stop();
    const unready = await allReady(fleet, RECOVER_LIMIT_MS);
    for (const name of unready) {
      blame({promise: 'ready again after all faults', id: name, detail: ''});
    }
    // A key or replica may be new since the last fault.
    await sleep(CONFIG_APPLY_MS);
    const calmFrom = performance.now();
    await sleep(CALM_MS);
    const outcomes = await traffic.stop();
    for (const outcome of poisonous) judgeRuns(outcome, view).forEach(blame);
    poisons.judge().forEach(blame);
    for (const outcome of outcomes) {
      judgeAnswer(outcome, view).forEach(blame);
      judgeRuns(outcome, view).forEach(blame);
      judgeCalm(outcome, calmFrom, view).forEach(blame);
    }
    judgeRefusals(outcomes).forEach(blame);
    const all = [...outcomes, ...poisonous];
    limitWatch.judge(all).forEach(blame);
    const notices = judgeNotices(fleet, disturbance, all);
    notices.violations.forEach(blame);
    const evacuations = judgeEvacuations(
      fleet,
      evacuator.spans(),
      disturbance,
      injector.isStoreHarmed,
    );
    evacuations.violations.forEach(blame);
    const {violations: coldViolations, ...cold} = judgeCold(fleet);
    coldViolations.forEach(blame);
    judgeRetries(outcomes, view, shape.durationMs).forEach(blame);
    (await judgeMemory(fleet)).forEach(blame);
    await endAll(fleet, blame);
    judgeProcesses(fleet).forEach(blame);
    return {
      seed: shape.seed,
      faults: plan.length,
      requests: outcomes.length,
      served: outcomes.filter(isServed).length,
      notRun: outcomes.filter(({saysNotRun}) => saysNotRun).length,
      ended: poisons.ended(),
      limitedWindows: limitWatch.windows(),
      noticesJudged: notices.judged,
      evacuationsJudged: evacuations.judged,
      evacuatedAfterMs: evacuations.longestMs,
      cold,
      violations,
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
    };
  } finally {
    disturbance.stop();
    await fleet.close();
  }
}

function viewOf(fleet: SoakFleet, injector: Injector): JudgeView {
  return {
    runs: id => fleet.replicas.reduce((sum, one) => sum + one.runs(id), 0),
    revokedAt: injector.keys.revokedAt,
    revokeMs: TIMING.revokeMs,
  };
}

/** Plays the faults at their times. */
async function play(
  plan: readonly PlannedFault[],
  injector: Injector,
  durationMs: number,
): Promise<void> {
  const from = performance.now();
  for (const {atMs, fault} of plan) {
    await sleep(Math.max(0, from + atMs - performance.now()));
    injector.inject(fault);
  }
  await sleep(Math.max(0, from + durationMs - performance.now()));
}

/** Waits for all entries; gives the names of those that are not ready. */
async function allReady(
  fleet: SoakFleet,
  limitMs: number,
): Promise<readonly string[]> {
  const endsAt = performance.now() + limitMs;
  for (;;) {
    const ready = await Promise.all(
      fleet.entries.map(entry => entry.isReady()),
    );
    const late = fleet.entries.filter((_, at) => !ready[at]);
    if (late.length === 0 || performance.now() > endsAt) {
      return late.map(({name}) => name);
    }
    await sleep(POLL_MS);
  }
}
