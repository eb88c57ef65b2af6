/** Which limits apply to a caller while the configuration changes. */
import {describe, expect, test} from 'vitest';
import {
  idleMarginMs,
  idleTimeMs,
  statedIdleMs,
} from '../../src/direct/callers/idle_time.js';
import {
  INITIAL_TIME_LIMITS,
  createLimitsInForce,
} from '../../src/direct/callers/limits_in_force.js';
import type {CallerLimits} from '../../src/direct/types.js';

const KNOWN_WITHIN_MS = 5_000;
const MARGIN_MS = 2_000;

const limitsOf = (value: number): CallerLimits => ({
  maxHeaderBytes: value,
  maxBodyBytes: value,
  headersTimeoutMs: value,
  idleTimeoutMs: value,
});

function start() {
  let now = 1_000;
  const limits = createLimitsInForce(() => now, KNOWN_WITHIN_MS);
  return {
    limits,
    pass: (ms: number) => {
      now += ms;
    },
  };
}

describe('limits of callers', () => {
  test('are unknown before the first configuration', () => {
    const {limits} = start();
    expect(limits.newest()).toBeUndefined();
    expect(limits.current()).toBeUndefined();
    expect(limits.isComplete()).toBe(false);
  });

  // Guards against connections and heads that are held for any time while no
  // configuration is known.
  test('bound times before the first configuration, and not after it', () => {
    const {limits} = start();
    expect(limits.times()).toEqual(INITIAL_TIME_LIMITS);
    expect(limits.headersTimeoutMs()).toBe(
      INITIAL_TIME_LIMITS.headersTimeoutMs,
    );
    limits.set(limitsOf(3_000));
    expect(limits.times()).toEqual(limitsOf(3_000));
    expect(limits.headersTimeoutMs()).toBe(3_000);
  });

  test('apply at once when they are raised', () => {
    const {limits} = start();
    limits.set(limitsOf(3_000));
    limits.set(limitsOf(15_000));
    expect(limits.current()).toEqual(limitsOf(15_000));
    expect(limits.headersTimeoutMs()).toBe(15_000);
  });

  // Guards against a refusal of what is proper by a version that a caller may
  // still go by, and against a lower limit that never applies.
  test('apply when every caller can know them when they are lowered', () => {
    const {limits, pass} = start();
    limits.set(limitsOf(15_000));
    limits.set(limitsOf(3_000));
    pass(KNOWN_WITHIN_MS - 1);
    expect(limits.current()).toEqual(limitsOf(15_000));
    pass(1);
    expect(limits.current()).toEqual(limitsOf(3_000));
    // A head that began just before has its time.
    expect(limits.headersTimeoutMs()).toBe(15_000);
    pass(15_000);
    expect(limits.headersTimeoutMs()).toBe(3_000);
  });

  // Guards against a lower limit that is forgotten behind a further change.
  test('are the widest of several versions', () => {
    const {limits, pass} = start();
    limits.set(limitsOf(15_000));
    limits.set(limitsOf(3_000));
    pass(1_000);
    limits.set(limitsOf(1_000));
    expect(limits.current()).toEqual(limitsOf(15_000));
    pass(KNOWN_WITHIN_MS - 1_000);
    expect(limits.current()).toEqual(limitsOf(3_000));
    pass(1_000);
    expect(limits.current()).toEqual(limitsOf(1_000));
  });

  // Guards against a process that takes its first version for all that a caller
  // may go by.
  test('are incomplete until callers can know the first ones', () => {
    const {limits, pass} = start();
    expect(limits.isComplete()).toBe(false);
    limits.set(limitsOf(15_000));
    pass(KNOWN_WITHIN_MS - 1);
    limits.set(limitsOf(3_000));
    expect(limits.isComplete()).toBe(false);
    pass(1);
    expect(limits.isComplete()).toBe(true);
  });

  test('of time for headers are none while a version has none', () => {
    const {limits} = start();
    limits.set({...limitsOf(15_000), headersTimeoutMs: 0});
    limits.set(limitsOf(3_000));
    expect(limits.headersTimeoutMs()).toBe(0);
  });

  // Guards against a limit that is applied later than callers know it.
  test('of time for headers tell when they change', () => {
    const {limits, pass} = start();
    limits.set(limitsOf(0));
    expect(limits.headersChangeInMs()).toBeUndefined();
    limits.set(limitsOf(300));
    pass(1_000);
    expect(limits.headersChangeInMs()).toBe(KNOWN_WITHIN_MS - 1_000);
    pass(KNOWN_WITHIN_MS - 1_000);
    expect(limits.headersTimeoutMs()).toBe(300);
    expect(limits.headersChangeInMs()).toBeUndefined();
  });
});

describe('the idle time of a connection', () => {
  const quiet = {statedMs: 0, awaitsHeaders: false};

  test('is longer than the limit by a margin', () => {
    expect(idleTimeMs(quiet, limitsOf(3_000))).toBe(3_000 + MARGIN_MS);
  });

  // Guards against an answer that states a time which is not kept.
  test('is at least what its last answer stated', () => {
    const stated = {...quiet, statedMs: 15_000};
    expect(idleTimeMs(stated, limitsOf(3_000))).toBe(15_000 + MARGIN_MS);
    expect(statedIdleMs(limitsOf(3_500))).toBe(3_000);
    // A caller must not read that it may not reuse the connection at all.
    expect(statedIdleMs(limitsOf(300))).toBe(1_000);
  });

  test('is that of a head where one is awaited', () => {
    const limits = {...limitsOf(1_000), headersTimeoutMs: 4_000};
    expect(idleTimeMs(quiet, limits)).toBe(1_000 + MARGIN_MS);
    const awaited = {...quiet, awaitsHeaders: true};
    expect(idleTimeMs(awaited, limits)).toBe(4_000 + MARGIN_MS);
  });
});

describe('the margin of an idle connection', () => {
  const maxDescriptors = 1_000;

  // Guards against the closing of a connection beneath a caller that knows a
  // raised limit before this entry.
  test('is the time of a configuration while descriptors are plentiful', () => {
    const use = {connections: 499, busy: 0, maxDescriptors};
    expect(idleMarginMs(use, KNOWN_WITHIN_MS)).toBe(KNOWN_WITHIN_MS);
    // A request at the limit may still be on its way.
    expect(idleMarginMs(use, 500)).toBe(MARGIN_MS);
  });

  // Guards against idle connections that use up the descriptors.
  test('is the least one when half of the descriptors are used', () => {
    const use = {connections: 500, busy: 0, maxDescriptors};
    expect(idleMarginMs(use, KNOWN_WITHIN_MS)).toBe(MARGIN_MS);
  });

  test('makes the idle time of a connection longer', () => {
    const quiet = {statedMs: 0, awaitsHeaders: false};
    const idleMs = idleTimeMs(quiet, limitsOf(3_000), KNOWN_WITHIN_MS);
    expect(idleMs).toBe(3_000 + KNOWN_WITHIN_MS);
  });
});
