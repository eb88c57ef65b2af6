/**
 * One run of new limits beside connections that idle. Callers go by the limits
 * that they can know, so each whole request ends with an answer.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSeededRandom} from '../../standins/seeded_random.js';
import type {Random} from '../../src/types/runtime.js';
import {countBy} from '../silent_replicas/silence_report.js';
import {GRACE_MS, allReady} from '../silent_replicas/silence_stops.js';
import {TIMING, startSoakFleet} from '../soak_fleet.js';
import type {SoakFleet} from '../soak_fleet.js';
import {startDelayLink} from './delay_link.js';
import type {DelayLink} from './delay_link.js';
import {DISTURBANCES, createDisturbances} from './disturbances.js';
import type {Disturbance, Disturbances} from './disturbances.js';
import {callInSeries, sit} from './idle_callers.js';
import type {CallerShape} from './idle_callers.js';
import type {Seen} from './idle_connection.js';
import {readEntryLog} from './entry_log.js';
import {judge, longestKeptMs} from './idle_judge.js';
import type {EntryFacts, JudgedFacts, Verdict} from './idle_judge.js';
import {CHANGE_KINDS, LADDERS, createLimitChanges} from './limit_changes.js';
import type {ChangeKind, LimitChanges} from './limit_changes.js';
import {watchOwnStalls} from './own_stalls.js';
import type {OwnStalls} from './own_stalls.js';

/** Delays of the links between callers and entries, one way. */
export const DELAYS_MS = [0, 1, 10, 50] as const;
const CALLERS = 180;
const LEAST_CALLERS_PER_ENTRY = 8;
/** Connections of each entry that are used once. */
const SITTERS_PER_ENTRY = 2;
/** A silent second of the store is no reason to doubt keys. */
const REVOKE_MS = 5_000;
/** Callers begin spread over this time, and so do not stay in step. */
const BEGIN_SPREAD_MS = 2_000;
/** The platform sends no new connections to an entry that missed two questions. */
const MISSES_MS = 2_000;
/** Lanes of changes, and of disturbances, that a run draws at most. */
const MOST_LANES = 3;
/** The first draws of small seeds are alike. */
const WARM_UP_DRAWS = 8;

export interface IdleShape {
  readonly seed: number;
  /** Entries, each a process. */
  readonly processes: number;
  readonly durationMs: number;
  /** The one kind of change. @default some, drawn, overlapping */
  readonly kind?: ChangeKind;
  /** The one disturbance. @default some, drawn, overlapping */
  readonly beside?: Disturbance | 'none';
  /** Of all links, one way. @default each of some */
  readonly delayMs?: number;
  /** Idle limits in rising order; a single one stays. @default drawn */
  readonly ladder?: readonly number[];
  /** Callers use connections for longer than the answers state. */
  readonly ignoresStated?: boolean;
  /** Where settings and logs are written. */
  readonly dir: string;
}

export interface IdleReport {
  readonly seed: number;
  readonly ladder: readonly number[];
  readonly kinds: readonly ChangeKind[];
  readonly beside: Readonly<Record<string, number>>;
  readonly versions: number;
  readonly requests: number;
  /** Requests on connections that had been used before. */
  readonly reused: number;
  readonly byEnd: Readonly<Record<string, number>>;
  readonly excused: Readonly<Record<string, number>>;
  /** Connections that were used once, by what became of them. */
  readonly sitters: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
  /** 99th percentile of this process's own delay, in milliseconds. */
  readonly ownDelayMs: number;
}

interface At {
  readonly entry: number;
  readonly delayMs: number;
  readonly seen: Seen;
}

