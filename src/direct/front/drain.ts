/**
 * Drains the entry: it tells its peers, accepts new connections for a little
 * longer, and ends once all requests have ended or the grace time is over.
 */
import type {Cancel, Clock} from '../../types/runtime.js';
import {createTimerLateness, endMarginMs} from '../../utils/timer_lateness.js';
import {UNAWARE_MS} from '../decide/begin_at_stop.js';

/** Interval at which a drain checks whether all requests have ended. */
const DRAIN_POLL_MS = 20;
/** Interval at which requests without a replica are looked at. */
const REFUSE_LATE_MS = 100;
/** The drain ends this long before the grace time, to send the last answers. */
const GRACE_MARGIN_MS = 500;
/** Late steps of an end: answers, the reply, the services' end, the exit. */
const GRACE_STEPS = 4;
/** Largest share of the grace time that late timers take from the requests. */
const MAX_MARGIN_SHARE = 1 / 6;

/** When the drain of a process began. It outlasts a restart of the service. */
export interface DrainStart {
  /** Undefined before the drain. */
  at: number | undefined;
}

export interface DrainOptions {
  readonly clock: Clock;
  /** Longest duration of a drain, in seconds. */
  readonly graceS: number;
  readonly start: DrainStart;
  /** Tells the peers. */
  onBegin(): void;
  /** Resolves when no further connection is accepted. */
  stopAccepting(): Promise<void> | undefined;
  /** Number of requests that have not ended. */
  openCount(): number;
  /** Refuses requests that have not begun and can't end in time. */
  refuseLate(): void;
  /** Ends the requests that are still open. */
  onEnd(): void;
}

export interface Drain {
  isDraining(): boolean;
  /** Whether connections of callers are still accepted. */
  isAccepting(): boolean;
  /** Until open requests are ended, in milliseconds; infinite before the drain. */
  leftMs(): number;
  /** Since the begin of the drain, in milliseconds; 0 before it. */
  stoppingMs(): number;
  /** Begins the drain unless it has begun, and calls `reply` at its end. */
  begin(reply: () => void): void;
  /** Ends the checks without a reply, since the service ends. */
  cancel(): void;
}

export function createDrain(options: DrainOptions): Drain {
  const {clock, start} = options;
  const limitMs = options.graceS * 1_000;
  let lateness = createTimerLateness(clock.now());
  const graceMs = () =>
    limitMs -
    endMarginMs(
      {
        leastMs: GRACE_MARGIN_MS,
        mostMs: limitMs * MAX_MARGIN_SHARE,
        steps: GRACE_STEPS,
      },
      lateness.recentMs(),
    );
  const replies: Array<() => void> = [];
  let cancels: readonly Cancel[] = [];
  let isRunning = false;
  let hasEnded = false;
  let hasStoppedAccepting = false;
  const stoppingMs = () =>
    start.at === undefined ? 0 : clock.now() - start.at;
  const cancel = () => cancels.forEach(end => end());

  /** An error repeats it: a drain that still accepts would not end before its time. */
  const stopAccepting = async (): Promise<void> => {
    try {
      await options.stopAccepting();
      hasStoppedAccepting = true;
    } catch (err) {
      const again = () => void stopAccepting();
      if (!hasEnded) clock.after(REFUSE_LATE_MS, again, 'stop of accepting');
      throw err;
    }
  };
  const check = () => {
    if (hasEnded) return;
    lateness.ran(clock.now(), DRAIN_POLL_MS);
    const isTimeUp = stoppingMs() >= graceMs();
    const isDone = () => hasStoppedAccepting && options.openCount() === 0;
    if (!isTimeUp && !isDone()) return;
    cancel();
    hasEnded = true;
    // The process ends by the replies.
    try {
      options.onEnd();
    } finally {
      for (const reply of replies) reply();
    }
  };
  /** Called again after an error, since who asked for the drain asks again. */
  const run = () => {
    lateness = createTimerLateness(clock.now());
    // The load balancer sends connections until callers know of the stop.
    const acceptMs = Math.max(0, UNAWARE_MS - stoppingMs());
    cancels = [
      clock.every(DRAIN_POLL_MS, check, 'check of the drain'),
      clock.every(REFUSE_LATE_MS, options.refuseLate),
      clock.after(acceptMs, () => void stopAccepting(), 'stop of accepting'),
    ];
    isRunning = true;
    options.onBegin();
  };
  if (start.at !== undefined) run();

  return {
    isDraining: () => start.at !== undefined,
    isAccepting: () => stoppingMs() < UNAWARE_MS,
    leftMs: () =>
      start.at === undefined ? Infinity : graceMs() - stoppingMs(),
    stoppingMs,
    begin: reply => {
      if (hasEnded) return reply();
      start.at ??= clock.now();
      replies.push(reply);
      if (!isRunning) run();
    },
    cancel,
  };
}
