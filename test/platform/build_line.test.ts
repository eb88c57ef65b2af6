/** The line that builds the program for the platform, in a folder of its own. */
import {spawnSync} from 'node:child_process';
import {
  chmodSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

let directory = '';
beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'build-line-'));
});
afterEach(() => rmSync(directory, {recursive: true}));

function buildLine(): string {
  const toml = readFileSync('deploy/system.toml', 'utf8');
  return /^build = "(.*)"$/m.exec(toml)?.[1] ?? '';
}

function writeProgram(path: string, text: string): void {
  writeFileSync(path, `#!/bin/sh\n${text}\n`);
  chmodSync(path, 0o755);
}

/** Runs the line with stand-ins for its programs; returns their calls. */
function callsOfBuild(
  esbuild: string,
  installedAgoS: number,
  versions: string,
  npm = 'exit 0',
): string[] {
  const bin = join(directory, 'bin');
  const packages = join(directory, 'node_modules', '.bin');
  mkdirSync(bin, {recursive: true});
  mkdirSync(packages, {recursive: true});
  const calls = join(directory, 'calls');
  const called = (name: string) => `echo ${name} "$@" >> ${calls}`;
  writeProgram(join(bin, 'npm'), `${called('npm')}\n${npm}`);
  const check = `case "$1" in *check_packages.mjs) ${versions};; esac`;
  writeProgram(join(bin, 'node'), `${check}\n${called('node')}`);
  writeProgram(join(packages, 'esbuild'), esbuild);
  writeFileSync(join(directory, 'package-lock.json'), '{}');
  const installed = Date.now() / 1_000 - installedAgoS;
  const locked = Date.now() / 1_000 - 60;
  utimesSync(join(directory, 'package-lock.json'), locked, locked);
  utimesSync(join(directory, 'node_modules'), installed, installed);
  const run = spawnSync('/bin/sh', ['-c', buildLine()], {
    cwd: directory,
    env: {PATH: `${bin}:/usr/bin:/bin`},
  });
  expect(run.status).toBe(0);
  return readFileSync(calls, 'utf8').trim().split('\n');
}

// Guards against a build that fails, or packages of another processor or another
// commit that it uses, after the folder was carried over from another machine.
test.each([
  {
    state: 'fit',
    esbuild: 'exit 0',
    installedAgoS: 10,
    versions: 'exit 0',
    installs: false,
  },
  {
    state: 'are of another processor',
    esbuild: 'exit 126',
    installedAgoS: 10,
    versions: 'exit 0',
    installs: true,
  },
  {
    state: 'are outdated',
    esbuild: 'exit 0',
    installedAgoS: 90,
    versions: 'exit 0',
    installs: true,
  },
  {
    state: 'have other versions',
    esbuild: 'exit 0',
    installedAgoS: 10,
    versions: 'exit 1',
    installs: true,
  },
])(
  'the build installs packages only where they do not fit: they $state',
  ({esbuild, installedAgoS, versions, installs}) => {
    const build = 'node platform/build.mjs';
    const install = 'npm ci --loglevel=error --include=optional';
    const expected = installs ? [install, build] : [build];
    expect(callsOfBuild(esbuild, installedAgoS, versions)).toEqual(expected);
  },
);

// Guards against a build that fails where npm's cache can't be written, as for a
// user without a home folder.
test('the build installs packages with a cache of its own where npm has none', () => {
  const npm = 'case "$*" in *--cache*) exit 0;; esac; exit 243';
  const install = 'npm ci --loglevel=error --include=optional';
  expect(callsOfBuild('exit 1', 10, 'exit 0', npm)).toEqual([
    install,
    `${install} --cache target/npm`,
    'node platform/build.mjs',
  ]);
});

// Guards against a build from packages that are newer than the lock file but
// belong to another, or that an interrupted installation left.
test.each([
  {state: 'fit', installed: '1.2.3', code: 0},
  {state: 'have another version', installed: '1.2.2', code: 1},
  {state: 'are missing', installed: undefined, code: 1},
])('the check of installed packages: they $state', ({installed, code}) => {
  const packages = {
    '': {version: '0.1.0'},
    'node_modules/needed': {version: '1.2.3'},
    'node_modules/unused': {version: '2.0.0', dev: true},
    'node_modules/other-processor': {version: '3.0.0', optional: true},
  };
  const lock = JSON.stringify({packages});
  writeFileSync(join(directory, 'package-lock.json'), lock);
  if (installed !== undefined) {
    const path = join(directory, 'node_modules', 'needed');
    mkdirSync(path, {recursive: true});
    const text = JSON.stringify({version: installed});
    writeFileSync(join(path, 'package.json'), text);
  }
  const check = resolve('platform/check_packages.mjs');
  const run = spawnSync(process.execPath, [check], {cwd: directory});
  expect(run.status).toBe(code);
});
