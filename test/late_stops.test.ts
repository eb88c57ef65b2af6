/** Stops of a process whose timers are late, on a virtual clock. */
import {describe, expect, test} from 'vitest';
import {createDrain} from '../src/direct/front/drain.js';
import {createServiceStop} from '../src/process/service_stop.js';
import type {Clock} from '../src/types/runtime.js';
import {createTimerLateness} from '../src/utils/timer_lateness.js';
import {createVirtualClock} from './support/virtual_clock.js';
import type {VirtualClock} from './support/virtual_clock.js';

const GRACE_S = 8;
const GRACE_MS = GRACE_S * 1_000;
/** When requests are ended, and the process, while no timer is late. */
const REQUESTS_END_MS = 7_500;
const LIMIT_MS = 7_800;
const POLL_MS = 20;

/** Lets each timer run late, as on an event loop whose turns last that long. */
function lateClock(clock: Clock, lateMs: number): Clock {
  const every: Clock['every'] = (periodMs, fn) => {
    let cancel = (): void => undefined;
    const next = (): void => {
      cancel = clock.after(periodMs + lateMs, () => {
        next();
        fn();
      });
    };
    next();
    return () => cancel();
  };
  return {
    now: () => clock.now(),
    after: (delayMs, fn) => clock.after(delayMs + lateMs, fn),
    every,
  };
}

interface Pause {
  readonly atMs: number;
  readonly lengthMs: number;
}

async function runWith(clock: VirtualClock, pause?: Pause): Promise<void> {
  if (pause !== undefined) {
    await clock.runFor(pause.atMs);
    clock.advance(pause.lengthMs);
  }
  await clock.runFor(GRACE_MS * 2);
}

/** When a drain ends requests that don't end by themselves. */
async function requestsEndMs(lateMs: number, pause?: Pause): Promise<number> {
  const clock = createVirtualClock();
  const startMs = clock.now();
  let endedMs = Infinity;
  const drain = createDrain({
    clock: lateClock(clock, lateMs),
    graceS: GRACE_S,
    start: {at: undefined},
    onBegin: () => undefined,
    stopAccepting: () => undefined,
    openCount: () => 1,
    refuseLate: () => undefined,
    onEnd: () => {
      endedMs = clock.now() - startMs;
    },
  });
  drain.begin(() => undefined);
  await runWith(clock, pause);
  return endedMs;
}

/** When a stop whose drain does not end ends the process. */
async function limitEndMs(lateMs: number, pause?: Pause): Promise<number> {
  const clock = createVirtualClock();
  const startMs = clock.now();
  const ends: number[] = [];
  const stop = createServiceStop({
    clock: lateClock(clock, lateMs),
    log: () => undefined,
    limitMs: GRACE_MS,
    end: endClass => {
      expect(endClass).toBe('drain-limit');
      ends.push(clock.now() - startMs);
    },
  });
  stop.started({
    drain: () => new Promise<void>(() => undefined),
    openRequests: async () => 1,
  });
  stop.request('SIGTERM');
  await runWith(clock, pause);
  expect(clock.pending()).toBe(0);
  expect(ends).toHaveLength(1);
  return ends[0];
}

describe.each([60, 100, 150])('timers that are late by %i ms', lateMs => {
  // Guards against a process that is killed since the steps after the end of its
  // requests are late too.
  test('leave the time for the later steps of a stop', async () => {
    const endMs = await requestsEndMs(lateMs);
    expect(endMs + 4 * lateMs).toBeLessThan(GRACE_MS - 200);
  });
});

describe.each([150, 250, 350])('timers late by %i ms at the limit', lateMs => {
  // Guards against a process that reaches its own limit too late to end by itself.
  test('leave the time for the last line and the exit', async () => {
    expect((await limitEndMs(lateMs)) + lateMs).toBeLessThan(GRACE_MS);
  });
});

describe.each([0, 2, 9])('timers that are late by %i ms', lateMs => {
  // Guards against requests that are cut earlier than the machine asks for.
  test('end requests and the process no earlier', async () => {
    const requestsMs = await requestsEndMs(lateMs);
    expect(requestsMs).toBeGreaterThanOrEqual(REQUESTS_END_MS);
    expect(requestsMs).toBeLessThanOrEqual(REQUESTS_END_MS + POLL_MS + lateMs);
    const limitMs = await limitEndMs(lateMs);
    expect(limitMs).toBeGreaterThanOrEqual(LIMIT_MS);
    expect(limitMs).toBeLessThanOrEqual(LIMIT_MS + lateMs);
  });
});

// Guards against requests that are cut since the process once paused, and against
// a limit that comes before the requests have been answered.
test.each([1_000, 4_000, 6_000])(
  'one pause at %i ms ends nothing earlier',
  async atMs => {
    const pause = {atMs, lengthMs: 1_300};
    const endMs = await requestsEndMs(0, pause);
    expect(endMs).toBeGreaterThanOrEqual(REQUESTS_END_MS);
    expect(await limitEndMs(0, pause)).toBeGreaterThanOrEqual(LIMIT_MS);
  },
);

