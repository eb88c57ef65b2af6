/**
 * One run: processes of the built program while replicas, the store and callers
 * send bytes without end, beside calm callers and sound answers in small pieces.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDraw} from '../odd_wires/draws.js';
import {judgeLines, longestStallMs} from '../odd_wires/wires_judge.js';
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
import {createGate} from '../starts_and_ends/gate.js';
import type {PartsShape} from '../starts_and_ends/play_parts.js';
import {buildProgram} from '../starts_and_ends/program_build.js';
import {askedAt, judgeLife} from '../starts_and_ends/starts_judge.js';
import type {LifeFacts} from '../starts_and_ends/starts_judge.js';
import {call, callWithFlood, callWithoutReading} from './flood_callers.js';
import type {FloodOutcome} from './flood_callers.js';
import {FLOOD_FORMS, FLOOD_NAMES} from './flood_forms.js';
import type {FloodName} from './flood_forms.js';
import {SMALL_PIECES, STREAM_EVENTS, startFloodsFleet} from './floods_fleet.js';
import {CALM_AGAIN_MS, judgeCalm, judgeWhole, tell} from './floods_judge.js';

/** Who floods, or what else meets the floods. */
export const FLOOD_PARTS = [
  'calls',
  'streams',
  'callers',
  'store',
  'unread',
  'sound',
  'ends',
] as const;
export type FloodPart = (typeof FLOOD_PARTS)[number];

export interface FloodsShape extends PartsShape<FloodPart> {
  /** @default each request's is drawn */
  readonly form?: FloodName;
  /** @default each request's is drawn */
  readonly status?: 200 | 500;
  /** Floods that begin in a second. @default drawn for the run */
  readonly perSecond?: number;
  /** @default drawn for the run */
  readonly memoryMb?: number;
}

const STATUSES = [200, 500] as const;
const RATES_PER_S = [1, 5, 20] as const;
const MEMORY_MB = [160, 250, 450] as const;
const CALM_PER_S = 10;
const FLOOD_MS = 4_000;
/** Calm callers go on so long after the floods. */
const AFTER_MS = 4_000;
/** The gate learns the usual rate of connections. */
const BEFORE_MS = 4_000;
/** Streams that begin shortly after one another, and the pause between two. */
const STREAMS = 30;
const STREAM_GAP_MS = 30;
const STORE_MS = 1_500;
const STORE_PAUSE_MS = 1_500;
const EXIT_SEEN_MS = 250;
const RETRIES = {ratio: 1, slack: 10_000, windowS: 10};

