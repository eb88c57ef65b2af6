/** Entries that are stopped and started again, and get SIGHUP. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/types/runtime.js';
import type {EntryProcess} from '../entry_process.js';
import {TIMING} from '../soak_fleet.js';
import type {Stop} from './silence_judge.js';

export const GRACE_MS = TIMING.graceS * 1_000;

const START_LIMIT_MS = 60_000;
const RESTART_LIMIT_MS = 15_000;
const MEAN_STOP_GAP_MS = 1_500;
const MEAN_HANG_UP_GAP_MS = 1_000;
const DOWN_MS = 400;
const POLL_MS = 50;
/** Overlapping stops: so many entries at once, of at least this many more. */
const LANES = 2;

export interface StopSeries {
  /**
   * Stops entries in turn until the run is over: one at a time or overlapping,
   * as drawn.
   */
  stopInSeries(random: Random, isOver: () => boolean): Promise<void>;
  /** SIGHUP to drawn entries until the run is over. */
  hangUpInSeries(random: Random, isOver: () => boolean): Promise<void>;
  stops(): readonly Stop[];
  hangUps(): number;
  violations(): readonly string[];
}

export function createStopSeries(entries: readonly EntryProcess[]): StopSeries {
  const stops: Stop[] = [];
  const violations: string[] = [];
  let hangUps = 0;

  const stop = async (at: number): Promise<void> => {
    const entry = entries[at];
    if (!entry.hasStarted()) return;
    const span: Stop = {entry: at, from: performance.now(), to: Infinity};
    stops.push(span);
    const {code, tookMs} = await entry.end();
    span.to = performance.now();
    if (code !== 0 || tookMs > GRACE_MS) {
      violations.push(
        `${entry.name} ended with ${code} after ${Math.round(tookMs)} ms`,
      );
    }
    await sleep(DOWN_MS);
    await entry.start();
    if (!(await untilReady([entry], RESTART_LIMIT_MS))) {
      violations.push(`${entry.name} is not ready ${RESTART_LIMIT_MS} ms on`);
    }
  };
  return {
    stopInSeries: async (random, isOver) => {
      const overlaps = random.next() < 0.5 && entries.length > LANES;
      const lanes = overlaps ? LANES : 1;
      let next = Math.floor(random.next() * entries.length);
      const stopSome = async (): Promise<void> => {
        while (!isOver()) {
          await sleep(random.next() * 2 * MEAN_STOP_GAP_MS);
          if (!isOver()) await stop(next++ % entries.length);
        }
      };
      await Promise.all(Array.from({length: lanes}, stopSome));
    },
    hangUpInSeries: async (random, isOver) => {
      while (!isOver()) {
        await sleep(random.next() * 2 * MEAN_HANG_UP_GAP_MS);
        const at = Math.floor(random.next() * entries.length);
        if (entries[at].hangUp()) hangUps++;
      }
    },
    stops: () => stops,
    hangUps: () => hangUps,
    violations: () => violations,
  };
}

export async function allReady(
  entries: readonly EntryProcess[],
): Promise<void> {
  if (await untilReady(entries, START_LIMIT_MS)) return;
  throw new Error(`entries are not ready after ${START_LIMIT_MS} ms`);
}

async function untilReady(
  entries: readonly EntryProcess[],
  limitMs: number,
): Promise<boolean> {
  const endsAt = performance.now() + limitMs;
  for (;;) {
    const ready = await Promise.all(entries.map(entry => entry.isReady()));
    if (!ready.includes(false)) return true;
    if (performance.now() > endsAt) return false;
    await sleep(POLL_MS);
  }
}
