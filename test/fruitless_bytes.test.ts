/** Bytes that bring an answer no further are told from silence. */
import {describe, expect, test} from 'vitest';
import {createEventReader} from '../src/direct/answers/event_reader.js';
import {
  MAX_ANSWER_BYTES,
  announcesTooMuch,
} from '../src/direct/answers/answer_size.js';
import {createFruitlessBytes} from '../src/utils/fruitless_bytes.js';

const LIMITS = {maxBytes: 1_000, maxMs: 1_000};

describe('bytes without progress', () => {
  test('are too many once their sum is', () => {
    const bytes = createFruitlessBytes(LIMITS);
    expect(bytes.received(1_000, 0)).toBe(false);
    expect(bytes.received(1, 0)).toBe(true);
  });

  test('go on too long, one after the other', () => {
    const bytes = createFruitlessBytes(LIMITS);
    const results = Array.from({length: 30}, (_, at) =>
      bytes.received(1, at * 50),
    );
    expect(results.indexOf(true)).toBe(21);
  });

  // Guards against a sound server that is taken for one without end.
  test('may pause for long', () => {
    const bytes = createFruitlessBytes(LIMITS);
    const results = [0, 5_000, 10_000, 20_000].map(at => bytes.received(1, at));
    expect(results).not.toContain(true);
  });

  test('begin anew after progress', () => {
    const bytes = createFruitlessBytes(LIMITS);
    bytes.received(900, 0);
    bytes.progressed();
    expect(bytes.received(900, 0)).toBe(false);
    bytes.progressed(100);
    expect(bytes.received(900, 0)).toBe(true);
  });
});

describe('a reader of events', () => {
  const endsAt = (needsIds: boolean, text: (at: number) => string) => {
    let now = 0;
    const reader = createEventReader({now: () => now, needsIds});
    for (let at = 0; at < 100; at++) {
      reader.push(Buffer.from(text(at)));
      if (reader.isEndless()) return now;
      now += 60;
    }
    return undefined;
  };

  // Guards against a run that is cut while it comes to where another one ended.
  test('takes events that begin again at the first for progress', () => {
    expect(endsAt(true, at => `id: ${at}\ndata: x\n\n`)).toBeUndefined();
  });

  test('takes the same or older events for none', () => {
    expect(endsAt(true, () => 'id: 1\ndata: x\n\n')).toBeGreaterThan(1_000);
    expect(endsAt(true, at => `id: ${-at}\ndata: x\n\n`)).toBeDefined();
  });

  test('takes events without ids for progress only where none resumes', () => {
    expect(endsAt(true, () => 'data: x\n\n')).toBeDefined();
    expect(endsAt(false, () => 'data: x\n\n')).toBeUndefined();
    expect(endsAt(false, () => ': comment\n\n')).toBeDefined();
  });
});

test('an announced length is too much beyond the bound, except for HEAD', () => {
  const head = (length: number) => ({
    status: 200,
    headers: {'content-length': String(length)},
    rawHeaders: [],
  });
  expect(announcesTooMuch('POST', head(MAX_ANSWER_BYTES))).toBe(false);
  expect(announcesTooMuch('POST', head(MAX_ANSWER_BYTES + 1))).toBe(true);
  expect(announcesTooMuch('HEAD', head(MAX_ANSWER_BYTES + 1))).toBe(false);
});