export async function runFloods(shape: FloodsShape) {
  const {seed, processes, durationMs, only, program, dir} = shape;
  const draw = createDraw(seeded(seed, 1));
  const plays = (part: FloodPart) => only === undefined || only === part;
  const perSecond = shape.perSecond ?? draw.one(RATES_PER_S);
  const memoryMb = shape.memoryMb ?? draw.one(MEMORY_MB);
  const drawForm = () => FLOOD_FORMS[shape.form ?? draw.one(FLOOD_NAMES)];
  let isOver = false;
  let isFlooding = false;
  let isStoreFlooding = false;
  let ids = 0;
  const calm: FloodOutcome[] = [];
  const pieces: FloodOutcome[] = [];
  const streams: FloodOutcome[] = [];
  const flooded: FloodOutcome[] = [];
  const fleet = await startFloodsFleet(
    () => ({form: drawForm(), status: shape.status ?? draw.one(STATUSES)}),
    () => isStoreFlooding,
  );
  const entries = await createEntries({
    seed,
    processes,
    dir,
    build: buildProgram(dir, program),
    store: fleet.store,
    memoryMb,
    retries: RETRIES,
    gate: createGate(),
    partsOf: at => (plays('ends') && !isSteady(at) ? ['signals'] : []),
  });
  const abort = abortAtExit(entries);
  const delay = monitorEventLoopDelay();
  const pending: Array<Promise<unknown>> = [];
  const shapeOf = (entry: number, path: string) => ({
    entry,
    address: entries[entry].callers,
    path,
    id: `flood-${++ids}`,
  });
  /** Begins one at a time, at a steady pace, until the run is over. */
  const atPace = async (
    gapMs: number,
    begin: (entry: number) => Promise<unknown>,
    when: () => boolean = () => true,
  ) => {
    for (let at = 0; !isOver; at++) {
      if (when()) pending.push(begin(at % entries.length));
      await sleep(gapMs / entries.length);
    }
  };
  const record =
    (path: string | (() => string), to: FloodOutcome[]) => async (at: number) =>
      to.push(
        await call(shapeOf(at, typeof path === 'string' ? path : path())),
      );
  const whileFlooding = (
    part: FloodPart,
    begin: (entry: number) => Promise<unknown>,
  ) =>
    plays(part) ? [atPace(1_000 / perSecond, begin, () => isFlooding)] : [];
  const floodPath = () => `/${draw.one(['flood-call', 'flood-once'])}/x`;
  const unreadPath = () => draw.one([floodPath(), '/flood-stream/x']);
  const spoilStore = async () => {
    while (isFlooding) {
      isStoreFlooding = true;
      await sleep(STORE_MS);
      isStoreFlooding = false;
      await sleep(STORE_PAUSE_MS);
    }
  };
  /** One after the other. */
  const sendPieces = async () => {
    for (let at = 0; isFlooding; at++) {
      await record('/calm/pieces', pieces)(at % entries.length);
    }
  };
  const openStreams = async () => {
    for (let at = 0; at < STREAMS; at++) {
      pending.push(record('/stream/x', streams)(at % entries.length));
      await sleep(STREAM_GAP_MS);
    }
  };
  try {
    await Promise.all(entries.map(entry => entry.begin()));
    await Promise.all(entries.map(entry => entry.settle()));
    delay.enable();
    const played: Array<Promise<unknown>> = [
      atPace(1_000 / CALM_PER_S, record('/calm/x', calm)),
      ...whileFlooding('calls', record(floodPath, flooded)),
      ...whileFlooding('streams', record('/flood-stream/x', flooded)),
      ...whileFlooding('callers', at =>
        callWithFlood(shapeOf(at, '/calm/x'), drawForm(), FLOOD_MS),
      ),
      ...whileFlooding('unread', at =>
        callWithoutReading(shapeOf(at, unreadPath()), FLOOD_MS),
      ),
    ];
    await sleep(BEFORE_MS);
    const from = performance.now();
    isFlooding = true;
    if (plays('sound')) played.push(sendPieces(), openStreams());
    if (plays('store')) played.push(spoilStore());
    if (plays('ends')) {
      played.push(...entries.map(entry => entry.play(() => !isFlooding)));
    }
    await sleep(durationMs);
    isFlooding = false;
    isStoreFlooding = false;
    const to = performance.now();
    await sleep(CALM_AGAIN_MS + AFTER_MS);
    isOver = true;
    await Promise.all(played);
    await Promise.all(pending);
    await Promise.all(entries.map(entry => entry.settle()));
    const observedTo = performance.now();
    await Promise.all(entries.map(entry => entry.finish()));

    const lives = factsOf(entries);
    const rules = {graceMs: TIMING.graceS * 1_000, observedTo};
    const inService = (all: readonly FloodOutcome[]) =>
      all.filter(it => isInService(it, lives));
    const violations = [
      ...lives.flatMap(life => [
        ...judgeLife(life, rules),
        ...judgeLines(life),
      ]),
      ...judgeCalm(inService(calm), {from, to}),
      ...judgeWhole('chunks of one byte', inService(pieces), SMALL_PIECES),
      ...judgeWhole('streams', inService(streams), STREAM_EVENTS),
    ];
    return {
      seed,
      perSecond,
      memoryMb,
      peakMb: peakMb(entries),
      floods: fleet.count(),
      pieces: pieces.length,
      calm: tell(inService(calm).filter(it => it.sentAt < to)),
      sound: `${pieces.length} answers in pieces, ${streams.length} streams`,
      flooded: countBy(flooded, it => String(it.status ?? 'none')),
      brokenByKind: countBy(violations, it => it.split(':')[0]),
      violations,
      longestStallMs: longestStallMs(lives),
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
    };
  } finally {
    isOver = true;
    abort();
    await fleet.close();
  }
}

/** The process was ready before it, and not asked to end until after it. */
function isInService(
  {entry, sentAt, endedAt}: FloodOutcome,
  lives: readonly LifeFacts[],
): boolean {
  return lives.some(
    life =>
      life.entry === entry &&
      (life.readyAt ?? Infinity) <= sentAt &&
      askedAt(life) >= endedAt &&
      // What an end by itself breaks off is reported as that.
      (life.end?.at ?? Infinity) >= endedAt + EXIT_SEEN_MS,
  );
}
