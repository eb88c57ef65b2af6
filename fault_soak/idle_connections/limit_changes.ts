/**
 * New versions of the configuration that differ in limits alone. Each kind of
 * change comes in series of its own, so that several overlap.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {configOf} from '../../standins/users_platform/deployment.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';
import type {Random} from '../../src/types/runtime.js';
import {ROOMY_ENGINE} from '../silent_replicas/silence_config.js';
import {DEADLINE_MS} from './idle_connection.js';
import type {LimitVersion, Limits} from './limit_history.js';

export const CHANGE_KINDS = [
  'idle-raised',
  'idle-lowered',
  'idle-turns',
  'header-time',
  'sizes',
] as const;

export type ChangeKind = (typeof CHANGE_KINDS)[number];

/** Idle limits of a run, in rising order; in milliseconds. */
export const LADDERS: ReadonlyArray<readonly number[]> = [
  [500, 1_000, 2_000, 4_000],
  [1_000, 3_000, 8_000],
  [1_000, 8_000, 15_000],
  [3_000, 9_000],
];

/** Pause between two changes of the idle limit: so much, and its share of it. */
const SHORTEST_IDLE_GAP_MS = 1_500;
const SHORTEST_GAP_MS = 1_500;
const GAP_SPREAD_MS = 2_500;
/** The first version but for the idle limit. */
const USUAL = {
  maxHeaderBytes: 4_096,
  maxBodyBytes: 10_000,
  headerTimeoutMs: 3_000,
};
const LOWERED_HEADER_TIMEOUT_MS = 1_000;
const LOWERED_SIZES = {maxHeaderBytes: 2_048, maxBodyBytes: 4_000};

export interface LimitChanges {
  /** Rises with each version. */
  history(): readonly LimitVersion[];
  /** Makes changes of the kind until the run is over. */
  changeInSeries(
    kind: ChangeKind,
    random: Random,
    isOver: () => boolean,
  ): Promise<void>;
}

/** Writes the version before all changes. */
export function createLimitChanges(
  store: StoreStandIn,
  ladder: readonly number[],
  firstIdleMs: number,
): LimitChanges {
  const history: LimitVersion[] = [];
  let limits: Limits = {...USUAL, idleTimeoutMs: firstIdleMs};
  const write = (changed: Partial<Limits>): void => {
    limits = {...limits, ...changed};
    // The fleet's own configuration is the first one.
    const version = history.length + 2;
    store.put('config', 'main', configWith(version, limits));
    history.push({version, limits, at: performance.now()});
  };
  const changeIdle = async (
    next: (random: Random) => number,
    random: Random,
    isOver: () => boolean,
  ): Promise<void> => {
    while (!isOver()) {
      const share = 0.3 + 0.9 * random.next();
      await sleep(SHORTEST_IDLE_GAP_MS + share * limits.idleTimeoutMs);
      if (!isOver()) write({idleTimeoutMs: next(random)});
    }
  };
  const takeTurns = async (
    lowered: Partial<Limits>,
    random: Random,
    isOver: () => boolean,
  ): Promise<void> => {
    for (let isLowered = true; !isOver(); isLowered = !isLowered) {
      await sleep(SHORTEST_GAP_MS + random.next() * GAP_SPREAD_MS);
      if (!isOver()) write(isLowered ? lowered : backTo(lowered));
    }
  };
  const stepBy = (step: number) => (): number => {
    const at = ladder.indexOf(limits.idleTimeoutMs) + step;
    return ladder[(at + ladder.length) % ladder.length];
  };
  const other = (random: Random): number => {
    const others = ladder.filter(it => it !== limits.idleTimeoutMs);
    return others[Math.floor(random.next() * others.length)] ?? ladder[0];
  };
  write({});
  return {
    history: () => history,
    changeInSeries: (kind, random, isOver) => {
      switch (kind) {
        case 'idle-raised':
          return changeIdle(stepBy(1), random, isOver);
        case 'idle-lowered':
          return changeIdle(stepBy(-1), random, isOver);
        case 'idle-turns':
          return changeIdle(other, random, isOver);
        case 'header-time': {
          const headerTimeoutMs = LOWERED_HEADER_TIMEOUT_MS;
          return takeTurns({headerTimeoutMs}, random, isOver);
        }
        case 'sizes':
          return takeTurns(LOWERED_SIZES, random, isOver);
      }
    },
  };
}

/** The usual values of the limits that are lowered. */
function backTo(lowered: Partial<Limits>): Partial<Limits> {
  const names = Object.keys(lowered) as Array<keyof typeof USUAL>;
  return Object.fromEntries(names.map(name => [name, USUAL[name]]));
}

function configWith(version: number, limits: Limits) {
  const config = configOf(version);
  return {
    ...config,
    limits,
    services: [{name: 'pool', engine: ROOMY_ENGINE}, {name: 'desk'}],
    routes: config.routes
      .filter(({name}) => name === 'stream' || name === 'once')
      .map(route => ({...route, timeoutMs: DEADLINE_MS})),
  };
}
