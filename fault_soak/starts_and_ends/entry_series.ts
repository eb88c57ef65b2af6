/**
 * The processes of one entry in series: how each ends, what the next one meets
 * at its start, and the signals that it gets at any time.
 */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DirectSettings} from '../../src/direct/settings.js';
import type {Random} from '../../src/types/runtime.js';
import {isEntryReady} from '../../standins/users_platform/entry_program.js';
import type {Gate} from './gate.js';
import {
  BROKEN_SETTINGS,
  HELD,
  breakSettings,
  hold,
  jumpingClock,
} from './obstacles.js';
import type {Held} from './obstacles.js';
import type {ProgramBuild} from './program_build.js';
import {startLife} from './program_life.js';
import type {ProgramLife} from './program_life.js';
import {READY_LIMIT_MS} from './starts_judge.js';

/** Parts of the soak that end, start or signal processes. */
export const SERIES_PARTS = [
  'kills',
  'beside',
  'addresses',
  'settings',
  'signals',
  'clocks',
  'half-cores',
] as const;
export type SeriesPart = (typeof SERIES_PARTS)[number];

const POLL_MS = 100;
/** The platform starts a process that ended again after so long. */
const RESTART_MS = 300;
/** An obstacle may last a while, and then the start. */
const SETTLE_LIMIT_MS = READY_LIMIT_MS + 5_000;
const MEAN_SERVICE_MS = 2_500;
const LONGEST_HOLD_MS = 3_000;
const LONGEST_BROKEN_MS = 2_000;
const LONGEST_LEAD_MS = 600;
/** A start takes less; a signal meets any moment of it. */
const START_MS = 500;
const OBSTACLE_SHARE = 0.5;
const SERIES_SHARE = 0.4;
const END_AT_START_SHARE = 0.2;
const BESIDE_SHARE = 0.5;
const JUMP_SHARE = 0.3;
const HALF_CORE_SHARE = 0.3;
const MOST_SIGNALS = 3;
/** SIGQUIT may drain, or be ignored: then SIGTERM follows. */
const QUIT_MS = 1_000;

const HARMLESS = ['SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGPIPE'] as const;
const PLANNED = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const;

export interface EntrySeries {
  readonly callers: string;
  /** Address of its readiness check. */
  readonly ready: string;
  readonly metrics: string;
  /** Where it takes messages of other entries. */
  readonly peers: string;
  readonly lives: readonly ProgramLife[];
  /** What was played, by name. */
  readonly played: readonly string[];
  /** Starts it without an obstacle but for its metrics. */
  begin(): Promise<void>;
  play(isOver: () => boolean): Promise<void>;
  /** Ends all its processes at once; one starts anew while it is played. */
  losePower(): void;
  /** Until it is ready, or later than the judge allows. */
  settle(): Promise<void>;
  /** SIGTERM, and the end. */
  finish(): Promise<void>;
  abort(): void;
}

export interface SeriesShape {
  readonly entry: number;
  readonly settings: DirectSettings;
  readonly addresses: readonly string[];
  readonly parts: ReadonlySet<SeriesPart>;
  /** Another program has the address of its metrics during the whole run. */
  readonly holdsMetrics: boolean;
  readonly random: Random;
  /** While it is closed nothing is done to the entry. */
  readonly gate: Gate;
  readonly dir: string;
  readonly build: ProgramBuild;
}

