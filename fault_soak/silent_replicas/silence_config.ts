/**
 * Configurations of the soak of silent replicas. Each new version differs from
 * the one before in one thing: limits, the idle time-out, time-outs of routes,
 * the service of the streams' route, a second key, or that route itself.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ENGINE,
  KEY,
  configOf,
} from '../../standins/users_platform/deployment.js';
import type {StoreStandIn} from '../../standins/users_platform/store.js';
import type {Random} from '../../src/types/runtime.js';
import {TIMING} from '../soak_fleet.js';
import {SERVICE_COLD} from '../soak_replica.js';
import {
  DEADLINE_MS,
  FIRST_EVENT_AIM_MS,
  PAUSE_AIM_MS,
} from './silence_judge.js';
import type {Ended} from './silence_judge.js';

export const SECOND_KEY = 'key-2';

export const CHANGE_KINDS = [
  'limits',
  'idle',
  'timeout',
  'service',
  'key',
  'route',
] as const;

export type ChangeKind = (typeof CHANGE_KINDS)[number];

/** One engine has room for the streams of all callers. */
export const ROOMY_ENGINE = {
  ...ENGINE,
  slots: 128,
  kvCapacityTokens: 1_000_000,
  read_per_s: 10_000_000,
};

const SHORTEST_GAP_MS = 700;
const GAP_SPREAD_MS = 200;
const TIMEOUT_STEP_MS = 500;
const OTHER_IDLE_TIMEOUT_MS = 3_000;
const OTHER_LIMITS = {maxHeaderBytes: 8_192, maxBodyBytes: 20_000};

/** Kinds of changes that are made and not yet taken back. */
type Made = ReadonlySet<ChangeKind>;

interface Version {
  readonly made: Made;
  /** Steady time of the acknowledgement. */
  readonly at: number;
}

export interface ConfigSeries {
  /** Makes or takes back one change after another until the run is over. */
  changeInSeries(
    kinds: readonly ChangeKind[],
    random: Random,
    isOver: () => boolean,
  ): Promise<void>;
  /** Whether the newest version has the second key. */
  hasSecondKey(): boolean;
  /** How often each kind of change was made or taken back. */
  changes(): Readonly<Record<string, number>>;
  /** Whether some or all versions allow it that may have been in force. */
  allowed(request: Pick<Ended, 'kind' | 'key' | 'sentAt' | 'endedAt'>): {
    readonly bySome: boolean;
    readonly byAll: boolean;
  };
}

/** Writes the first version. */
export function createConfigSeries(store: StoreStandIn): ConfigSeries {
  const versions: Version[] = [];
  const counts: Record<string, number> = {};
  const write = (made: Made) => {
    store.put('config', 'main', configWith(versions.length + 1, made));
    versions.push({made, at: performance.now()});
  };
  write(new Set());
  return {
    changeInSeries: async (kinds, random, isOver) => {
      while (kinds.length > 0 && !isOver()) {
        await sleep(SHORTEST_GAP_MS + random.next() * GAP_SPREAD_MS);
        const drawn = kinds[Math.floor(random.next() * kinds.length)];
        const made = new Set(versions.at(-1)?.made);
        // Else the route would be away for half of the run.
        const kind = made.has('route') ? 'route' : drawn;
        if (!made.delete(kind)) made.add(kind);
        counts[kind] = (counts[kind] ?? 0) + 1;
        write(made);
      }
    },
    hasSecondKey: () => versions.at(-1)?.made.has('key') === true,
    changes: () => counts,
    allowed: request => {
      const from = request.sentAt - TIMING.configMs;
      const inForce = versions.filter(
        ({at}, index) =>
          at <= request.endedAt && (versions[index + 1]?.at ?? Infinity) > from,
      );
      const allows = ({made}: Version) =>
        (request.key !== SECOND_KEY || made.has('key')) &&
        (request.kind !== 'stream' || !made.has('route'));
      return {bySome: inForce.some(allows), byAll: inForce.every(allows)};
    },
  };
}

function configWith(version: number, made: Made) {
  const keys = made.has('key') ? [KEY, SECOND_KEY] : [KEY];
  const {routes, limits, ...rest} = configOf(version, keys);
  const timeoutMs = DEADLINE_MS + (made.has('timeout') ? TIMEOUT_STEP_MS : 0);
  const isFor = (name: string) => routes.filter(route => route.name === name);
  const streams = isFor('stream').map(route => ({
    ...route,
    timeoutMs,
    sloMs: FIRST_EVENT_AIM_MS,
    gapAimMs: PAUSE_AIM_MS,
  }));
  const moved = made.has('service') ? 'spare' : 'pool';
  return {
    ...rest,
    limits: {
      ...limits,
      ...(made.has('limits') ? OTHER_LIMITS : {}),
      ...(made.has('idle') ? {idleTimeoutMs: OTHER_IDLE_TIMEOUT_MS} : {}),
    },
    services: [
      {name: 'pool', engine: ROOMY_ENGINE},
      {name: 'spare', engine: ROOMY_ENGINE},
      {name: 'pair', engine: ROOMY_ENGINE, ...SERVICE_COLD},
      {name: 'desk'},
    ],
    routes: [
      ...(made.has('route') ? [] : streams).map(route => ({
        ...route,
        service: moved,
      })),
      ...streams.map(route => ({
        ...route,
        name: 'pair',
        pathPrefix: '/pair/',
        service: 'pair',
      })),
      ...[...isFor('long'), ...isFor('once')].map(route => ({
        ...route,
        timeoutMs,
      })),
    ],
  };
}
