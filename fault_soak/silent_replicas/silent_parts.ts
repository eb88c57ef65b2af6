/**
 * Other parts than replicas that fall silent and go on: the store, an entry, two
 * entries at once, the store with an entry, all entries. An entry is silent as a
 * process that is paused; it is the home of permits for some replicas, and
 * requests, answers and configurations wait in its sockets.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoreStandIn} from '../../standins/users_platform/store.js';
import type {Random} from '../../src/types/runtime.js';
import type {EntryProcess} from '../entry_process.js';
import type {Span} from './replica_process.js';

export const PART_KINDS = [
  'store',
  'entry',
  'two-entries',
  'store-and-entry',
  'all-entries',
] as const;

export type PartKind = (typeof PART_KINDS)[number];

const SILENCES_MS = [300, 1_000, 1_700, 2_500] as const;
const SHORTEST_GAP_MS = 500;

export interface SilentParts {
  /** Silences one part after another until the run is over. */
  silenceInSeries(
    kinds: readonly PartKind[],
    random: Random,
    isOver: () => boolean,
  ): Promise<void>;
  /** How often each kind was silent. */
  counts(): Readonly<Record<string, number>>;
  /** Times in which the entry of this number was paused. */
  pausesOf(entry: number): readonly Span[];
}

export function createSilentParts(
  store: StoreStandIn,
  entries: readonly EntryProcess[],
): SilentParts {
  const counts: Record<string, number> = {};
  const pauses = new Map<number, Span[]>();

  const pauseEntries = async (
    numbers: readonly number[],
    ms: number,
  ): Promise<void> => {
    const from = performance.now();
    numbers.forEach(at => entries[at].pause());
    await sleep(ms);
    numbers.forEach(at => entries[at].wake());
    const span = {from, to: performance.now()};
    for (const at of numbers) {
      pauses.set(at, [...(pauses.get(at) ?? []), span]);
    }
  };
  const silenceStore = async (ms: number): Promise<void> => {
    store.setMode('silent');
    await sleep(ms);
    store.setMode('well');
  };
  const silence = async (
    kind: PartKind,
    first: number,
    ms: number,
  ): Promise<void> => {
    const all = entries.map((_, at) => (first + at) % entries.length);
    switch (kind) {
      case 'store':
        return silenceStore(ms);
      case 'entry':
        return pauseEntries(all.slice(0, 1), ms);
      case 'two-entries':
        return pauseEntries(all.slice(0, 2), ms);
      case 'store-and-entry':
        await Promise.all([
          silenceStore(ms),
          pauseEntries(all.slice(0, 1), ms),
        ]);
        return;
      case 'all-entries':
        return pauseEntries(all, ms);
    }
  };
  const drawOne = <T>(from: readonly T[], random: Random): T =>
    from[Math.floor(random.next() * from.length)];

  return {
    silenceInSeries: async (kinds, random, isOver) => {
      while (kinds.length > 0 && !isOver()) {
        await sleep(SHORTEST_GAP_MS * (1 + 2 * random.next()));
        const kind = drawOne(kinds, random);
        const first = Math.floor(random.next() * entries.length);
        await silence(kind, first, drawOne(SILENCES_MS, random));
        counts[kind] = (counts[kind] ?? 0) + 1;
      }
    },
    counts: () => counts,
    pausesOf: entry => pauses.get(entry) ?? [],
  };
}
