/** The built program of an entry, as processes of their own. */
import {execFile, spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {promisify} from 'node:util';
import {freeAddresses} from '../../demo/free_addresses.js';
import {
  SETTINGS_VARIABLE,
  entrySettings,
  isEntryReady,
} from '../../standins/users_platform/entry_program.js';
import {announce, configOf} from '../../standins/users_platform/deployment.js';
import {startReplica} from '../../standins/users_platform/replica.js';
import {startStore} from '../../standins/users_platform/store.js';

/** Interval between two looks at a process, in milliseconds. */
const POLL_MS = 20;
/** Longest wait for what a process is to do, in milliseconds. */
export const WAIT_MS = 30_000;

export type LogLine = Readonly<Record<string, unknown>>;
type StartOptions = Readonly<{
  env?: Readonly<Record<string, string>>;
  readsOutput?: boolean;
  /** Flags of Node. */
  flags?: readonly string[];
  /** Runs before the program, in its process. */
  first?: string;
}>;

/** Builds the program, and starts stand-ins of the store and the replicas. */
export async function buildEntry() {
  const dir = mkdtempSync(join(tmpdir(), 'built-entry-'));
  await promisify(execFile)(process.execPath, ['platform/build.mjs', dir]);
  const store = await startStore();
  const replicas = [await startReplica('pool-0'), await startReplica('desk-0')];
  announce(store, replicas[0], 'pool');
  announce(store, replicas[1], 'desk');
  store.put('config', 'main', configOf(1));
  const processes: Array<ReturnType<typeof startProcess>> = [];
  let files = 0;
  const programWith = (first: string | undefined): string => {
    const program = join(dir, 'onyxloft.cjs');
    if (first === undefined) return program;
    const path = join(dir, `onyxloft-${++files}.cjs`);
    writeFileSync(path, `${first}${readFileSync(program, 'utf8')}`);
    return path;
  };

  return {
    dir,
    store,
    /** Settings of a further entry, which are written to `path`. */
    createSettings: async (node = 'entry-1') => {
      const addresses = await freeAddresses(4);
      const settings = entrySettings({
        node,
        store: store.address,
        addresses,
      });
      const path = join(dir, `settings-${++files}.json`);
      const text = JSON.stringify(settings);
      writeFileSync(path, text);
      const [callers = '', ready = '', metrics = '', peers = ''] = addresses;
      return {path, text, callers, ready, metrics, peers};
    },
    start: (path: string, options: StartOptions = {}) => {
      const started = startProcess(programWith(options.first), path, options);
      processes.push(started);
      return started;
    },
    close: async () => {
      for (const {child} of processes) child.kill('SIGKILL');
      await Promise.all([store, ...replicas].map(part => part.close()));
      rmSync(dir, {recursive: true});
    },
  };
}

export type BuiltEntry = Awaited<ReturnType<typeof buildEntry>>;

function startProcess(
  program: string,
  path: string,
  {env = {}, readsOutput = true, flags = []}: StartOptions,
) {
  const child = spawn(
    process.execPath,
    ['--max-old-space-size=160', '--max-semi-space-size=4', ...flags, program],
    {
      cwd: resolve('.'),
      env: {PATH: process.env['PATH'], [SETTINGS_VARIABLE]: path, ...env},
      stdio: ['ignore', 'pipe', 'pipe'],
    },
  );
  let output = '';
  let errors = '';
  if (readsOutput) child.stdout.on('data', piece => (output += String(piece)));
  child.stderr.on('data', piece => (errors += String(piece)));
  const startedAt = performance.now();
  const exited = new Promise<{
    readonly code: number | null;
    readonly signal: string | null;
  }>(resolveExit =>
    child.once('close', (code, signal) => resolveExit({code, signal})),
  );
  const lines = (): readonly LogLine[] =>
    output
      .split('\n')
      .slice(0, -1)
      .map(line => JSON.parse(line) as LogLine);
  return {
    child,
    exited,
    startedAt,
    errors: () => errors,
    lines,
    linesOf: (name: string) => lines().filter(line => line['name'] === name),
    hasEnded: () => child.exitCode !== null || child.signalCode !== null,
  };
}

/** Waits until the condition holds; says whether it did in time. */
export async function waitFor(
  holds: () => boolean | Promise<boolean>,
  limitMs = WAIT_MS,
): Promise<boolean> {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await holds()) return true;
    await sleep(POLL_MS);
  }
  return false;
}

/** Waits until the entry is ready or its process has ended. */
export async function waitUntilReady(
  started: ReturnType<BuiltEntry['start']>,
  ready: string,
): Promise<boolean> {
  const isReady = () => isEntryReady(ready);
  await waitFor(async () => started.hasEnded() || (await isReady()));
  return !started.hasEnded() && (await isReady());
}
