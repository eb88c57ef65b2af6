/** One process of the built program, with what happened to it from outside. */
import {spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {SETTINGS_VARIABLE} from '../../standins/users_platform/entry_program.js';
import type {ProgramBuild} from './program_build.js';
import type {LifeFacts, SentSignal} from './starts_judge.js';

const LOOK_MS = 20;
const KB_PER_MB = 1_024;
/** A process on half a core runs for half of each such time, as by a quota. */
const QUOTA_MS = 100;
/** Late enough that an end within the grace time is seen as one. */
const KILL_SLACK_MS = 500;

export interface ProgramLife {
  readonly exited: Promise<void>;
  isRunning(): boolean;
  send(signal: NodeJS.Signals): void;
  /** Nothing from outside hinders its start any more. */
  clear(): void;
  /** It was seen ready. */
  ready(): void;
  isReady(): boolean;
  /** Largest resident size so far, in megabytes. */
  peakMb(): number;
  facts(): LifeFacts;
}

export interface LifeShape {
  readonly name: string;
  readonly entry: number;
  readonly settingsPath: string;
  readonly memoryMb: number;
  readonly graceMs: number;
  readonly dir: string;
  readonly build: ProgramBuild;
  /** Runs before the program. */
  readonly first: string;
  readonly hasHalfCore: boolean;
}

export function startLife(shape: LifeShape): ProgramLife {
  const {name, entry, settingsPath, memoryMb, graceMs, dir, build} = shape;
  const copy = build.copy(name, shape.first);
  const logPath = join(dir, `${name}.log`);
  const log = openSync(logPath, 'a');
  const child = spawn(process.execPath, copy.args, {
    stdio: ['ignore', log, log],
    env: {PATH: process.env['PATH'], [SETTINGS_VARIABLE]: settingsPath},
  });
  closeSync(log);
  const signals: SentSignal[] = [];
  let clearAt = Infinity;
  let readyAt: number | undefined;
  let end: LifeFacts['end'];
  let overLimitMb: number | undefined;
  let peakMb = 0;

  const exited = new Promise<void>(resolve => {
    child.once('exit', (code, signal) => {
      end = {at: performance.now(), code, signal};
      resolve();
    });
  });
  const send = (signal: NodeJS.Signals) => {
    if (end !== undefined) return;
    const isEarly = !copy.hadBegun(Date.now());
    signals.push({signal, at: performance.now(), isEarly});
    child.kill(signal);
    if (signal === 'SIGTERM' || signal === 'SIGINT') void killLate();
  };
  /** As the platform does when the grace time is over. */
  const killLate = async () => {
    await Promise.race([exited, sleep(graceMs + KILL_SLACK_MS)]);
    send('SIGKILL');
  };
  const look = () => {
    const mb = residentMb(child.pid);
    peakMb = Math.max(peakMb, mb);
    if (mb <= memoryMb || end !== undefined) return;
    overLimitMb ??= mb;
    child.kill('SIGKILL');
  };
  /** Not before the program runs, which would blur when it began. */
  const halve = () => {
    if (!copy.hadBegun(Date.now())) return;
    child.kill('SIGSTOP');
    setTimeout(() => child.kill('SIGCONT'), QUOTA_MS / 2);
  };
  const timers = [
    setInterval(look, LOOK_MS),
    ...(shape.hasHalfCore ? [setInterval(halve, QUOTA_MS)] : []),
  ];
  void exited.then(() => timers.forEach(clearInterval));
  return {
    exited,
    isRunning: () => end === undefined,
    send,
    clear: () => {
      clearAt = performance.now();
    },
    ready: () => {
      readyAt ??= performance.now();
    },
    isReady: () => readyAt !== undefined,
    peakMb: () => peakMb,
    facts: () => ({
      name,
      entry,
      clearAt,
      readyAt,
      signals,
      end,
      overLimitMb,
      lines: readFileSync(logPath, 'utf8')
        .split('\n')
        .filter(line => line !== ''),
    }),
  };
}

function residentMb(pid: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
  } catch {
    // It has ended.
    return 0;
  }
}
