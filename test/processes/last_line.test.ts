/** The last line of a process while other lines are being written. */
import {spawn} from 'node:child_process';
import {expect, test} from 'vitest';

const program = (writtenAfterMs: number) => `
import {writeSync} from 'node:fs';
import {createProcessLife} from './src/process/process_life.js';
const life = createProcessLife();
let isWriting = true;
setTimeout(() => {
  writeSync(1, 'the line before\\n');
  isWriting = false;
}, ${writtenAfterMs});
life.handle({isWriting: () => isWriting});
life.end('stopped', 'SIGTERM');
`;

async function outputOf(code: string): Promise<readonly string[]> {
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', '--input-type=module', '-e', code],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => (text += chunk.toString('utf8')));
  const ended = await new Promise(resolve => child.once('close', resolve));
  expect(ended).toBe(0);
  return text.trimEnd().split('\n');
}

// Guards against an end whose line stands before others, so that the log seems
// to end with something else.
test('the last line follows lines that are being written', async () => {
  const lines = await outputOf(program(50));
  expect(lines).toHaveLength(2);
  expect(lines.at(-1)).toContain('"class":"stopped"');
}, 30_000);

// Guards against a process that does not end since its output is not read.
test('the last line does not wait for ever', async () => {
  const lines = await outputOf(program(60_000));
  expect(lines.at(-1)).toContain('"class":"stopped"');
}, 30_000);

const FAILING_FLUSH = `
import {createProcessLife} from './src/process/process_life.js';
const life = createProcessLife();
const failing = () => {
  throw new Error('no flush');
};
life.handle({flush: failing});
setInterval(() => undefined, 1_000);
setTimeout(() => life.end('stopped', 'SIGTERM'), 10);
`;

// Guards against a process that has told of its end and lives on.
test('an end whose queued lines cannot be written is an end', async () => {
  const lines = await outputOf(FAILING_FLUSH);
  expect(lines.at(-1)).toContain('"class":"stopped"');
}, 30_000);

const LATE_LOOP = `
import {writeSync} from 'node:fs';
import {createProcessLife} from './src/process/process_life.js';
const life = createProcessLife();
let asked = 0;
const isWriting = () => {
  asked++;
  const untilMs = performance.now() + 50;
  while (performance.now() < untilMs);
  return true;
};
life.handle({isWriting, flush: () => writeSync(1, asked + '\\n')});
life.end('stopped', 'SIGTERM');
`;

// Guards against a wait for lines that is counted in timers, and lasts seconds
// where each of them is late.
test('the wait for lines goes by the clock', async () => {
  const lines = await outputOf(LATE_LOOP);
  expect(lines.at(-1)).toContain('"class":"stopped"');
  expect(Number(lines[0])).toBeGreaterThan(0);
  expect(Number(lines[0])).toBeLessThan(10);
}, 30_000);
