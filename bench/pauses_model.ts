/**
 * A model of entries before the replicas of a plain service, some of which get
 * slow, turn requests away and ask for pauses. It compares ways of heeding that.
 */
import {createReplicaGate} from '../src/direct/gate/replica_gate.js';
import type {ReplicaGate} from '../src/direct/gate/replica_gate.js';
import type {Random} from '../src/types/runtime.js';
import {createSeededRandom} from '../standins/seeded_random.js';
import {createVirtualClock} from '../standins/virtual_clock.js';
import type {VirtualClock} from '../standins/virtual_clock.js';

/** Unheeded, heeded until the end, or heeded with a slow start after it. */
export type PauseWay = 'ignored' | 'until-end' | 'slow-start';

export interface PauseScenario {
  readonly way: PauseWay;
  readonly entries: number;
  readonly replicas: number;
  /** Replicas that get slow for a while. */
  readonly slow: number;
  readonly pauseMs: number;
  readonly seed: number;
}

export interface PauseResult {
  /** Share of the requests that were answered within the objective. */
  readonly inTime: number;
  /** Share of the sends that were turned away. */
  readonly turnedAway: number;
  /** The same of those sent after the replicas were well again. */
  readonly turnedAwayAfter: number;
  /** Most requests of one entry in the rest of a pause. */
  readonly worstInPause: number;
}

const DURATION_MS = 25_000;
const SLOW_FROM_MS = 5_000;
const SLOW_TO_MS = 15_000;
const WORK_MS = 30;
const SLOW_WORK_MS = 900;
const SLOTS = 6;
const QUEUE = 24;
const AIM_MS = 150;
/** Share of the replicas' capacity that callers ask for. */
const LOAD = 0.5;
const WAY_MS = 1;
const UNDER_WAY_MS = 500;
/** Attempts of a request; every other one has no retry. */
const ATTEMPTS = [1, 2];
const LEAVING_MS = 2_000;

interface Pause {
  readonly entry: number;
  readonly from: number;
  readonly to: number;
}

interface ModelReplica {
  readonly id: string;
  readonly arrivals: Array<{readonly entry: number; readonly at: number}>;
  readonly pauses: Pause[];
  running: number;
  readonly waiting: Array<() => void>;
  readonly isSlow: boolean;
}

interface Counts {
  requests: number;
  inTime: number;
  sends: number;
  turnedAway: number;
  sendsAfter: number;
  turnedAwayAfter: number;
}

export async function playPauses(
  scenario: PauseScenario,
): Promise<PauseResult> {
  const clock = createVirtualClock();
  const random = createSeededRandom(scenario.seed);
  const replicas = Array.from({length: scenario.replicas}, (_, at) => ({
    id: `replica-${at}`,
    arrivals: [],
    pauses: [],
    running: 0,
    waiting: [],
    isSlow: at < scenario.slow,
  }));
  const gates = Array.from({length: scenario.entries}, () =>
    createReplicaGate({
      clock,
      log: () => undefined,
      random,
      limits: {limitOf: () => undefined, count: () => 0},
      permits: {waitMs: () => 0},
      leavingMs: LEAVING_MS,
    }),
  );
  const counts: Counts = {
    requests: 0,
    inTime: 0,
    sends: 0,
    turnedAway: 0,
    sendsAfter: 0,
    turnedAwayAfter: 0,
  };
  const model = {scenario, clock, random, replicas, gates, counts};
  const everyMs = WORK_MS / (SLOTS * scenario.replicas * LOAD);
  for (let at = 0; at < DURATION_MS; at += everyMs) {
    const entry = Math.floor(random.next() * scenario.entries);
    const attempts = ATTEMPTS[counts.requests++ % ATTEMPTS.length];
    clock.after(at, () => send(model, entry, attempts, at, new Set()));
  }
  await clock.runFor(DURATION_MS + SLOW_TO_MS);
  return {
    inTime: counts.inTime / counts.requests,
    turnedAway: counts.turnedAway / counts.sends,
    turnedAwayAfter: counts.turnedAwayAfter / Math.max(1, counts.sendsAfter),
    worstInPause: Math.max(0, ...replicas.flatMap(inPauses)),
  };
}

