/**
 * One run in which entries are stopped and started in turn and replicas are
 * removed, while another program writes unreadable records. Callers send several
 * requests at once, so that some have been read when an entry stops.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {seeded} from '../plan/seeded.js';
import type {Random} from '../../src/types/runtime.js';
import {countBy} from '../silent_replicas/silence_report.js';
import {TIMING, startEntriesAndReplicas} from '../soak_fleet.js';
import type {EntriesAndReplicas, SoakReplica} from '../soak_fleet.js';
import {startForeignWriter} from './foreign_writer.js';
import {useConnection} from './pipelining_caller.js';
import type {PipelinedOutcome} from './pipelining_caller.js';
import {judgeOutcomes} from './stops_judge.js';
import {startStoreProcess} from './store_process.js';
import type {StoreProcess} from './store_process.js';

export interface StopsShape {
  readonly seed: number;
  /** Entries, each a process. */
  readonly processes: number;
  readonly durationMs: number;
  /** Where settings and logs are written. */
  readonly dir: string;
}

export interface StopsReport {
  readonly seed: number;
  readonly stops: number;
  readonly removals: number;
  readonly foreignWrites: number;
  readonly requests: number;
  readonly byStatus: Readonly<Record<string, number>>;
  /** Requests whose time was over in or behind an answer that had begun. */
  readonly outOfTime: number;
  /** Calls that reached the store, a second and entry. */
  readonly storeCalls: number;
  readonly violations: readonly string[];
  /** 99th percentile of this process's own delay, in milliseconds. */
  readonly ownDelayMs: number;
  /** The same of the store's process. */
  readonly storeDelayMs: number;
}

/** How long a replica serves after its removal, as the users' sheets have it. */
const LEAVING_MS = 2_000;
/** An entry is held to removals this long after a signal or a start of it. */
const IN_TOUCH_MS = 3_000;
const START_LIMIT_MS = 15_000;
const CALLERS_PER_ENTRY = 3;
const MEAN_STOP_GAP_MS = 2_000;
const MEAN_REMOVAL_GAP_MS = 1_500;
const DOWN_MS = 400;
const SHORTEST_AWAY_MS = 3_000;
const LONGEST_AWAY_MS = 7_000;
const POLL_MS = 50;

/** A time in which a replica had no record. */
interface Absence {
  readonly replica: SoakReplica;
  readonly from: number;
  to: number;
}

export async function runStops(shape: StopsShape): Promise<StopsReport> {
  const {seed, processes, durationMs, dir} = shape;
  const timing = {...TIMING, leavingMs: LEAVING_MS, revokeMs: 5_000};
  const store = await startStoreProcess();
  const addresses = Array.from({length: processes}, () => store.address);
  const fleet = await startEntriesAndReplicas(store, addresses, dir, timing);
  const names = fleet.replicas.map(({standIn}) => standIn.id);
  // It writes before the entries are ready.
  const writer = startForeignWriter(store, names, seeded(seed, 1));
  const violations: string[] = [];
  const delay = monitorEventLoopDelay();
  try {
    await allReady(fleet, violations);
    delay.enable();
    const {calls: callsBefore} = await store.look();
    let isOver = false;
    const over = () => isOver;
    const runs = (id: string) =>
      fleet.replicas.reduce((sum, replica) => sum + replica.runs(id), 0);
    const signals = fleet.entries.map((): number[] => []);
    const stops = stopInTurn(fleet, signals, seeded(seed, 2), over, violations);
    const removals = removeInTurn(fleet, store, seeded(seed, 3), over);
    const outcomes: PipelinedOutcome[] = [];
    const callers = startCallers(fleet, outcomes, over);
    await sleep(durationMs);
    isOver = true;
    const stopCount = await stops;
    const absences = await removals;
    await callers;
    const storeLook = await store.look();
    const calls = storeLook.calls - callsBefore;
    const judged = judgeOutcomes(outcomes, runs);
    violations.push(
      ...judged.violations,
      ...judgeAbsences(absences, signals),
      ...fleet.entries.flatMap(entry => entry.faults()),
    );
    return {
      seed,
      stops: stopCount,
      removals: absences.length,
      foreignWrites: writer.writes(),
      requests: outcomes.length,
      byStatus: countBy(outcomes, ({status}) => String(status ?? 'none')),
      outOfTime: judged.outOfTime,
      storeCalls: calls / (durationMs / 1_000) / processes,
      violations,
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
      storeDelayMs: storeLook.ownDelayMs,
    };
  } finally {
    writer.stop();
    await fleet.close();
    await store.close();
  }
}