export function createEntrySeries(shape: SeriesShape): EntrySeries {
  const {entry, settings, addresses, parts, random, dir, build} = shape;
  const {holdsMetrics, gate} = shape;
  const settingsPath = join(dir, `${settings.node}.settings.json`);
  const lives: ProgramLife[] = [];
  const played: string[] = [];
  const releases: Array<() => void> = [];
  /** Two at once would leave the file broken for good. */
  let settingsWhole = Promise.resolve();
  const one = <T>(all: readonly T[]): T =>
    all[Math.floor(random.next() * all.length)];
  const upTo = (ms: number) => random.next() * ms;
  const current = () => lives[lives.length - 1];
  const isServing = () => current().isRunning() && current().isReady();

  /** As the platform fills them in. */
  const settingsText = () =>
    JSON.stringify({...settings, bootstrap: lives.length === 0}, null, 2);
  /** Starts it while the obstacles last; returns at once. */
  const launch = (obstacles: ReadonlyArray<Promise<void>>): ProgramLife => {
    const jumps = parts.has('clocks') && random.next() < JUMP_SHARE;
    const hasHalfCore =
      parts.has('half-cores') && random.next() < HALF_CORE_SHARE;
    if (jumps) played.push('clock jump');
    if (hasHalfCore) played.push('half core');
    const life = startLife({
      name: `${settings.node}-${lives.length}`,
      entry,
      settingsPath,
      memoryMb: settings.limits.memoryMb,
      graceMs: settings.timing.graceS * 1_000,
      dir,
      build,
      first: jumps ? jumpingClock(random) : '',
      hasHalfCore,
    });
    const before = lives.map(it => it.exited);
    lives.push(life);
    void Promise.all([...before, ...obstacles]).then(() => life.clear());
    void watchReady(life, before);
    return life;
  };
  /** Only its own answers count, not those of one that still drains. */
  const watchReady = async (
    life: ProgramLife,
    before: ReadonlyArray<Promise<void>>,
  ) => {
    await Promise.all(before);
    while (life.isRunning() && !(await isEntryReady(settings.listen.ready))) {
      await sleep(POLL_MS);
    }
    if (life.isRunning()) life.ready();
  };
  const launchPlain = async () => {
    await settingsWhole;
    writeFileSync(settingsPath, settingsText());
    return launch([]);
  };
  /** Waits, and starts it again as the platform does when it has ended. */
  const stay = async (ms: number, isDone = () => false) => {
    const until = performance.now() + ms;
    while (performance.now() < until && !isDone()) {
      await sleep(Math.min(POLL_MS, ms));
      if (current().isRunning()) continue;
      await sleep(RESTART_MS);
      await launchPlain();
    }
  };
  const sendSome = (life: ProgramLife, withinMs: number, when: string) =>
    gate.run(() => sendDrawn(life, withinMs, when));
  const sendDrawn = async (
    life: ProgramLife,
    withinMs: number,
    when: string,
  ) => {
    if (!parts.has('signals')) return;
    for (let count = 1 + Math.floor(upTo(MOST_SIGNALS)); count > 0; count--) {
      await sleep(upTo(withinMs / MOST_SIGNALS));
      const signal = one(HARMLESS);
      if (life.isRunning()) played.push(`${signal} in ${when}`);
      life.send(signal);
    }
  };
  const drawEnding = (): NodeJS.Signals => {
    const isPlanned = parts.has('signals') || parts.has('beside');
    if (!isPlanned) return 'SIGKILL';
    const all = parts.has('signals') ? PLANNED : ['SIGTERM' as const];
    return one(parts.has('kills') ? [...all, 'SIGKILL' as const] : all);
  };
  /** Ends it; resolves at its end, or before, with one that still drains. */
  const endCurrent = async (): Promise<void> => {
    const life = current();
    const ending = drawEnding();
    played.push(ending);
    life.send(ending);
    if (ending !== 'SIGKILL') void sendSome(life, START_MS, 'drain');
    if (ending === 'SIGQUIT') {
      await Promise.race([life.exited, sleep(QUIT_MS)]);
      life.send('SIGTERM');
    }
    const isBeside = parts.has('beside') && random.next() < BESIDE_SHARE;
    if (!isBeside || ending === 'SIGKILL') await life.exited;
    else await Promise.race([life.exited, sleep(upTo(LONGEST_LEAD_MS))]);
    if (life.isRunning()) played.push('start beside');
  };
  /** Once it is taken, gives the moment at which it is free again. */
  const takeAddress = async (which: Held) => {
    const release = await hold(which, addresses);
    played.push(`taken ${which}`);
    const freed = sleep(upTo(LONGEST_HOLD_MS)).then(release);
    // Nothing that serves callers needs the metrics.
    return {obstacle: which === 'metrics' ? Promise.resolve() : freed};
  };
  /** Obstacles of the next start; each resolves when it is gone. */
  const obstruct = async (): Promise<ReadonlyArray<Promise<void>>> => {
    const obstacles: Array<Promise<void>> = [];
    const isFree = lives.every(life => !life.isRunning());
    if (isFree && parts.has('addresses') && random.next() < OBSTACLE_SHARE) {
      for (const which of new Set([one(HELD), one(HELD)])) {
        if (which === 'metrics' && holdsMetrics) continue;
        obstacles.push((await takeAddress(which)).obstacle);
      }
    }
    writeFileSync(settingsPath, settingsText());
    if (parts.has('settings') && random.next() < OBSTACLE_SHARE) {
      const how = one(BROKEN_SETTINGS);
      played.push(`settings ${how}`);
      const forMs = upTo(LONGEST_BROKEN_MS);
      settingsWhole = breakSettings(how, settingsPath, settingsText(), forMs);
      obstacles.push(settingsWhole);
    }
    return obstacles;
  };
  const restart = async (): Promise<void> => {
    await endCurrent();
    await settingsWhole;
    const life = launch(await obstruct());
    void sendSome(life, START_MS, 'start');
    if (parts.has('signals') && random.next() < END_AT_START_SHARE) {
      await sleep(upTo(START_MS));
      const signal = one(['SIGTERM', 'SIGINT'] as const);
      if (life.isRunning()) played.push(`${signal} in start`);
      life.send(signal);
      await life.exited;
    }
    while (parts.has('kills') && random.next() < SERIES_SHARE) {
      await sleep(upTo(START_MS));
      if (current().isRunning()) played.push('SIGKILL in start');
      current().send('SIGKILL');
      await current().exited;
      await launchPlain();
    }
  };
  return {
    callers: settings.listen.callers,
    ready: settings.listen.ready,
    metrics: settings.listen.metrics,
    peers: addresses[3],
    lives,
    played,
    begin: async () => {
      if (holdsMetrics) {
        const release = await hold('metrics', addresses);
        releases.push(release);
      }
      await launchPlain();
    },
    play: async isOver => {
      while (!isOver()) {
        await stay(upTo(2 * MEAN_SERVICE_MS), isOver);
        if (isOver() || parts.size === 0 || gate.isClosed()) continue;
        await gate.run(async () => {
          void sendSome(current(), MEAN_SERVICE_MS, 'service');
          await stay(upTo(MEAN_SERVICE_MS));
          await restart();
          await stay(READY_LIMIT_MS, isServing);
        });
      }
    },
    losePower: () => lives.forEach(life => life.send('SIGKILL')),
    settle: () => stay(SETTLE_LIMIT_MS, isServing),
    finish: async () => {
      current().send('SIGTERM');
      await Promise.all(lives.map(life => life.exited));
      for (const release of releases) release();
    },
    abort: () => lives.forEach(life => life.send('SIGKILL')),
  };
}