interface Model {
  readonly scenario: PauseScenario;
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly replicas: readonly ModelReplica[];
  readonly gates: readonly ReplicaGate[];
  readonly counts: Counts;
}

/** Sends the request to an open replica, if there is one. */
function send(
  model: Model,
  entry: number,
  attempts: number,
  arrivedAt: number,
  tried: Set<string>,
): void {
  const {clock, counts, gates} = model;
  const replica = choose(model, entry, attempts, arrivedAt, tried);
  if (replica === undefined) return;
  const isAfter = clock.now() > SLOW_TO_MS;
  const sentAt = clock.now();
  counts.sends++;
  if (isAfter) counts.sendsAfter++;
  tried.add(replica.id);
  gates[entry].sent(replica.id);
  clock.after(WAY_MS, () =>
    arrive(model, replica, entry, isTaken => {
      answered(model, entry, replica, sentAt, isTaken);
      if (isTaken && clock.now() - arrivedAt <= AIM_MS) counts.inTime++;
      if (isTaken) return;
      counts.turnedAway++;
      if (isAfter) counts.turnedAwayAfter++;
      if (attempts > 1) send(model, entry, attempts - 1, arrivedAt, tried);
    }),
  );
}

/** The idlest of the open replicas. */
function choose(
  {scenario, random, replicas, gates}: Model,
  entry: number,
  attempts: number,
  arrivedAt: number,
  tried: ReadonlySet<string>,
): ModelReplica | undefined {
  const req = {arrivedAt, urgency: 1, isOnce: false, hasRetry: attempts > 1};
  const kindOf = ({id}: ModelReplica) => {
    if (scenario.way === 'ignored') return 'open';
    const gate = gates[entry];
    if (scenario.way === 'slow-start') return gate.ask(id, req).kind;
    const {pauseLeftMs} = gate.dispatchNotices(id);
    return pauseLeftMs === undefined ? 'open' : 'closed';
  };
  const untried = replicas.filter(({id}) => !tried.has(id));
  const open = untried.filter(it => kindOf(it) === 'open');
  const lastResorts = untried.filter(it => kindOf(it) === 'last-resort');
  const from = open.length > 0 ? open : lastResorts;
  const cost = new Map(
    from.map(it => [it, it.running + it.waiting.length + random.next()]),
  );
  return from.reduce<ModelReplica | undefined>(
    (best, it) =>
      best === undefined || (cost.get(it) ?? 0) < (cost.get(best) ?? 0)
        ? it
        : best,
    undefined,
  );
}

/** Runs the request, lets it wait, or turns it away and asks for a pause. */
function arrive(
  {scenario, clock}: Model,
  replica: ModelReplica,
  entry: number,
  done: (isTaken: boolean) => void,
): void {
  const now = clock.now();
  replica.arrivals.push({entry, at: now});
  if (replica.waiting.length >= QUEUE) {
    const {pauseMs} = scenario;
    replica.pauses.push({entry, from: now, to: now + pauseMs});
    clock.after(WAY_MS, () => done(false));
    return;
  }
  const run = () => {
    replica.running++;
    const at = clock.now();
    const isSlowNow = replica.isSlow && at > SLOW_FROM_MS && at < SLOW_TO_MS;
    clock.after(isSlowNow ? SLOW_WORK_MS : WORK_MS, () => {
      replica.running--;
      done(true);
      replica.waiting.shift()?.();
    });
  };
  if (replica.running < SLOTS) run();
  else replica.waiting.push(run);
}

function answered(
  {scenario, gates}: Model,
  entry: number,
  {id}: ModelReplica,
  sentAt: number,
  isTaken: boolean,
): void {
  const pause = isTaken
    ? ({kind: 'none'} as const)
    : ({kind: 'pause', durationMs: scenario.pauseMs} as const);
  const answer = {sentAt, isTurnedAway: !isTaken};
  gates[entry].answered(id, answer, {leaving: {kind: 'none'}, pause});
}

/** Requests of one entry between the slack after its pause began and its end. */
function inPauses({arrivals, pauses}: ModelReplica): readonly number[] {
  return pauses.map(
    ({entry, from, to}) =>
      arrivals.filter(
        it => it.entry === entry && it.at > from + UNDER_WAY_MS && it.at < to,
      ).length,
  );
}
