/** The program as the platform builds it, once for a soak. */
import {execFileSync} from 'node:child_process';
import {
  mkdirSync,
  readFileSync,
  statSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {join, resolve} from 'node:path';

/** This module runs from the build folder, or as source. */
const ROOT = import.meta.filename.endsWith('.ts')
  ? resolve(import.meta.dirname, '..', '..')
  : resolve(import.meta.dirname, '..', '..', '..');
const STARTED = 'onyxloft.cjs';
/** What the started file loads lies in this folder beside it. */
const BESIDE = 'builds';
/** As in `deploy/system.toml`. */
const FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4'];
/**
 * Node compiles the file that it has read before the program's first
 * instruction, and times of files are coarse.
 */
const COMPILE_MS = 10;

export interface ProgramBuild {
  /**
   * A copy for one process, which shows when Node has read it, and runs a text
   * before the program.
   */
  copy(name: string, first?: string): ProgramCopy;
}

export interface ProgramCopy {
  readonly args: readonly string[];
  /** Whether Node had begun to run the program at a time of day. */
  hadBegun(wallMs: number): boolean;
}

/** Builds it, unless a folder holds a build of the program. */
export function buildProgram(dir: string, built?: string): ProgramBuild {
  const target = resolve(built ?? join(dir, 'target'));
  if (built === undefined) {
    execFileSync(process.execPath, ['platform/build.mjs', target], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  }
  return {
    copy: (name, first = '') => {
      const own = join(dir, name);
      mkdirSync(own);
      symlinkSync(join(target, BESIDE), join(own, BESIDE));
      const path = join(own, STARTED);
      const program = readFileSync(join(target, STARTED), 'utf8');
      writeFileSync(path, `${first}${program}`);
      // The first read of a file that was never read is always noted.
      const unread = statSync(path).atimeMs;
      return {
        args: [...FLAGS, path],
        hadBegun: wallMs => {
          const readAt = statSync(path).atimeMs;
          return readAt !== unread && wallMs > readAt + COMPILE_MS;
        },
      };
    },
  };
}