export async function runIdle(shape: IdleShape): Promise<IdleReport> {
  const {seed, processes, dir} = shape;
  const plan = drawPlan(shape);
  const fleet = await startSoakFleet(processes, dir, {
    ...TIMING,
    revokeMs: REVOKE_MS,
  });
  const changes = createLimitChanges(
    fleet.store,
    plan.ladder,
    plan.firstIdleMs,
  );
  const disturbances = createDisturbances(fleet);
  const links = await linksTo(fleet, shape.delayMs);
  const delay = monitorEventLoopDelay();
  const stalls = watchOwnStalls();
  try {
    await allReady(fleet.entries);
    delay.enable();
    let isOver = false;
    const over = () => isOver;
    const all: At[] = [];
    const troubles = [
      ...plan.kinds.map((kind, at) =>
        changes.changeInSeries(kind, seeded(seed, 1 + at), over),
      ),
      ...plan.beside.map((how, at) =>
        disturbances.disturbInSeries(how, seeded(seed, 10 + at), over),
      ),
    ];
    const makeShape = callerShapes(
      shape,
      changes,
      disturbances,
      plan.largestIdleMs,
      all,
      over,
    );
    const callers = startCallers(links, makeShape, over);
    const sitters = startSitters(links, makeShape, changes);
    await sleep(shape.durationMs);
    isOver = true;
    await Promise.all([...troubles, callers]);
    const sat = await Promise.all(sitters);
    const factsOf = factsFor(shape, fleet, changes, disturbances, stalls);
    const verdicts = all.map(one => judge(one.seen, factsOf(one)));
    return {
      seed,
      ladder: plan.ladder,
      kinds: plan.kinds,
      beside: disturbances.counts(),
      versions: changes.history().length,
      requests: all.length,
      reused: all.filter(({seen}) => seen.idleMs !== undefined).length,
      byEnd: countBy(all, ({seen}) =>
        `${seen.end} ${seen.status ?? ''}`.trim(),
      ),
      excused: countBy(verdicts.flatMap(whyExcused), why => why),
      sitters: countBy(sat, end => end),
      violations: [
        ...all.flatMap((one, at) =>
          describe(one.seen, verdicts[at], factsOf(one)),
        ),
        ...sat
          .filter(end => end === 'kept')
          .map(() => 'a connection that nobody uses is kept'),
        ...disturbances.stops.violations(),
        ...fleet.entries.flatMap(entry => entry.faults()),
      ],
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
    };
  } finally {
    stalls.stop();
    await Promise.all(links.flat().map(link => link.close()));
    await fleet.close();
  }
}

function drawPlan({seed, kind, beside, ladder}: IdleShape) {
  const random = seeded(seed, 0);
  const drawn = LADDERS[Math.floor(random.next() * LADDERS.length)];
  const some = <T>(names: readonly T[], least: number): readonly T[] => {
    const count = least + Math.floor(random.next() * (MOST_LANES - least + 1));
    const from = Math.floor(random.next() * names.length);
    return [...names, ...names].slice(from, from + count);
  };
  const kinds = kind === undefined ? some(CHANGE_KINDS, 1) : [kind];
  const others = some(DISTURBANCES, 0);
  const limits = ladder ?? drawn;
  const largestMs = Math.max(...limits);
  const firstIdleMs = kinds.includes('idle-raised') ? limits[0] : largestMs;
  return {
    ladder: limits,
    firstIdleMs,
    largestIdleMs: largestMs,
    kinds: ladder?.length === 1 ? [] : kinds,
    beside: beside === undefined ? others : beside === 'none' ? [] : [beside],
  };
}

/** Links of each entry. */
function linksTo(
  {entries}: SoakFleet,
  delayMs: number | undefined,
): Promise<ReadonlyArray<readonly DelayLink[]>> {
  const delays = delayMs === undefined ? DELAYS_MS : [delayMs];
  return Promise.all(
    entries.map(({callers}) =>
      Promise.all(delays.map(ms => startDelayLink(callers, ms))),
    ),
  );
}

type MakeShape = (entry: number, link: DelayLink) => CallerShape;

function callerShapes(
  {seed, ignoresStated}: IdleShape,
  changes: LimitChanges,
  {stops}: Disturbances,
  largestIdleMs: number,
  all: At[],
  isOver: () => boolean,
): MakeShape {
  let made = 0;
  let sent = 0;
  return (entry, link) => ({
    entry,
    link,
    heedsStated: ignoresStated !== true,
    random: seeded(seed, 100 + made++),
    largestIdleMs,
    history: changes.history,
    nextId: () => `idle-${++sent}-at-${entry}`,
    isInRotation: () =>
      !stops.stops().some(it => {
        const sinceMs = performance.now() - it.from;
        return it.entry === entry && it.to === Infinity && sinceMs > MISSES_MS;
      }),
    isOver,
    onSeen: seen => all.push({entry, delayMs: link.delayMs, seen}),
  });
}

