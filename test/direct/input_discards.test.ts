/** What callers still send after a refusal. */
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {beforeEach, expect, test} from 'vitest';
import {createConnectionGuards} from '../../src/direct/boundary/connection_guard.js';
import {createInputDiscards} from '../../src/direct/callers/input_discards.js';
import type {InputDiscards} from '../../src/direct/callers/input_discards.js';
import {createRecordingRuntime} from '../../standins/recording_runtime.js';
import type {RecordingRuntime} from '../../standins/recording_runtime.js';

const CHUNK = Buffer.alloc(64 * 1024);
const MB = 1024 * 1024;
/** What one entry may keep of discarded bytes at a limit of 160 MB. */
const MAX_KEPT_BYTES = 6 * MB;
const STEP_MS = 40;

/** A connection whose caller sends a body of this length after the refusal. */
class Upload extends EventEmitter {
  isReset = false;
  private hasStopped = true;

  constructor(private leftBytes: number) {
    super();
  }
  push(): void {}
  pause(): void {
    this.hasStopped = true;
  }
  resume(): void {
    this.hasStopped = false;
  }
  isPaused(): boolean {
    return this.hasStopped;
  }
  resetAndDestroy(): void {
    this.isReset = true;
    this.emit('close');
  }
  isSent(): boolean {
    return this.leftBytes === 0;
  }
  /** Delivers what the kernel holds; a paused socket takes one more chunk. */
  deliver(): void {
    while (!this.hasStopped && this.leftBytes > 0) {
      this.leftBytes -= CHUNK.length;
      this.emit('data', CHUNK);
    }
    if (this.isSent()) this.emit('close');
  }
}

let recorded: RecordingRuntime;
let discards: InputDiscards;
let collections: number;
let failing: number;
let failingTimers: number;
beforeEach(() => {
  recorded = createRecordingRuntime();
  const {clock} = recorded;
  collections = 0;
  failing = 0;
  failingTimers = 0;
  discards = createInputDiscards({
    clock: {
      after: (...timer) => {
        if (failingTimers-- > 0) throw new Error('broken');
        return clock.after(...timer);
      },
    },
    guards: createConnectionGuards(recorded.runtime),
    collect: () => {
      collections++;
      if (failing-- > 0) throw new Error('broken');
    },
  });
});

function refuse(count: number, bytes: number): Upload[] {
  const uploads = Array.from({length: count}, () => new Upload(bytes));
  for (const it of uploads) discards.discard(it as unknown as Socket);
  return uploads;
}

/** Delivers bytes until all is sent; returns the most between two collections. */
async function deliverAll(uploads: readonly Upload[]): Promise<number> {
  const leftOf = () => uploads.filter(it => !it.isSent()).length;
  let most = 0;
  let kept = 0;
  for (const it of uploads) it.on('data', () => (kept += CHUNK.length));
  while (leftOf() > 0) {
    const before = collections;
    for (const it of uploads) if (!it.isSent()) it.deliver();
    most = Math.max(most, kept);
    await recorded.clock.runFor(STEP_MS);
    if (collections > before) kept = 0;
  }
  return most;
}

// Guards against an entry over its memory limit beside many refused bodies.
test('many refused bodies are read at the pace of the collections', async () => {
  const uploads = refuse(60, 4 * MB);
  expect(await deliverAll(uploads)).toBeLessThanOrEqual(MAX_KEPT_BYTES);
  expect(collections).toBeGreaterThanOrEqual(40);
});

// Guards against callers that all wait behind those that were refused first and
// send nothing.
test('a refused caller that sends nothing keeps no other from its turn', async () => {
  refuse(100, 4 * MB);
  await recorded.clock.runFor(10 * STEP_MS);
  const [late] = refuse(1, MB);
  late?.deliver();
  expect(late?.isSent()).toBe(true);
});

// Guards against refused callers that are never read again after an error.
test('an error at a collection stops no later one', async () => {
  const uploads = refuse(60, 4 * MB);
  failing = 1;
  await expect(deliverAll(uploads)).rejects.toThrow('broken');
  await deliverAll(uploads);
  expect(uploads.filter(it => !it.isSent())).toEqual([]);
});

// Guards against an entry that reads no refused caller any more after one error.
test('an error at a timer costs its own connection only', async () => {
  failingTimers = 1;
  expect(() => refuse(1, 4 * MB)).toThrow('broken');
  const later = refuse(60, 4 * MB);
  await deliverAll(later);
  expect(later.filter(it => !it.isSent())).toEqual([]);
});

// Guards against a memory limit that is passed by callers that send late.
test('callers that send after a pause wait for their turns', async () => {
  const uploads = refuse(400, MB);
  await recorded.clock.runFor(40 * STEP_MS);
  // Each of them is read until its first bytes come.
  for (const it of uploads) it.deliver();
  await recorded.clock.runFor(STEP_MS);
  expect(await deliverAll(uploads)).toBeLessThanOrEqual(MAX_KEPT_BYTES);
});

// Guards against callers that get no answer in time beside slow uploads.
test('slow uploads keep no other caller from its turn', async () => {
  const slow = refuse(60, 4 * MB);
  const drip = () => slow.forEach(it => it.emit('data', Buffer.alloc(100)));
  drip();
  await recorded.clock.runFor(STEP_MS);
  const [fast] = refuse(1, MB);
  for (let step = 0; step < 10 && !fast?.isSent(); step++) {
    fast?.deliver();
    drip();
    await recorded.clock.runFor(STEP_MS);
  }
  expect(fast?.isSent()).toBe(true);
});

// Guards against an error at the bytes of one refused caller that ends others.
test('an error at the bytes of a connection ends that one only', async () => {
  const [first, other] = refuse(2, MB);
  await recorded.clock.runFor(10 * STEP_MS);
  failingTimers = 1;
  first?.deliver();
  expect(first?.isReset).toBe(true);
  await deliverAll(other === undefined ? [] : [other]);
  expect(other?.isSent()).toBe(true);
  expect(other?.isReset).toBe(false);
});
