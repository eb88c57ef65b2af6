/** One run of one policy: submits the arrivals and notes what callers saw. */
import type {ErrorCode} from '../src/types/errors.js';
import type {RequestEvent, RequestSpec} from '../src/types/services.js';
import {MODEL, startFleet} from './policy_fleet.js';
import type {Fleet, FleetOptions} from './policy_fleet.js';
import type {Arrival} from './policy_mix.js';

/** What the caller of one request saw; times from the start of the load. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly side: string;
  readonly firstTokenMs: number | undefined;
  /** Undefined when it had no final event at the end of the run. */
  readonly endedAt: number | undefined;
  readonly failed: ErrorCode | undefined;
  readonly late: boolean;
  readonly cachedTokens: number;
}

export interface RunResult {
  readonly outcomes: readonly Outcome[];
  /** Gaps between tokens, in milliseconds. */
  readonly gapsMs: readonly number[];
  readonly violations: readonly string[];
  /** Share of the load's duration that engines were in steps. */
  readonly busyShare: number;
}

export interface RunOptions extends FleetOptions {
  readonly arrivals: readonly Arrival[];
  readonly durationMs: number;
  readonly loseHalfAtMs?: number;
}

/** After the last arrival, for what is still in progress. */
const DRAIN_MS = 1_200_000;
const DRAIN_STEP_MS = 5_000;

interface Watch {
  readonly arrival: Arrival;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  side: string;
  firstAt: number | undefined;
  lastAt: number;
  endedAt: number | undefined;
  failed: ErrorCode | undefined;
  cachedTokens: number;
}

export async function runPolicy(options: RunOptions): Promise<RunResult> {
  const fleet = await startFleet(options);
  const {clock} = fleet;
  const startedAt = clock.now();
  const watches: Watch[] = [];
  const gapsMs: number[] = [];
  const busyBefore = fleet.busyMs();
  fleet.beginReportFault();
  options.arrivals.forEach((arrival, index) => {
    clock.after(arrival.at, () => {
      watches.push(submit(fleet, options, arrival, index, gapsMs));
    });
  });
  if (options.loseHalfAtMs !== undefined) {
    clock.after(options.loseHalfAtMs, fleet.loseHalf);
  }
  await clock.runFor(options.durationMs);
  const busyMs = fleet.busyMs() - busyBefore;
  await drain(fleet, watches);
  const result = {
    outcomes: watches.map(watch => outcomeOf(watch, startedAt)),
    gapsMs,
    violations: fleet.violations(),
    busyShare: busyMs / options.durationMs / options.deployment.replicas,
  };
  await fleet.stop();
  return result;
}

async function drain(fleet: Fleet, watches: readonly Watch[]): Promise<void> {
  for (let spent = 0; spent < DRAIN_MS; spent += DRAIN_STEP_MS) {
    if (watches.every(watch => watch.endedAt !== undefined)) return;
    await fleet.clock.runFor(DRAIN_STEP_MS);
  }
}

function submit(
  fleet: Fleet,
  options: RunOptions,
  arrival: Arrival,
  index: number,
  gapsMs: number[],
): Watch {
  const now = fleet.clock.now();
  const spec = specOf(fleet, options, arrival);
  const watch: Watch = {
    arrival,
    arrivedAt: now,
    deadlineAt: spec.deadlineAt,
    side: '',
    firstAt: undefined,
    lastAt: now,
    endedAt: undefined,
    failed: undefined,
    cachedTokens: 0,
  };
  const listener = (event: RequestEvent) =>
    note(watch, event, fleet.clock.now(), gapsMs);
  const entry = fleet.entries[index % fleet.entries.length];
  entry.send('requests', {kind: 'submit', spec, listener});
  return watch;
}

function note(
  watch: Watch,
  event: RequestEvent,
  now: number,
  gapsMs: number[],
): void {
  switch (event.kind) {
    case 'placed':
      watch.side = event.side;
      break;
    case 'chunk':
      if (watch.firstAt === undefined) watch.firstAt = now;
      else gapsMs.push((now - watch.lastAt) / Math.max(1, event.tokens));
      watch.lastAt = now;
      break;
    case 'end':
      watch.endedAt = now;
      watch.cachedTokens = event.cachedTokens;
      break;
    case 'failed':
      watch.endedAt = now;
      watch.failed = event.error.code;
      break;
  }
}

function outcomeOf(watch: Watch, startedAt: number): Outcome {
  const {arrival, arrivedAt, firstAt, endedAt, failed} = watch;
  return {
    arrival,
    side: watch.side,
    firstTokenMs: firstAt === undefined ? undefined : firstAt - arrivedAt,
    endedAt: endedAt === undefined ? undefined : endedAt - startedAt,
    failed,
    // A caller is told of a missed limit at the limit itself, or a little
    // after it; either way the request was admitted and not done in time.
    late:
      endedAt === undefined ||
      failed === 'deadline-exceeded' ||
      (failed === undefined && endedAt > watch.deadlineAt),
    cachedTokens: watch.cachedTokens,
  };
}

function specOf(
  fleet: Fleet,
  options: RunOptions,
  arrival: Arrival,
): RequestSpec {
  const now = fleet.clock.now();
  const {lengthClasses, organisations} = options.declarations;
  const lengthClass =
    lengthClasses.find(one => arrival.promptTokens <= one.maxTokens) ??
    lengthClasses[lengthClasses.length - 1];
  const organisation = organisations[arrival.organisation];
  // The prompt's bytes play no part here: lengths are told, not counted.
  const piece = new TextEncoder().encode(arrival.id);
  return {
    id: arrival.id,
    organisation: organisation.id,
    weight: organisation.weight,
    kind: 'completion',
    pool: '',
    model: MODEL,
    adapter: '',
    priorityClass: 'interactive',
    priority: 1,
    lengthClass: lengthClass.name,
    deadlineAt: now + lengthClass.defaultTimeLimitMs,
    admittedAt: now,
    body: {pieces: [piece], bytes: piece.length},
    promptTokens: arrival.promptTokens,
    maxTokens: arrival.maxTokens,
    repeatable: true,
    idempotencyKey: undefined,
    prefixHashes: arrival.prefixHashes,
    config: fleet.config,
    call: undefined,
  };
}
