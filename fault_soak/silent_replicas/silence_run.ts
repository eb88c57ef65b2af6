/**
 * One run in which sound replicas fall silent for a second or so and go on,
 * beside new versions of the configuration, stops of entries, and a service
 * whose other replica is of no use. Nothing else fails, so each request that is
 * sent with time enough ends with a complete answer.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {seeded} from '../plan/seeded.js';
import {troubleOther} from './other_replica.js';
import type {OtherKind} from './other_replica.js';
import {callInSeries} from './silence_callers.js';
import type {ChangeKind} from './silence_config.js';
import {startSilenceFleet} from './silence_fleet.js';
import type {SilenceFleet} from './silence_fleet.js';
import {endOf, isStream, judge} from './silence_judge.js';
import type {Ended, RequestFacts} from './silence_judge.js';
import {countBy, summarise} from './silence_report.js';
import type {StreamFigures} from './silence_report.js';
import {coveredMs, silenceInSeries} from './silence_shapes.js';
import type {Group} from './silence_shapes.js';
import {createSilentParts} from './silent_parts.js';
import type {PartKind, SilentParts} from './silent_parts.js';
import {GRACE_MS, allReady, createStopSeries} from './silence_stops.js';
import type {StopSeries} from './silence_stops.js';

export interface SilenceShape {
  readonly seed: number;
  /** Entries, each a process. */
  readonly processes: number;
  /** Engines of the pool, each a process. @default drawn */
  readonly engines?: number;
  /** @default drawn for each silence */
  readonly silenceMs?: number;
  /** Engines of the pool that fall silent together. @default drawn */
  readonly group?: Group;
  /** How the other engine of the pair is of no use. @default drawn in turn */
  readonly other?: OtherKind | 'none';
  /** Whether engines fall silent. @default true */
  readonly silences?: boolean;
  /** Other parts that fall silent. @default none */
  readonly parts?: readonly PartKind[];
  /** Kinds of new versions that come. */
  readonly changes: readonly ChangeKind[];
  /** Whether entries are stopped and started, and get SIGHUP. */
  readonly stops: boolean;
  readonly durationMs: number;
  /** Where settings and logs are written. */
  readonly dir: string;
}

export interface SilenceReport extends StreamFigures {
  readonly seed: number;
  readonly engines: number;
  /** By group and length. */
  readonly silences: Readonly<Record<string, number>>;
  readonly changes: Readonly<Record<string, number>>;
  /** How often each other part was silent. */
  readonly parts: Readonly<Record<string, number>>;
  /** How often the other engine of the pair became useless in each way. */
  readonly others: Readonly<Record<string, number>>;
  readonly stops: number;
  readonly hangUps: number;
  readonly requests: number;
  /** Requests by their kind and how they ended. */
  readonly byEnd: Readonly<Record<string, number>>;
  readonly violations: readonly string[];
  /** 99th percentile of this process's own delay, in milliseconds. */
  readonly ownDelayMs: number;
}

/** Sizes of the pool; a group of engines needs two. */
const POOL_SIZES = [1, 2, 3];
const POOL_GAP_MS = 400;
/** The sound engine of the pair is silent less often. */
const PAIR_GAP_MS = 1_200;
/** Replicas tell late what reached them while they were silent. */
const SETTLE_MS = 500;

/** The end of a replica ends an answer within this time. */
const BREAK_SEEN_MS = 500;
/** Callers see the end of an entry's process within this time after it. */
const END_SEEN_MS = 1_000;

