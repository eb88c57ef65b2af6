/** Bytes that are kept as they come, in pieces of any size. */
import {expect, test} from 'vitest';
import {createReceivedBytes} from '../src/utils/received_bytes.js';

const KB = 1024;
const MB = KB * KB;
/** What the heap may grow by for each byte that is kept. */
const MAX_HEAP_PER_BYTE = 2;

test('bytes come back in their order, whatever their pieces are', () => {
  const sizes = [0, 1, 3, 5 * KB, 1, 70 * KB, 2, 511, 512, 513, 4 * KB];
  const pieces = sizes.map((size, at) => Buffer.alloc(size, at));
  const received = createReceivedBytes();
  for (const piece of pieces) received.add(piece);
  const whole = Buffer.concat(pieces);
  expect(received.length()).toBe(whole.length);
  expect(received.take().equals(whole)).toBe(true);
  expect(received.length()).toBe(0);
  expect(received.take().length).toBe(0);
});

test('bytes that were dropped do not come back', () => {
  const received = createReceivedBytes();
  received.add(Buffer.from('dropped'));
  received.drop();
  received.add(Buffer.from('kept'));
  expect(String(received.take())).toBe('kept');
});

// Guards against a list whose entries take a hundred times their bytes.
test('a million pieces of one byte cost about a million bytes', () => {
  const read = Buffer.alloc(64 * KB, 'x');
  const received = createReceivedBytes();
  const before = process.memoryUsage();
  for (let at = 0; at < MB; at++) {
    const from = at % read.length;
    received.add(read.subarray(from, from + 1));
  }
  const after = process.memoryUsage();
  const {length} = received.take();
  const added =
    after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
  expect(length).toBe(MB);
  // Pieces that the collector has not freed yet are in the heap too.
  expect(after.arrayBuffers - before.arrayBuffers).toBeLessThan(
    MAX_HEAP_PER_BYTE * MB,
  );
  expect(added).toBeLessThan(16 * MAX_HEAP_PER_BYTE * MB);
});

// Guards against a small piece that keeps the whole read in memory.
test('a small piece of a large read is a copy', () => {
  const read = Buffer.alloc(64 * KB, 'x');
  const received = createReceivedBytes();
  received.add(read.subarray(0, 5 * KB));
  expect(received.take().buffer).not.toBe(read.buffer);
});
