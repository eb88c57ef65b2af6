/** The build line in a clean copy of the sources, as npm is set on servers. */
import {spawnSync} from 'node:child_process';
import {cpSync, existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

const TEST_MS = 120_000;
/** What the build reads of the repository. */
const SOURCES = [
  '.npmrc',
  'package.json',
  'package-lock.json',
  'tsconfig.json',
  'demo',
  'platform',
  'src',
  'standins',
];

let directory = '';
beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'clean-build-'));
  for (const name of SOURCES) {
    cpSync(name, join(directory, name), {recursive: true});
  }
});
afterEach(() => rmSync(directory, {recursive: true}));

function buildLine(): string {
  const toml = readFileSync('deploy/system.toml', 'utf8');
  return /^build = "(.*)"$/m.exec(toml)?.[1] ?? '';
}

// Guards against a build that fails, so that no process starts, where npm leaves
// out packages that the build needs.
test.each([
  {
    state: 'for production',
    env: {NODE_ENV: 'production', npm_config_omit: 'dev'},
  },
  {
    state: 'without optional packages',
    env: {
      npm_config_omit: 'dev\n\noptional',
      npm_config_ignore_scripts: 'true',
    },
  },
])(
  'the build line builds a clean copy where npm is set $state',
  ({env}) => {
    const run = spawnSync('/bin/sh', ['-c', buildLine()], {
      cwd: directory,
      env: {...process.env, npm_config_prefer_offline: 'true', ...env},
      encoding: 'utf8',
    });
    expect(run).toMatchObject({status: 0, stderr: ''});
    expect(existsSync(join(directory, 'target', 'onyxloft.cjs'))).toBe(true);
  },
  TEST_MS,
);
