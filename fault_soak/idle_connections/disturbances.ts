/** What happens beside the new limits, to entries, replicas and the store. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/types/runtime.js';
import type {Span} from '../silent_replicas/replica_process.js';
import {createStopSeries} from '../silent_replicas/silence_stops.js';
import type {StopSeries} from '../silent_replicas/silence_stops.js';
import type {SoakFleet} from '../soak_fleet.js';

export const DISTURBANCES = [
  'hang-up',
  'stop',
  'freeze',
  'silent-replicas',
  'silent-store',
] as const;

export type Disturbance = (typeof DISTURBANCES)[number];

const SILENCE_MS = 1_000;
const MEAN_GAP_MS = 2_500;
const SHORTEST_FREEZE_MS = 200;
const FREEZE_SPREAD_MS = 2_000;
/** An entry is in touch again for a while before it is paused once more. */
const FREEZE_GAP_MS = 4_000;

export interface Disturbances {
  /** Disturbs in this way until the run is over; resolves when it is well. */
  disturbInSeries(
    how: Disturbance,
    random: Random,
    isOver: () => boolean,
  ): Promise<void>;
  readonly stops: StopSeries;
  /** Times in which the entry was paused. */
  freezes(entry: number): readonly Span[];
  counts(): Readonly<Record<string, number>>;
}

export function createDisturbances(fleet: SoakFleet): Disturbances {
  const stops = createStopSeries(fleet.entries);
  const freezes = fleet.entries.map((): Span[] => []);
  const counts: Record<string, number> = {};
  const drawn = <T>(all: readonly T[], random: Random): T =>
    all[Math.floor(random.next() * all.length)];

  const freeze = async (random: Random): Promise<void> => {
    const at = Math.floor(random.next() * fleet.entries.length);
    const from = performance.now();
    fleet.entries[at].pause();
    await sleep(SHORTEST_FREEZE_MS + random.next() * FREEZE_SPREAD_MS);
    fleet.entries[at].wake();
    freezes[at].push({from, to: performance.now()});
    await sleep(FREEZE_GAP_MS);
  };
  /** Their answers come when the silence is over. */
  const silenceReplicas = async (random: Random): Promise<void> => {
    const {service} = drawn(fleet.replicas, random);
    const isAll = random.next() < 0.5;
    const chosen = drawn(fleet.replicas, random);
    const silent = fleet.replicas.filter(
      it => it === chosen || (isAll && it.service === service),
    );
    for (const {link} of silent) link.apply({cut: 'towards-caller'});
    await sleep(SILENCE_MS);
    for (const {link} of silent) link.apply({cut: 'none'});
  };
  const silenceStore = async (): Promise<void> => {
    fleet.store.setMode('silent');
    await sleep(SILENCE_MS);
    fleet.store.setMode('well');
  };
  const repeat = async (
    how: Disturbance,
    disturb: (random: Random) => Promise<void>,
    random: Random,
    isOver: () => boolean,
  ): Promise<void> => {
    while (!isOver()) {
      await sleep(random.next() * 2 * MEAN_GAP_MS);
      if (isOver()) return;
      counts[how] = (counts[how] ?? 0) + 1;
      await disturb(random);
    }
  };
  return {
    disturbInSeries: (how, random, isOver) => {
      switch (how) {
        case 'hang-up':
          return stops.hangUpInSeries(random, isOver);
        case 'stop':
          return stops.stopInSeries(random, isOver);
        case 'freeze':
          return repeat(how, freeze, random, isOver);
        case 'silent-replicas':
          return repeat(how, silenceReplicas, random, isOver);
        case 'silent-store':
          return repeat(how, silenceStore, random, isOver);
      }
    },
    stops,
    freezes: entry => freezes[entry],
    counts: () => ({
      ...counts,
      'hang-up': stops.hangUps(),
      stop: stops.stops().length,
    }),
  };
}