async function stopInTurn(
  fleet: EntriesAndReplicas,
  signals: ReadonlyArray<number[]>,
  random: Random,
  isOver: () => boolean,
  violations: string[],
): Promise<number> {
  let stops = 0;
  const stop = async (at: number): Promise<void> => {
    const entry = fleet.entries[at];
    if (!entry.hasStarted()) return;
    stops++;
    signals[at].push(performance.now());
    const {code, tookMs} = await entry.end();
    if (code !== 0 || tookMs > TIMING.graceS * 1_000) {
      violations.push(`${entry.name} ended with ${code} after ${tookMs} ms`);
    }
    await sleep(DOWN_MS);
    signals[at].push(performance.now());
    await entry.start();
    await untilReady(fleet, at, violations);
    signals[at].push(performance.now());
  };
  // Two may be on their way at once.
  const stopSome = async (from: number): Promise<void> => {
    for (let at = from; !isOver(); at += 2) {
      await sleep(random.next() * 2 * MEAN_STOP_GAP_MS);
      if (!isOver()) await stop(at % fleet.entries.length);
    }
  };
  const isPairwise = fleet.entries.length > 3 && fleet.entries.length % 2 === 0;
  await Promise.all(isPairwise ? [stopSome(0), stopSome(1)] : [stopSome(0)]);
  return stops;
}

async function removeInTurn(
  fleet: EntriesAndReplicas,
  store: StoreProcess,
  random: Random,
  isOver: () => boolean,
): Promise<readonly Absence[]> {
  const absences: Absence[] = [];
  const away = new Set<SoakReplica>();
  const backs: Array<Promise<void>> = [];
  const comeBack = async (absence: Absence): Promise<void> => {
    const ms = random.next() * (LONGEST_AWAY_MS - SHORTEST_AWAY_MS);
    await sleep(SHORTEST_AWAY_MS + ms);
    absence.to = performance.now();
    fleet.list(absence.replica, 'ready');
    away.delete(absence.replica);
  };
  while (!isOver()) {
    await sleep(random.next() * 2 * MEAN_REMOVAL_GAP_MS);
    const replica =
      fleet.replicas[Math.floor(random.next() * fleet.replicas.length)];
    // One of each service stays.
    const isLast = fleet.replicas
      .filter(({service}) => service === replica.service)
      .every(it => it === replica || away.has(it));
    if (away.has(replica) || isLast) continue;
    away.add(replica);
    const from = await store.remove('servers', replica.standIn.id);
    const absence = {replica, from, to: Infinity};
    absences.push(absence);
    backs.push(comeBack(absence));
  }
  await Promise.all(backs);
  return absences;
}

async function startCallers(
  fleet: EntriesAndReplicas,
  outcomes: PipelinedOutcome[],
  isOver: () => boolean,
): Promise<void> {
  let sent = 0;
  const call = async (entry: number): Promise<void> => {
    while (!isOver()) {
      await useConnection({
        entry,
        address: fleet.entries[entry].callers,
        nextId: () => `stop-${++sent}-at-${entry}`,
        isOver,
        onEnd: outcome => outcomes.push(outcome),
      });
      await sleep(POLL_MS);
    }
  };
  await Promise.all(
    fleet.entries.flatMap((_, entry) =>
      Array.from({length: CALLERS_PER_ENTRY}, () => call(entry)),
    ),
  );
}

function judgeAbsences(
  absences: readonly Absence[],
  signals: ReadonlyArray<readonly number[]>,
): readonly string[] {
  const isInTouch = (id: string, at: number): boolean => {
    const entry = Number(id.split('-').at(-1));
    const times = signals[entry] ?? [];
    return !times.some(time => time > at - IN_TOUCH_MS && time <= at);
  };
  return absences.flatMap(({replica, from, to}) =>
    replica
      .reached()
      .filter(({at, operation}) => operation === undefined && at < to)
      .filter(({at}) => at > from + LEAVING_MS)
      .filter(({id}) => id.startsWith('stop-'))
      .filter(({id, at}) => isInTouch(id, at))
      .map(({id, at}) => {
        const lateMs = Math.round(at - from);
        return `${id} reached ${replica.standIn.id} ${lateMs} ms after its removal`;
      }),
  );
}

async function allReady(
  fleet: EntriesAndReplicas,
  violations: string[],
): Promise<void> {
  await Promise.all(
    fleet.entries.map((_, at) => untilReady(fleet, at, violations)),
  );
}

async function untilReady(
  fleet: EntriesAndReplicas,
  at: number,
  violations: string[],
): Promise<void> {
  const entry = fleet.entries[at];
  const endsAt = performance.now() + START_LIMIT_MS;
  while (!(await entry.isReady())) {
    if (performance.now() > endsAt) {
      violations.push(`${entry.name} is not ready after ${START_LIMIT_MS} ms`);
      return;
    }
    await sleep(POLL_MS);
  }
}
