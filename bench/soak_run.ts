/** One randomised run: a fleet, its steps, the quiet time, the verdict. */
import type {Random} from '../src/types/runtime.js';
import {createDigest} from '../src/utils/digest.js';
import type {FleetEvent} from '../standins/fleet_process.js';
import {FLEET_TIMING, createMemoryFleet} from '../standins/memory_fleet.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import {createSeededRandom} from '../standins/seeded_random.js';
import {createDraw} from './soak_draw.js';
import {createFaults} from './soak_faults.js';
import type {Step} from './soak_actions.js';
import {createJudge} from './soak_judge.js';
import type {Breach} from './soak_judge.js';
import {probeCapacity} from './soak_probe.js';
import {createLoad, isLoad} from './soak_load.js';

export interface SoakFailure extends Breach {
  readonly seed: number;
  /** Step after which it was seen; over the last one for the quiet time. */
  readonly step: number;
  /** Last log events that concern the request, or all. */
  readonly history: readonly string[];
}

export interface SoakResult {
  readonly seed: number;
  readonly steps: number;
  /** Over all log events of the run and what callers were told. */
  readonly digest: string;
  readonly failure: SoakFailure | undefined;
  readonly asked: number;
  readonly ended: number;
  /** Final failures by code. */
  readonly failed: Readonly<Record<string, number>>;
  /** Virtual time that passed. */
  readonly virtualMs: number;
}

export interface FleetShape {
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
  readonly engineMemoryTokens: number;
  readonly meanPauseMs: number;
  /** Hold time of sides, in milliseconds. @default that of FLEET_TIMING */
  readonly holdMs?: number;
}

const HISTORY = 40;
/** Log events kept for the history of a failure. */
const KEEP_EVENTS = 200_000;
/** After the last deadline: holds, tombstones of offers, audits. */
const QUIET_MS = 45_000;
const QUIET_STEP_MS = 1_000;

export function drawShape(random: Random): FleetShape {
  const between = (least: number, most: number) =>
    least + Math.floor(random.next() * (most - least + 1));
  return {
    entries: between(2, 4),
    engines: between(2, 6),
    services: between(1, 2),
    engineMemoryTokens: between(20_000, 60_000),
    meanPauseMs: between(20, 150),
  };
}

/** Draws a fleet and `steps` steps from the seed, and runs them. */
export function runSeed(seed: number, steps: number): Promise<SoakResult> {
  const random = createSeededRandom(seed);
  const harsh = seed % 2 === 1;
  const shape = {...drawShape(random), ...(harsh ? {holdMs: 3_000} : {})};
  const draw = createDraw({random, ...shape, frameFaults: harsh});
  return runSteps({seed, shape, steps, next: draw});
}

export interface RunOptions {
  readonly seed: number;
  readonly shape: FleetShape;
  readonly steps: number;
  readonly next: (at: number) => Step;
}

/** Runs a schedule; the same one gives the same verdict and digest. */
export async function runSteps(options: RunOptions): Promise<SoakResult> {
  const {seed, shape, steps} = options;
  const digest = createDigest();
  const encoder = new TextEncoder();
  const fleet = createMemoryFleet({
    seed,
    ...shape,
    timing: shape.holdMs === undefined ? {} : {holdMs: shape.holdMs},
    failureDomains: ['hall-north', 'hall-south', 'hall-east'],
    keepEvents: KEEP_EVENTS,
    onEvent: event => digest.update(encoder.encode(lineOf(event))),
  });
  const judge = createJudge(fleet, shape.holdMs ?? FLEET_TIMING.holdMs);
  const faults = createFaults(fleet, judge);
  const load = createLoad(fleet, judge);
  await fleet.start();

  const result = (breach: Breach | undefined, step: number): SoakResult => {
    const failure = breach && {
      ...breach,
      seed,
      step,
      history: historyOf(fleet, breach),
    };
    const told = fleet.tracked.map(({finals, text}) => `${finals} ${text}`);
    digest.update(encoder.encode(told.join('\n')));
    fleet.stop();
    return {
      seed,
      steps: step,
      digest: digest.value(),
      failure,
      ...outcomesOf(fleet),
      virtualMs: fleet.clock.now(),
    };
  };

  for (let at = 0; at < steps; at++) {
    const {action, pauseMs} = options.next(at);
    if (isLoad(action)) load.apply(action);
    else faults.apply(action);
    await fleet.clock.runFor(pauseMs);
    const breach = judge.check();
    if (breach !== undefined) return result(breach, at + 1);
  }
  faults.healAll();
  const lastDeadline = Math.max(...fleet.tracked.map(one => one.deadlineAt), 0);
  const quietUntil = Math.max(lastDeadline, fleet.clock.now()) + QUIET_MS;
  while (fleet.clock.now() < quietUntil) {
    await fleet.clock.runFor(QUIET_STEP_MS);
    const breach = judge.check();
    if (breach !== undefined) return result(breach, steps);
  }
  const {engineMemoryTokens} = shape;
  const breach =
    (await judge.checkEnd()) ??
    (await probeCapacity(fleet, judge, engineMemoryTokens)) ??
    (await judge.checkEnd());
  return result(breach, steps);
}

function lineOf(event: FleetEvent): string {
  const {at, node, event: spec, fields} = event;
  const fieldsText = JSON.stringify(fields);
  return `${at.toFixed(1)} ${node} ${spec.number} ${spec.name} ${fieldsText}`;
}

function historyOf(fleet: MemoryFleet, breach: Breach): readonly string[] {
  const {request} = breach;
  const lines = fleet.events.map(lineOf);
  const concerned =
    request === undefined ? lines : lines.filter(one => one.includes(request));
  return concerned.slice(-HISTORY);
}

function outcomesOf(fleet: MemoryFleet) {
  const failed: Record<string, number> = {};
  let ended = 0;
  for (const {events} of fleet.tracked) {
    const final = events.at(-1);
    if (final?.kind === 'end') ended++;
    if (final?.kind !== 'failed') continue;
    failed[final.error.code] = (failed[final.error.code] ?? 0) + 1;
  }
  return {asked: fleet.tracked.length, ended, failed};
}