export async function runSilences(shape: SilenceShape): Promise<SilenceReport> {
  const {seed, other, silenceMs} = shape;
  const drawn = Math.floor(seeded(seed, 0).next() * POOL_SIZES.length);
  const poolSize = shape.engines ?? POOL_SIZES[drawn];
  const fleet = await startSilenceFleet(shape.processes, poolSize, shape.dir);
  const delay = monitorEventLoopDelay();
  try {
    await allReady(fleet.entries);
    delay.enable();
    let isOver = false;
    const over = () => isOver;
    const stops = createStopSeries(fleet.entries);
    const isPair = ({service}: {readonly service: string}) =>
      service === 'pair';
    const sound = fleet.engines.filter(isPair);
    const pool = fleet.engines.filter(engine => !isPair(engine));
    const poolDraw = {
      group: shape.group,
      silenceMs,
      shortestGapMs: POOL_GAP_MS,
    };
    const pairDraw = {
      group: 'one',
      silenceMs,
      shortestGapMs: PAIR_GAP_MS,
    } as const;
    const isSilenced = shape.silences ?? true;
    const silences = isSilenced
      ? silenceInSeries(pool, poolDraw, seeded(seed, 2), over)
      : Promise.resolve({});
    const pairSilences = isSilenced
      ? silenceInSeries(sound, pairDraw, seeded(seed, 3), over)
      : Promise.resolve({});
    const parts = createSilentParts(fleet.store, fleet.entries);
    const others =
      other === 'none'
        ? Promise.resolve({})
        : troubleOther(fleet, other, seeded(seed, 4), over);
    const troubles = [
      parts.silenceInSeries(shape.parts ?? [], seeded(seed, 7), over),
      fleet.config.changeInSeries(shape.changes, seeded(seed, 1), over),
      ...(shape.stops
        ? [
            stops.stopInSeries(seeded(seed, 5), over),
            stops.hangUpInSeries(seeded(seed, 6), over),
          ]
        : []),
    ];
    const ended: Ended[] = [];
    const callers = callInSeries(
      fleet.entries,
      {
        sendLong: poolSize > 1,
        sendPair: other !== 'none',
        hasSecondKey: fleet.config.hasSecondKey,
      },
      one => ended.push(one),
      over,
    );
    await sleep(shape.durationMs);
    isOver = true;
    const silenceCounts = await silences;
    await pairSilences;
    const otherCounts = await others;
    await Promise.all(troubles);
    await callers;
    await sleep(SETTLE_MS);
    const look = (one: Ended) => factsOf(one, fleet, stops, parts);
    const facts = new Map(ended.map(it => [it, look(it)]));
    const known = (one: Ended) => facts.get(one) ?? look(one);
    return {
      seed,
      engines: poolSize,
      silences: silenceCounts,
      changes: fleet.config.changes(),
      parts: parts.counts(),
      others: otherCounts,
      stops: stops.stops().length,
      hangUps: stops.hangUps(),
      requests: ended.length,
      byEnd: countBy(ended, it => `${it.kind} ${endOf(it)}`),
      ...summarise(ended.filter(isStream), known),
      violations: [
        ...ended.flatMap(one => judge(one, known(one))),
        ...stops.violations(),
        ...fleet.entries.flatMap(entry => entry.faults()),
      ],
      ownDelayMs: Math.round(delay.percentile(99) / 1e6),
    };
  } finally {
    await fleet.close();
  }
}

function factsOf(
  one: Ended,
  fleet: SilenceFleet,
  stops: StopSeries,
  parts: SilentParts,
): RequestFacts {
  const {id, kind, entry, sentAt, endedAt} = one;
  const engines = fleet.enginesOf(kind);
  const silences = engines.flatMap(engine => engine.silences());
  const {bySome, byAll} = fleet.config.allowed(one);
  const runs = fleet.runs(id);
  return {
    runs,
    attempts: engines.reduce((sum, it) => sum + it.refusals(id), runs),
    brokeOff: engines.some(engine =>
      engine.brokeOff(id, Math.max(sentAt, endedAt - BREAK_SEEN_MS), endedAt),
    ),
    isAtWork: at => engines.some(engine => engine.isAtWork(id, at)),
    stop: stops
      .stops()
      .find(
        it =>
          it.entry === entry &&
          it.from <= endedAt &&
          it.to + END_SEEN_MS >= endedAt,
      ),
    graceMs: GRACE_MS,
    silentMs: coveredMs(silences, sentAt, endedAt),
    entrySilentMs: coveredMs(parts.pausesOf(entry), sentAt, endedAt),
    isStillRun: fleet.engines.some(it => it.isAtWork(id, performance.now())),
    allowedBySome: bySome,
    allowedByAll: byAll,
  };
}
