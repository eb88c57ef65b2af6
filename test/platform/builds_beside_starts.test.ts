/** Builds of one tree beside starts of the program that they replace. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {freeAddresses} from '../../demo/free_addresses.js';
import {
  SETTINGS_VARIABLE,
  entrySettings,
} from '../../standins/users_platform/entry_program.js';

const TEST_MS = 120_000;
/** Builds one after the other, and how many do so at once. */
const BUILDS = 3;
const BUILDERS = 2;
/** Starts at once. */
const STARTERS = 2;
/** Moments at which a build is killed, in milliseconds. */
const KILLED_AFTER_MS = [150, 300, 450, 600];
/** Largest file of a build that finds no room, in blocks of `ulimit`. */
const ROOM_BLOCKS = 200;

const directory = mkdtempSync(join(tmpdir(), 'builds-beside-starts-'));
const target = join(directory, 'target');
const settingsPath = join(directory, 'settings.json');
const program = join(target, 'onyxloft.cjs');

beforeAll(async () => {
  const [store = '', ...addresses] = await freeAddresses(5);
  const settings = entrySettings({node: 'entry-1', store, addresses});
  writeFileSync(settingsPath, JSON.stringify(settings));
  expect(await exitOf(startBuild())).toBe(0);
});
// A build that was killed may leave a process that still writes for a moment.
afterAll(() => rmSync(directory, {recursive: true, maxRetries: 5}));

function startBuild(): ChildProcess {
  const args = ['platform/build.mjs', target];
  return spawn(process.execPath, args, {stdio: 'ignore'});
}

function exitOf(child: ChildProcess): Promise<number | null> {
  return new Promise(resolve => child.once('close', resolve));
}

/**
 * Starts the program; returns what its first line says of the compiled code, or
 * how the process ended without a line.
 */
async function startOnce(): Promise<string> {
  const child = spawn(process.execPath, [program], {
    env: {...process.env, [SETTINGS_VARIABLE]: settingsPath},
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const exited = exitOf(child);
  const lines = createInterface(child.stdout);
  const first = new Promise<string>(resolve => lines.once('line', resolve));
  const ended = exited.then(code => `exit ${String(code)}`);
  const line = await Promise.race([first, ended]);
  child.kill('SIGKILL');
  await exited;
  if (!line.startsWith('{')) return line;
  const {name, codeCache} = JSON.parse(line) as Record<string, unknown>;
  return String(codeCache ?? name);
}

describe('a start beside builds of the same tree', () => {
  // Guards against a process that ends at once, or fails, since a file that it
  // reads is empty, half written or of another build.
  test(
    'finds the program of one build',
    async () => {
      let builders = BUILDERS;
      const build = async () => {
        for (let n = 0; n < BUILDS; n++) {
          expect(await exitOf(startBuild())).toBe(0);
        }
        builders--;
      };
      const starts: string[] = [];
      const startAll = async () => {
        while (builders > 0) starts.push(await startOnce());
      };
      await Promise.all([
        ...Array.from({length: BUILDERS}, build),
        ...Array.from({length: STARTERS}, startAll),
      ]);
      expect(starts.length).toBeGreaterThan(0);
      expect(starts.filter(found => found !== 'used')).toEqual([]);
    },
    TEST_MS,
  );

  // Guards against files of a build that was killed being started.
  test(
    'finds the program of the last whole build after builds were killed',
    async () => {
      for (const afterMs of KILLED_AFTER_MS) {
        const killed = startBuild();
        const exited = exitOf(killed);
        await sleep(afterMs);
        killed.kill('SIGKILL');
        await exited;
        expect(await startOnce(), `killed after ${afterMs} ms`).toBe('used');
      }
    },
    TEST_MS,
  );

  // Guards against a program that is lost to a build for which the file system
  // has no room. A limit for the size of files stands for the full disk.
  test('finds the program of the build before one that fails', async () => {
    const build = `ulimit -f ${ROOM_BLOCKS}; exec node platform/build.mjs ${target}`;
    const failed = spawn('/bin/sh', ['-c', build], {stdio: 'ignore'});
    expect(await exitOf(failed)).toBe(1);
    expect(await startOnce()).toBe('used');
  });
});

describe('the files of earlier builds', () => {
  // Guards against a start that finds its loader and not the program, and against
  // a tree that grows with each build.
  test('stay while a start may load them, and are then removed', async () => {
    const builds = join(target, 'builds');
    const before = readFileSync(program, 'utf8');
    const running = readdirSync(builds).filter(id => before.includes(id));
    expect(running).toHaveLength(1);
    const hourAgo = Date.now() / 1_000 - 3_700;
    const outdated = join(builds, 'outdated');
    const recent = join(builds, 'recent');
    for (const path of [outdated, recent]) mkdirSync(path);
    for (const path of [outdated, join(builds, running[0] ?? '')]) {
      utimesSync(path, hourAgo, hourAgo);
    }
    expect(await exitOf(startBuild())).toBe(0);
    expect(existsSync(outdated)).toBe(false);
    expect(existsSync(recent)).toBe(true);
    expect(existsSync(join(builds, running[0] ?? ''))).toBe(true);
  });
});