// Guards against a stop that gives its requests almost no time.
test('timers that are very late take a bounded share', async () => {
  expect(await requestsEndMs(700)).toBeGreaterThanOrEqual((GRACE_MS * 5) / 6);
  expect(await limitEndMs(700)).toBeGreaterThanOrEqual((GRACE_MS * 7) / 8);
});

// Guards against a limit that comes before requests were ended, which resets
// their connections.
test.each([0, 50, 150, 300, 600])(
  'with timers late by %i ms requests are ended before the process',
  async lateMs => {
    const endMs = await requestsEndMs(lateMs);
    expect(endMs).toBeLessThan(await limitEndMs(lateMs));
  },
);

// Guards against a lateness that lasts longer than its cause.
test('lateness that has passed does not count', () => {
  const lateness = createTimerLateness(0);
  let now = 0;
  const run = (times: number, lateMs: number): void => {
    for (let i = 0; i < times; i++) {
      now += POLL_MS + lateMs;
      lateness.ran(now, POLL_MS);
    }
  };
  run(10, 200);
  expect(lateness.recentMs()).toBeGreaterThan(150);
  run(250, 0);
  expect(lateness.recentMs()).toBeLessThan(2);
});

interface LastLineWait {
  readonly endClass: string;
  /** When the wait for lines that are being written begins. */
  readonly fromMs: number;
  readonly lengthMs: number;
}

/** How long a stop lets its last line wait whose drain ends at `drainedMs`. */
async function waitAfter(
  drainedMs: number,
  lateMs = 0,
  graceMs = GRACE_MS,
): Promise<LastLineWait> {
  const clock = createVirtualClock();
  const startMs = clock.now();
  const waits: LastLineWait[] = [];
  const stop = createServiceStop({
    clock: lateClock(clock, lateMs),
    log: () => undefined,
    limitMs: graceMs,
    end: (endClass, _cause, _place, lengthMs = NaN) => {
      waits.push({endClass, fromMs: clock.now() - startMs, lengthMs});
    },
  });
  stop.started({
    drain: () => new Promise<void>(done => clock.after(drainedMs, done)),
    openRequests: async () => 0,
  });
  stop.request('SIGTERM');
  await clock.runFor(graceMs * 2);
  return waits[0];
}

async function writingMsAfter(drainedMs: number): Promise<number> {
  const {endClass, lengthMs} = await waitAfter(drainedMs);
  expect(endClass).toBe('stopped');
  return lengthMs;
}

// Guards against a last line that overtakes a write which waits for a processor.
test('the last line waits longer where the drain left the time', async () => {
  expect(await writingMsAfter(3_000)).toBe(1_000);
});

// Guards against a wait for lines that lasts past the end of the grace time.
test.each([7_000, 7_500, 7_790])(
  'after a drain of %i ms the wait for lines ends before the grace time',
  async drainedMs => {
    const writingMs = await writingMsAfter(drainedMs);
    expect(writingMs).toBeGreaterThanOrEqual(0);
    expect(drainedMs + writingMs).toBeLessThan(GRACE_MS);
  },
);

// Guards against a last line that stands before others since the drain ended just
// before its limit, or not at all.
test.each([
  {drainedMs: 7_500, endClass: 'stopped', leastMs: 300},
  {drainedMs: 7_700, endClass: 'stopped', leastMs: 150},
  {drainedMs: 7_770, endClass: 'stopped', leastMs: 90},
  {drainedMs: 7_790, endClass: 'stopped', leastMs: 90},
  {drainedMs: 9_000, endClass: 'drain-limit', leastMs: 90},
])(
  'after a drain of $drainedMs ms the last line waits for a write under way',
  async ({drainedMs, endClass, leastMs}) => {
    const wait = await waitAfter(drainedMs);
    expect(wait.endClass).toBe(endClass);
    expect(wait.lengthMs).toBeGreaterThanOrEqual(leastMs);
    expect(wait.fromMs + wait.lengthMs).toBeLessThanOrEqual(GRACE_MS - 100);
  },
);

// Guards against a wait for lines that leaves no time for the exit, where each
// timer of the process is late.
test.each([
  {lateMs: 50, drainedMs: 7_400},
  {lateMs: 100, drainedMs: 7_400},
  {lateMs: 200, drainedMs: 7_000},
  {lateMs: 200, drainedMs: 9_000},
  {lateMs: 350, drainedMs: 9_000},
])(
  'with timers late by $lateMs ms and a drain of $drainedMs ms the wait leaves time',
  async ({lateMs, drainedMs}) => {
    const {fromMs, lengthMs} = await waitAfter(drainedMs, lateMs);
    expect(lengthMs).toBeGreaterThanOrEqual(50);
    expect(fromMs + lengthMs + lateMs).toBeLessThan(GRACE_MS);
  },
);

// Guards against a wait of less than no time, where the grace time is short.
test.each([50, 150, 300, 1_000])(
  'with a grace time of %i ms the last line waits within it',
  async graceMs => {
    for (const drainedMs of [10, graceMs * 2]) {
      const {fromMs, lengthMs} = await waitAfter(drainedMs, 0, graceMs);
      expect(lengthMs).toBeGreaterThanOrEqual(0);
      expect(fromMs + lengthMs).toBeLessThanOrEqual(graceMs);
    }
  },
);