async function startCallers(
  links: ReadonlyArray<readonly DelayLink[]>,
  makeShape: MakeShape,
  isOver: () => boolean,
): Promise<void> {
  const perEntry = Math.max(
    LEAST_CALLERS_PER_ENTRY,
    Math.ceil(CALLERS / links.length),
  );
  const call = async (entry: number, at: number): Promise<void> => {
    await sleep((BEGIN_SPREAD_MS * at) / perEntry);
    const link = links[entry][at % links[entry].length];
    if (!isOver()) await callInSeries(makeShape(entry, link));
  };
  await Promise.all(
    links.flatMap((_, entry) =>
      Array.from({length: perEntry}, (__, at) => call(entry, at)),
    ),
  );
}

function startSitters(
  links: ReadonlyArray<readonly DelayLink[]>,
  makeShape: MakeShape,
  changes: LimitChanges,
) {
  return links.flatMap((own, entry) =>
    Array.from({length: SITTERS_PER_ENTRY}, () =>
      sit(makeShape(entry, own[0]), () => longestKeptMs(changes.history())),
    ),
  );
}

function factsFor(
  {dir, ignoresStated}: IdleShape,
  fleet: SoakFleet,
  changes: LimitChanges,
  {stops, freezes}: Disturbances,
  stalls: OwnStalls,
): (one: At) => JudgedFacts {
  const entries = fleet.entries.map(({name}, at): EntryFacts => {
    const {adoptions, turnedAway} = readEntryLog(dir, name);
    return {
      stops: stops.stops().filter(({entry}) => entry === at),
      freezes: freezes(at),
      turnedAway,
      adoptedAt: version => adoptions.get(version),
    };
  });
  return ({seen, entry, delayMs}) => ({
    history: changes.history(),
    entry: entries[entry],
    runs: runsOf(fleet, seen.id),
    delayMs,
    graceMs: GRACE_MS,
    wasHeldUp: stalls.hadAny(seen.beganAt, seen.endedAt),
    heedsStated: ignoresStated !== true,
  });
}

function runsOf({replicas}: SoakFleet, id: string): number {
  return replicas.reduce((sum, replica) => sum + replica.runs(id), 0);
}

function whyExcused(verdict: Verdict): readonly string[] {
  return verdict.kind === 'excused' ? [verdict.why] : [];
}

/** In words, what was broken. */
function describe(
  seen: Seen,
  verdict: Verdict,
  {history, entry, runs, delayMs}: JudgedFacts,
): readonly string[] {
  if (verdict.kind !== 'broken') return [];
  const {id, end, status, idleMs, statedMs, sentAt} = seen;
  const {openedAt, beganAt, endedAt, firstPassedAt, entryEndedAt} = seen;
  const ms = (from: number | undefined, to: number | undefined) =>
    from === undefined || to === undefined
      ? 'none'
      : `${Math.round(to - from)} ms`;
  const last = history.filter(({at}) => at <= endedAt).at(-1);
  const turnedAwayAt = entry.turnedAway
    .map(({to}) => to)
    .filter(at => at <= endedAt)
    .at(-1);
  return [
    `${id} ${verdict.what}: ${end} ${status ?? ''}, ` +
      `${ms(sentAt, endedAt)} after it was sent, ${ms(beganAt, endedAt)} after it began; ` +
      `its first byte passed on by the link ${ms(beganAt, firstPassedAt)} and its last one ${ms(beganAt, seen.passedAt)} after it began, ` +
      `the entry's end read there ${ms(beganAt, entryEndedAt)} after it began; ` +
      `opened ${ms(openedAt, beganAt)} before it began, ` +
      `idle ${ms(0, idleMs)}, stated ${ms(0, statedMs)}, cut ${seen.cut}, link ${delayMs} ms, ` +
      `ran ${runs} times; version ${last?.version} acknowledged ${ms(beganAt, last?.at)} and ` +
      `adopted ${ms(beganAt, entry.adoptedAt(last?.version ?? 0))} after it began, ` +
      `new connections closed ${ms(turnedAwayAt, endedAt)} before its end, ` +
      `ended at ${new Date(performance.timeOrigin + endedAt).toISOString()}`,
  ];
}

function seeded(seed: number, part: number): Random {
  const random = createSeededRandom(seed * 10_000 + part);
  for (let at = 0; at < WARM_UP_DRAWS; at++) random.next();
  return random;
}
