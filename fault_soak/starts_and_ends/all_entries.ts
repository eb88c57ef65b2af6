/** The entries of a run: each a series of processes of the built program. */
import {freeAddresses} from '../../demo/free_addresses.js';
import type {DirectSettings} from '../../src/direct/settings.js';
import {seeded} from '../plan/seeded.js';
import {PORTS_PER_ENTRY, TIMING, settingsOf} from '../soak_fleet.js';
import {createEntrySeries} from './entry_series.js';
import type {EntrySeries, SeriesPart} from './entry_series.js';
import type {Gate} from './gate.js';
import type {ProgramBuild} from './program_build.js';
import type {LifeFacts} from './starts_judge.js';

/** As the users' sheets have it: evidence for keys is accepted so long. */
const REVOKE_MS = 5_000;
/** One entry of so many is not ended. */
const STEADY_OF = 3;

export interface EntriesShape {
  readonly seed: number;
  readonly processes: number;
  readonly dir: string;
  readonly build: ProgramBuild;
  /** Address of the store. */
  readonly store: string;
  readonly memoryMb: number;
  /** @default as in the settings of all soaks */
  readonly retries?: DirectSettings['retries'];
  readonly gate: Gate;
  /** What ends, starts or signals the processes of the entry with this index. */
  partsOf(at: number): readonly SeriesPart[];
  /** Another program may have the address of an entry's metrics. */
  readonly metricsHeldAt?: number;
}

export async function createEntries(
  shape: EntriesShape,
): Promise<readonly EntrySeries[]> {
  const {seed, processes, dir, build, store, memoryMb, gate} = shape;
  const ports = await freeAddresses(processes * PORTS_PER_ENTRY);
  const timing = {...TIMING, revokeMs: REVOKE_MS};
  return Array.from({length: processes}, (_, at) => {
    const from = at * PORTS_PER_ENTRY;
    const addresses = ports.slice(from, from + PORTS_PER_ENTRY);
    const settings = settingsOf(at, store, addresses, timing);
    const {retries = settings.retries} = shape;
    const limits = {...settings.limits, memoryMb};
    return createEntrySeries({
      entry: at,
      settings: {...settings, limits, retries},
      addresses,
      parts: new Set(shape.partsOf(at)),
      holdsMetrics: at === shape.metricsHeldAt,
      random: seeded(seed, 10 + at),
      gate,
      dir,
      build,
    });
  });
}

/** Whether the entry with this index goes on while others are ended. */
export function isSteady(at: number, steadyAt = 0): boolean {
  return at % STEADY_OF === steadyAt;
}

/** Else processes would live on after a soak that is interrupted. */
export function abortAtExit(entries: readonly EntrySeries[]): () => void {
  const abort = () => entries.forEach(entry => entry.abort());
  process.once('exit', abort);
  return () => {
    process.off('exit', abort);
    abort();
  };
}

export function factsOf(entries: readonly EntrySeries[]): readonly LifeFacts[] {
  return entries.flatMap(it => it.lives.map(life => life.facts()));
}

/** Largest resident size of any process, in megabytes. */
export function peakMb(entries: readonly EntrySeries[]): number {
  const peaks = entries.flatMap(it => it.lives.map(life => life.peakMb()));
  return Math.round(Math.max(...peaks));
}
