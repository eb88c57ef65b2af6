/** A real entry as a process of its own, with signals from outside. */
import {spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {request} from 'undici';
import type {DirectSettings} from '../src/direct/settings.js';

/** Build folder: this module runs from `<build>/fault_soak`, or as source. */
const BUILD_DIR = import.meta.filename.endsWith('.ts')
  ? join(import.meta.dirname, '..', 'dist')
  : join(import.meta.dirname, '..');

/** Steps of its time of day, each taken once, in milliseconds. */
const CLOCK_STEPS_MS = [4_000, -6_000, 3_000, -2_000, 5_000, -4_000];

export interface EntryProcess {
  readonly name: string;
  readonly callers: string;
  /** It runs, and no signal or start came since then; steady time. */
  isUndisturbedSince(at: number): boolean;
  /** Starts it once its last process is gone; nothing when it runs. */
  start(): Promise<void>;
  pause(): void;
  wake(): void;
  stepClock(): void;
  /** SIGHUP, if it can take it yet; whether it was sent. */
  hangUp(): boolean;
  kill(): Promise<void>;
  /** SIGKILL without a wait, for when the soak itself ends. */
  abort(): void;
  /** SIGTERM; resolves with the exit code and the time that it took. */
  end(): Promise<{readonly code: number; readonly tookMs: number}>;
  isReady(): Promise<boolean>;
  /** Its newest process has said that it started, and takes signals. */
  hasStarted(): boolean;
  /**
   * Ends that nobody asked for, and lines of its log that tell of a broken
   * invariant or are not JSON.
   */
  faults(): readonly string[];
}

interface Running {
  readonly pid: number;
  readonly exited: Promise<number>;
}

/** Code for an end by a signal. */
const SIGNALLED = -1;

export function createEntryProcess(
  settings: DirectSettings,
  dir: string,
): EntryProcess {
  const name = settings.node;
  const settingsPath = join(dir, `${name}.settings.json`);
  const logPath = join(dir, `${name}.log`);
  let running: Running | undefined;
  let lastExit: Promise<number> | undefined;
  let launches = 0;
  const died: string[] = [];
  let paused = false;
  let disturbedAt = performance.now();

  // As the platform does at each start.
  const writeSettings = () => {
    const filled = {...settings, bootstrap: launches === 0};
    writeFileSync(settingsPath, JSON.stringify(filled, null, 2));
  };
  const launch = (): Running => {
    writeSettings();
    launches += 1;
    const log = openSync(logPath, 'a');
    const clock = join(BUILD_DIR, 'standins', 'stepping_clock.js');
    const program = join(BUILD_DIR, 'platform', 'main.js');
    const child = spawn(process.execPath, ['--import', clock, program], {
      stdio: ['ignore', log, log],
      env: {
        ...process.env,
        ONYXLOFT_NODE_FILE: settingsPath,
        CLOCK_STEPS_MS: CLOCK_STEPS_MS.join(),
      },
    });
    closeSync(log);
    if (child.pid === undefined) throw new Error(`cannot start ${name}`);
    const exited = new Promise<number>(resolve => {
      child.once('exit', code => {
        if (running?.pid === child.pid) {
          running = undefined;
          died.push(`${name} ended by itself with code ${code}`);
        }
        resolve(code ?? SIGNALLED);
      });
    });
    return {pid: child.pid, exited};
  };
  const signal = (which: NodeJS.Signals) => {
    disturbedAt = performance.now();
    if (running !== undefined) process.kill(running.pid, which);
  };
  const wake = () => {
    if (!paused) return;
    paused = false;
    signal('SIGCONT');
  };
  const lines = () => readFileSync(logPath, 'utf8').split('\n');
  const hasStarted = () =>
    lines().filter(line => line.includes('"process-started"')).length ===
    launches;
  const ended = async (which: NodeJS.Signals) => {
    const from = performance.now();
    const ending = running;
    if (ending === undefined) return {code: 0, tookMs: 0};
    wake();
    signal(which);
    running = undefined;
    lastExit = ending.exited;
    const code = await ending.exited;
    disturbedAt = performance.now();
    return {code, tookMs: disturbedAt - from};
  };

  return {
    name,
    callers: settings.listen.callers,
    isUndisturbedSince: at =>
      running !== undefined && !paused && disturbedAt < at,
    start: async () => {
      await lastExit;
      disturbedAt = performance.now();
      running ??= launch();
    },
    pause: () => {
      paused = running !== undefined;
      signal('SIGSTOP');
    },
    wake,
    // Before the handler is set, the signal would end the process.
    stepClock: () => {
      if (running !== undefined && hasStarted()) signal('SIGUSR2');
    },
    hangUp: () => {
      if (running === undefined || !hasStarted()) return false;
      signal('SIGHUP');
      return true;
    },
    kill: async () => {
      await ended('SIGKILL');
    },
    abort: () => signal('SIGKILL'),
    end: () => ended('SIGTERM'),
    isReady: async () => {
      try {
        const url = `http://${settings.listen.ready}/api/ready`;
        const res = await request(url, {headersTimeout: 1_000});
        await res.body.dump();
        return res.statusCode === 200;
      } catch {
        // Not listening: not ready.
        return false;
      }
    },
    hasStarted,
    faults: () => [
      ...died,
      ...lines().filter(line => line !== '' && isFaulty(line)),
    ],
  };
}

function isFaulty(line: string): boolean {
  return !line.startsWith('{') || line.includes('"invariant-violated"');
}
