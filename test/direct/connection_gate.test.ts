/** Which new connections an entry takes. */
import {describe, expect, test} from 'vitest';
import {createConnectionGate} from '../../src/direct/callers/connection_gate.js';
import type {Cancel, Clock} from '../../src/types/runtime.js';

const STEP_MS = 50;
const CALM_PER_S = 20;
const FLOOD_PER_S = 200;

/** A gate whose clock is moved by hand, and its timers late as told. */
function setUp() {
  let now = 0;
  let measure = (): void => undefined;
  const stop: Cancel = () => undefined;
  const clock: Clock = {
    now: () => now,
    after: () => stop,
    every: (_ms, task) => {
      measure = task;
      return stop;
    },
  };
  let piecesMs = 0;
  const gate = createConnectionGate(
    clock,
    () => undefined,
    () => piecesMs,
  );
  /** Share of the connections that are taken, at this rate. */
  const play = (
    forMs: number,
    perS: number,
    lateMs: number,
    piecesShare = 0,
  ): number => {
    const taken: boolean[] = [];
    const endsAt = now + forMs;
    let owed = 0;
    while (now < endsAt) {
      const elapsedMs = STEP_MS + lateMs;
      now += elapsedMs;
      piecesMs += lateMs * piecesShare;
      owed += (perS * elapsedMs) / 1_000;
      for (; owed >= 1; owed--) taken.push(gate.admit());
      measure();
    }
    return taken.filter(it => it).length / taken.length;
  };
  return {play};
}

describe('an entry that gets ten times its usual connections', () => {
  test('closes new ones while its event loop is late', () => {
    const {play} = setUp();
    expect(play(10_000, CALM_PER_S, 0)).toBe(1);
    play(1_000, FLOOD_PER_S, 100);
    expect(play(5_000, FLOOD_PER_S, 100)).toBe(0);
  });

  test('takes all while it keeps up', () => {
    const {play} = setUp();
    play(10_000, CALM_PER_S, 0);
    expect(play(10_000, FLOOD_PER_S, 0)).toBe(1);
  });

  // Guards against calm callers that are refused beside bytes in small pieces.
  test('takes all while bytes in many pieces make it late', () => {
    const {play} = setUp();
    play(10_000, CALM_PER_S, 0);
    expect(play(10_000, FLOOD_PER_S, 100, 0.9)).toBe(1);
  });

  test('closes new ones while it is late beside bytes in many pieces', () => {
    const {play} = setUp();
    play(10_000, CALM_PER_S, 0);
    play(1_000, FLOOD_PER_S, 100, 0.3);
    expect(play(5_000, FLOOD_PER_S, 100, 0.3)).toBe(0);
  });

  test('takes all again when its event loop is on time', () => {
    const {play} = setUp();
    play(10_000, CALM_PER_S, 0);
    play(5_000, FLOOD_PER_S, 100);
    play(1_000, FLOOD_PER_S, 0);
    expect(play(2_000, FLOOD_PER_S, 0)).toBe(1);
  });
});

test('an entry whose event loop is late takes its usual connections', () => {
  const {play} = setUp();
  play(10_000, CALM_PER_S, 0);
  expect(play(10_000, CALM_PER_S, 100)).toBe(1);
});

// After a loss of power all callers return at once to entries that start.
test('an entry that has just started takes all connections', () => {
  const {play} = setUp();
  expect(play(2_900, FLOOD_PER_S, 100)).toBe(1);
});

// Guards against an entry that forgets its usual connections in a quiet time, and
// refuses its callers as a flood when they come back.
test('an entry knows its usual connections after some quiet minutes', () => {
  const {play} = setUp();
  play(60_000, 2 * CALM_PER_S, 0);
  play(120_000, 0, 0);
  expect(play(10_000, 2 * CALM_PER_S, 100)).toBe(1);
});

// Guards against a gate that takes every later flood, since it remembers the
// return of all callers after a loss of power.
test('an entry forgets within a minute that all callers came back at once', () => {
  const {play} = setUp();
  play(2_900, FLOOD_PER_S, 100);
  play(60_000, CALM_PER_S, 0);
  play(1_000, FLOOD_PER_S, 100);
  expect(play(5_000, FLOOD_PER_S, 100)).toBe(0);
});
