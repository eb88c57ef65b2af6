/** The process of a direct entry whose services can't be created. */
import {spawn} from 'node:child_process';
import {expect, test} from 'vitest';

/** Longest time until the process has ended, in milliseconds. */
const END_LIMIT_MS = 30_000;

/** An entry whose adapters to the platform throw when they are created. */
const PROGRAM = `
import {runDirectEntry} from './src/direct_main.js';
import {createProcessLife} from './src/process/process_life.js';
setInterval(() => undefined, 1_000);
runDirectEntry({
  settings: {node: 'entry-1', timing: {graceS: 8}},
  codeCache: 'none',
  life: createProcessLife(),
  createDependencies: () => {
    throw new Error('no adapters');
  },
});
`;

// Guards against a process that lives on without services, since the error at their
// creation counts as one that nothing owns.
test(
  'a process whose adapters cannot be created ends as one that failed to start',
  async () => {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', '--input-type=module', '-e', PROGRAM],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    let text = '';
    child.stdout.on(
      'data',
      (chunk: Buffer) => (text += chunk.toString('utf8')),
    );
    const closed = new Promise(resolve => child.once('close', resolve));
    const limit = setTimeout(() => child.kill('SIGKILL'), END_LIMIT_MS / 2);
    const code = await closed;
    clearTimeout(limit);
    const lines = text.trimEnd().split('\n');
    expect(code, text).toBe(20);
    expect(lines.at(-1)).toContain('"class":"start-failed"');
    expect(lines.at(-1)).toContain('no adapters');
    expect(text).not.toContain('"error-unowned"');
  },
  END_LIMIT_MS,
);
