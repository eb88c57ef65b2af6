/** Log lines of a process whose standard output is read late. */
import {spawn} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {createBoundedSink} from '../src/utils/bounded_sink.js';
import type {WriteFd} from '../src/utils/bounded_sink.js';
import {createMetrics} from '../src/utils/metrics.js';

const LINES = 3_000;
const READER_PAUSE_MS = 400;
const PROGRAM = `
import {createBoundedSink} from './src/utils/bounded_sink.js';
import {createMetrics} from './src/utils/metrics.js';
void process.stdout;
const sink = createBoundedSink(createMetrics());
for (let line = 0; line < ${LINES}; line++) {
  sink.write(JSON.stringify({line, text: 'x'.repeat(200)}) + '\\n');
}
setTimeout(() => {}, 3_000);
`;

function pipeFull(): Error {
  return Object.assign(new Error('try again'), {code: 'EAGAIN'});
}

describe('log lines', () => {
  // Otherwise a refusal stands in no line when the reader is busy for a moment.
  test('are not lost when the pipe is full for a moment', async () => {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', '--input-type=module', '-e', PROGRAM],
      {stdio: ['ignore', 'pipe', 'inherit']},
    );
    child.stdout.pause();
    await sleep(READER_PAUSE_MS);
    let text = '';
    child.stdout.on('data', (piece: Buffer) => {
      text += piece.toString('utf8');
    });
    child.stdout.resume();
    await new Promise(resolve => child.once('close', resolve));
    const lines = text.trimEnd().split('\n');
    expect(
      lines.map(line => (JSON.parse(line) as {line: number}).line),
    ).toEqual(Array.from({length: LINES}, (_, at) => at));
  }, 20_000);

  test('are written once each where the pipe takes a part and is then full', async () => {
    const written: Buffer[] = [];
    let calls = 0;
    const writeFd: WriteFd = (bytes, done) => {
      calls++;
      if (calls % 2 === 0) return done(pipeFull(), 0);
      const part = Math.ceil(bytes.length / 2);
      written.push(bytes.subarray(0, part));
      done(null, part);
    };
    const sink = createBoundedSink(createMetrics(), {writeFd});
    sink.write('{"line":1}\n');
    sink.write('{"line":2}\n');
    await expect
      .poll(() => Buffer.concat(written).toString('utf8'))
      .toBe('{"line":1}\n{"line":2}\n');
  });

  test('that were dropped are counted in a line of the log', async () => {
    const dropped: number[] = [];
    let isFull = true;
    const writeFd: WriteFd = (bytes, done) =>
      isFull ? done(pipeFull(), 0) : done(null, bytes.length);
    const sink = createBoundedSink(createMetrics(), {
      writeFd,
      onDropped: lines => dropped.push(lines),
    });
    const line = `${'x'.repeat(1_000)}\n`;
    for (let at = 0; at < 2_000; at++) sink.write(line);
    isFull = false;
    await expect.poll(() => dropped.length).toBe(1);
    expect(dropped[0]).toBeGreaterThan(1_000);
  });
});
