/**
 * One run of the soak: callers under faults in series and overlapping, then
 * all faults taken back, then what must hold afterwards.
 */
import type {Agent} from 'node:http';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../src/types/runtime.js';
import {createSeededRandom} from '../standins/seeded_random.js';
import type {Fault, PlannedFault} from './faults.js';
import {drawPoison, drawPoisonParts} from './poison_faults.js';
import {
  COMPANIONS,
  drawColdStarts,
  drawDepartures,
  drawEvacuations,
  drawFaults,
  drawLimits,
  drawPauses,
  drawReturns,
} from './faults.js';
import {judgeCold} from './soak_cold.js';
import type {ColdJudgement} from './soak_cold.js';
import {watchDisturbance} from './soak_disturbance.js';
import {createEvacuator, judgeEvacuations} from './soak_evacuations.js';
import type {SoakFleet} from './soak_fleet.js';
import {DOMAINS, RETRIES, TIMING, startSoakFleet} from './soak_fleet.js';
import type {Injector} from './soak_inject.js';
import {createInjector} from './soak_inject.js';
import type {JudgeView, Violation} from './soak_judge.js';
import {judgeAnswer, judgeRefusals, judgeRuns} from './soak_judge.js';
import {watchLimits} from './soak_limits.js';
import {judgeNotices} from './soak_notices.js';
import {createPoisons} from './soak_poison.js';
import type {Outcome, RequestKind, SoakRequest} from './soak_requests.js';
import {keptConnections, sendRequest} from './soak_requests.js';

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

const CALLERS_PER_ENTRY = 3;
/** Mean pause of a caller between two requests. */
const CALLER_PAUSE_MS = 120;
/** A caller tries again after this when nobody listens. */
const DOWN_PAUSE_MS = 50;
const KINDS: readonly RequestKind[] = ['stream', 'once', 'once', 'again'];
/** Share of streams whose prompt needs a group. */
const LARGE_SHARE = 0.25;
/** Share of requests with one of the newest keys, good or taken away. */
const OLD_KEY_SHARE = 0.2;
/** So many of the newest keys are tried. */
const NEWEST_KEYS = 3;

const WARM_UP_DRAWS = 8;
/** Sets the chance of the store's returns apart from that of the rest. */
const RETURNS_SEED = 1_000_003;
/** The same of requests that crash replicas. */
const POISON_SEED = 2_000_003;
/** The same of replicas that name limits. */
const LIMIT_SEED = 3_000_017;
/** The same of replicas that say that they leave. */
const DEPARTURE_SEED = 4_000_037;
/** The same of replicas that ask for pauses. */
const PAUSE_SEED = 5_000_011;
/** The same for evacuations. */
const EVACUATION_SEED = 6_000_011;
/** The same for replicas that start cold. */
const COLD_SEED = 7_000_003;
/** The same for parts of prompts that crash replicas. */
const PART_SEED = 8_000_009;

const START_LIMIT_MS = 60_000;
/** From the end of the last fault until all is served again. */
const RECOVER_LIMIT_MS = 15_000;
/** A change in the store is in force everywhere within this. */
const CONFIG_APPLY_MS = 3_000;
const CALM_MS = 2_000;
const POLL_MS = 100;
/** A lost order is repeated, and a lease lapses, within this. */
const MEMORY_LIMIT_MS = TIMING.maxHoldMs + TIMING.freeMs;

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
    const plan = planOf(shape, fleet, random);
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

function planOf(
  {seed, durationMs, only}: SoakShape,
  {entries, replicas}: SoakFleet,
  random: Random,
): readonly PlannedFault[] {
  const drawn = {
    entries: entries.length,
    replicas: replicas.length,
    domains: DOMAINS,
    durationMs,
  };
  const returns = createSeededRandom(seed + RETURNS_SEED);
  const poison = createSeededRandom(seed + POISON_SEED);
  const limits = createSeededRandom(seed + LIMIT_SEED);
  const departures = createSeededRandom(seed + DEPARTURE_SEED);
  const pauses = createSeededRandom(seed + PAUSE_SEED);
  const evacuations = createSeededRandom(seed + EVACUATION_SEED);
  const coldStarts = createSeededRandom(seed + COLD_SEED);
  const parts = createSeededRandom(seed + PART_SEED);
  return [
    ...drawFaults(random, drawn),
    ...drawReturns(warmedUp(returns), drawn),
    ...drawPoison(warmedUp(poison), drawn),
    ...drawPoisonParts(warmedUp(parts), drawn),
    ...drawLimits(warmedUp(limits), drawn),
    ...drawDepartures(warmedUp(departures), drawn),
    ...drawPauses(warmedUp(pauses), drawn),
    ...drawEvacuations(warmedUp(evacuations), drawn),
    ...drawColdStarts(warmedUp(coldStarts), drawn),
  ]
    .filter(({fault}) => isPlayed(fault.kind, only))
    .sort((a, b) => a.atMs - b.atMs);
}

