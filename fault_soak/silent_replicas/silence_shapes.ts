/**
 * Which engines fall silent, when and for how long. The moments are drawn
 * freely, so silences begin before a connection is accepted, before a head and
 * between events.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/types/runtime.js';
import type {ReplicaProcess, Span} from './replica_process.js';

/** One engine often, each in turn, all of a failure domain, or all. */
export const GROUPS = ['one', 'turn', 'domain', 'all'] as const;

export type Group = (typeof GROUPS)[number];

export const SILENCES_MS = [300, 700, 1_000, 1_500, 2_500] as const;

/** A group is drawn anew after so many silences. */
const SILENCES_PER_GROUP = 4;

export interface SilenceDraw {
  /** @default drawn, several in a run */
  readonly group: Group | undefined;
  /** @default drawn for each silence */
  readonly silenceMs: number | undefined;
  /** Pause between two silences: at least this, and up to three times it. */
  readonly shortestGapMs: number;
}

function drawOne<T>(all: readonly T[], random: Random): T {
  return all[Math.floor(random.next() * all.length)];
}

/** The engines of the group; `turn` rises with each silence. */
export function chooseSilent<T extends {readonly domain: string}>(
  engines: readonly T[],
  group: Group,
  turn: number,
): readonly T[] {
  const chosen = engines[turn % engines.length];
  switch (group) {
    case 'one':
      return engines.slice(0, 1);
    case 'turn':
      return [chosen];
    case 'domain':
      return engines.filter(({domain}) => domain === chosen.domain);
    case 'all':
      return engines;
  }
}

/** Resolves with the number of silences of each group, with their length. */
export async function silenceInSeries(
  engines: readonly ReplicaProcess[],
  draw: SilenceDraw,
  random: Random,
  isOver: () => boolean,
): Promise<Readonly<Record<string, number>>> {
  const counts: Record<string, number> = {};
  let group: Group = 'one';
  for (let turn = 0; !isOver(); turn++) {
    if (turn % SILENCES_PER_GROUP === 0) group = drawOne(GROUPS, random);
    const {shortestGapMs} = draw;
    await sleep(shortestGapMs * (1 + 2 * random.next()));
    const which = draw.group ?? group;
    const silent = chooseSilent(engines, which, turn);
    const ms = draw.silenceMs ?? drawOne(SILENCES_MS, random);
    silent.forEach(engine => engine.pause());
    await sleep(ms);
    silent.forEach(engine => engine.wake());
    const name = `${which} ${ms}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Time between `from` and `to` that any of the spans covers. */
export function coveredMs(
  spans: readonly Span[],
  from: number,
  to: number,
): number {
  let sum = 0;
  let coveredTo = from;
  for (const span of [...spans].sort((a, b) => a.from - b.from)) {
    const begin = Math.max(span.from, coveredTo);
    const end = Math.min(span.to, to);
    if (end <= begin) continue;
    sum += end - begin;
    coveredTo = end;
  }
  return sum;
}
