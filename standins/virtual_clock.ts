/**
 * A clock whose time moves only when it is told to, so that hours of the
 * system's life pass in seconds and the same seed gives the same run. Timers
 * fire in order of time, and those of equal time in the order they were set.
 * Between two timers all promises that can settle do so, as in a process.
 */
import type {Cancel, Clock} from '../src/types/runtime.js';

/** Steps after which the event loop turns once, so that real I/O gets on. */
const STEPS_PER_TURN = 4_096;

export interface VirtualClock extends Clock {
  /**
   * Moves time by `ms` without firing anything, as when the process was
   * paused. Overdue timers fire with the steps that follow.
   */
  advance(ms: number): void;
  /** Fires the next timer and settles promises; false when there is none. */
  step(): Promise<boolean>;
  /** Fires all timers of the next `ms` and ends at that time. */
  runFor(ms: number): Promise<void>;
  /** Steps until no timer is left; rejects after `maxSteps`. */
  runUntilIdle(maxSteps: number): Promise<void>;
  /** Settles promises without moving time. */
  settle(): Promise<void>;
  /** Timers set and not fired; a periodic one counts once. */
  pending(): number;
}

interface Timer {
  readonly at: number;
  readonly order: number;
  /** Dropped on cancel, so that a cancelled timer holds nothing. */
  fn: (() => void) | undefined;
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Binary heap of timers, the earliest first. */
class TimerHeap {
  private readonly timers: Timer[] = [];

  peek(): Timer | undefined {
    return this.timers[0];
  }

  push(timer: Timer): void {
    const {timers} = this;
    let index = timers.length;
    timers.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, timers[parent])) break;
      timers[index] = timers[parent];
      index = parent;
    }
    timers[index] = timer;
  }

  pop(): Timer | undefined {
    const {timers} = this;
    const first = timers[0];
    const last = timers.pop();
    if (last !== undefined && timers.length > 0) this.sink(last);
    return first;
  }

  private sink(timer: Timer): void {
    const {timers} = this;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= timers.length) break;
      const right = child + 1;
      if (right < timers.length && isBefore(timers[right], timers[child])) {
        child = right;
      }
      if (!isBefore(timers[child], timer)) break;
      timers[index] = timers[child];
      index = child;
    }
    timers[index] = timer;
  }
}

/**
 * Waits until no promise can settle further: Node runs a tick that was queued
 * by a promise reaction only when the queue of reactions is empty.
 */
function settlePromises(): Promise<void> {
  return new Promise(resolve => process.nextTick(resolve));
}

function turnEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Starts a virtual clock at time 0. */
export function createVirtualClock(): VirtualClock {
  const heap = new TimerHeap();
  let nowMs = 0;
  let order = 0;
  let live = 0;
  let steps = 0;

  const set = (at: number, fn: () => void): Timer => {
    const timer: Timer = {at, order: order++, fn};
    heap.push(timer);
    live++;
    return timer;
  };

  const clear = (timer: Timer): void => {
    if (timer.fn === undefined) return;
    timer.fn = undefined;
    live--;
  };

  const next = (): Timer | undefined => {
    while (heap.peek()?.fn === undefined && heap.peek() !== undefined) {
      heap.pop();
    }
    return heap.peek();
  };

  const settle = async (): Promise<void> => {
    steps++;
    if (steps % STEPS_PER_TURN === 0) await turnEventLoop();
    await settlePromises();
  };

  const fire = (): void => {
    const timer = heap.pop();
    const fn = timer?.fn;
    if (timer === undefined || fn === undefined) return;
    clear(timer);
    nowMs = Math.max(nowMs, timer.at);
    fn();
  };

  const step = async (): Promise<boolean> => {
    // What the caller did since the last step may set earlier timers.
    await settle();
    if (next() === undefined) return false;
    fire();
    await settle();
    return true;
  };

  const runFor = async (ms: number): Promise<void> => {
    const endAt = nowMs + ms;
    await settle();
    for (;;) {
      const timer = next();
      if (timer === undefined || timer.at > endAt) break;
      fire();
      await settle();
    }
    nowMs = Math.max(nowMs, endAt);
  };

  const runUntilIdle = async (maxSteps: number): Promise<void> => {
    for (let count = 0; count < maxSteps; count++) {
      if (!(await step())) return;
    }
    await settle();
    if (next() === undefined) return;
    throw new Error(`${live} timers are left after ${maxSteps} steps`);
  };

  const every = (periodMs: number, fn: () => void): Cancel => {
    let ended = false;
    let timer: Timer;
    const arm = (): void => {
      timer = set(nowMs + periodMs, () => {
        fn();
        if (!ended) arm();
      });
    };
    arm();
    return () => {
      ended = true;
      clear(timer);
    };
  };

  return {
    now: () => nowMs,
    after: (delayMs, fn) => {
      const timer = set(nowMs + Math.max(0, delayMs), fn);
      return () => clear(timer);
    },
    every,
    advance: ms => {
      nowMs += ms;
    },
    step,
    runFor,
    runUntilIdle,
    settle,
    pending: () => live,
  };
}