function isPlayed(
  kind: Fault['kind'],
  only: Fault['kind'] | undefined,
): boolean {
  if (only === undefined || kind === only) return true;
  return COMPANIONS[only]?.includes(kind) ?? false;
}

/** The first draw of a small seed is always close to 1: no fault would come. */
function warmedUp(random: Random): Random {
  for (let drawn = 0; drawn < WARM_UP_DRAWS; drawn++) random.next();
  return random;
}

function viewOf(fleet: SoakFleet, injector: Injector): JudgeView {
  return {
    runs: id => fleet.replicas.reduce((sum, one) => sum + one.runs(id), 0),
    revokedAt: injector.keys.revokedAt,
    revokeMs: TIMING.revokeMs,
  };
}

function isServed({status, isWhole}: Outcome): boolean {
  return status === 200 && isWhole;
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

interface Traffic {
  /** Ends the callers and gives all that they saw. */
  stop(): Promise<readonly Outcome[]>;
}

function startTraffic(
  fleet: SoakFleet,
  {keys}: Injector,
  random: Random,
): Traffic {
  const outcomes: Outcome[] = [];
  let sent = 0;
  let stopped = false;
  const one = <T>(all: readonly T[]): T =>
    all[Math.floor(random.next() * all.length)] as T;
  const draw = (entry: number): SoakRequest => ({
    id: `soak-${++sent}-at-${entry}`,
    entry,
    kind: one(KINDS),
    key:
      random.next() < OLD_KEY_SHARE
        ? one(keys.all().slice(-NEWEST_KEYS))
        : keys.current(),
    isLarge: random.next() < LARGE_SHARE,
  });
  const call = async (entry: number, agent: Agent): Promise<void> => {
    while (!stopped) {
      await sleep(random.next() * 2 * CALLER_PAUSE_MS);
      const process = fleet.entries[entry];
      const outcome = await sendRequest(
        process.callers,
        agent,
        draw(entry),
        process.isUndisturbedSince,
      );
      const isDown = outcome.error?.includes('ECONNREFUSED') === true;
      if (isDown) await sleep(DOWN_PAUSE_MS);
      else outcomes.push(outcome);
    }
    agent.destroy();
  };
  const callers = fleet.entries.flatMap((_, entry) =>
    Array.from({length: CALLERS_PER_ENTRY}, () =>
      call(entry, keptConnections()),
    ),
  );
  return {
    stop: async () => {
      stopped = true;
      await Promise.all(callers);
      return outcomes;
    },
  };
}

/** Once all faults are gone, all is served that there is room for. */
function judgeCalm(
  outcome: Outcome,
  calmFrom: number,
  view: JudgeView,
): readonly Violation[] {
  const {id, sentAt, status, error, key, body, isLarge, saysNotRun} = outcome;
  if (sentAt < calmFrom || isServed(outcome)) return [];
  if (view.revokedAt(key) !== undefined) return [];
  // Two groups fill the pool's memory; a third may be told to come back.
  if (isLarge && saysNotRun) return [];
  const detail = `status ${status}, ${error ?? body.slice(0, 200)}`;
  return [{promise: 'all is served after all faults', id, detail}];
}

function judgeRetries(
  outcomes: readonly Outcome[],
  view: JudgeView,
  durationMs: number,
): readonly Violation[] {
  const runs = outcomes.map(({id}) => view.runs(id));
  const retries = runs.reduce((sum, count) => sum + Math.max(0, count - 1), 0);
  const windows = Math.ceil(durationMs / (RETRIES.windowS * 1_000)) + 1;
  const allowed = RETRIES.ratio * outcomes.length + RETRIES.slack * windows;
  if (retries <= allowed) return [];
  const detail = `${retries} retries, ${Math.floor(allowed)} allowed`;
  return [{promise: 'retries within their budget', id: 'all', detail}];
}

async function judgeMemory(fleet: SoakFleet): Promise<readonly Violation[]> {
  const holding = () =>
    fleet.replicas.filter(({standIn}) => standIn.held.size > 0);
  const endsAt = performance.now() + MEMORY_LIMIT_MS;
  while (holding().length > 0 && performance.now() < endsAt) {
    await sleep(POLL_MS);
  }
  return holding().map(({standIn}) => ({
    promise: 'no memory is set aside for nobody',
    id: standIn.id,
    detail: JSON.stringify([...standIn.held]),
  }));
}

async function endAll(
  fleet: SoakFleet,
  blame: (violation: Violation) => void,
): Promise<void> {
  await Promise.all(
    fleet.entries.map(async entry => {
      const {code, tookMs} = await entry.end();
      if (code === 0 && tookMs < TIMING.graceS * 1_000) return;
      const detail = `code ${code} after ${Math.round(tookMs)} ms`;
      blame({promise: 'an idle entry ends at once', id: entry.name, detail});
    }),
  );
}

function judgeProcesses(fleet: SoakFleet): readonly Violation[] {
  return fleet.entries.flatMap(entry =>
    entry.faults().map(detail => ({
      promise: 'no process dies, no invariant breaks, logs are JSON',
      id: entry.name,
      detail,
    })),
  );
}
