/**
 * The stop of a process at a signal: its services drain, and the process ends
 * with the class that tells how the drain went. A signal that comes while the
 * services start is kept until they can drain.
 */
import {runAll} from '../utils/run_each.js';
import type {Cancel, Clock, Log} from '../types/runtime.js';
import {causeOf} from '../utils/error_cause.js';
import {KERNEL_EVENTS} from '../utils/events.js';
import {createTimerLateness, endMarginMs} from '../utils/timer_lateness.js';
import type {ProcessLife} from './process_life.js';

/** Delay before the process exits, so that the last log lines are written. */
const LOG_FLUSH_MS = 20;
/** Pause before a drain that failed is tried again, in milliseconds. */
const DRAIN_AGAIN_MS = 100;
/** Interval at which the end of the grace time is looked for. */
const LIMIT_POLL_MS = 50;
/**
 * Time before the end of the grace time at which the process ends though the
 * drain has not, in milliseconds, so that its last line can be written.
 */
const LIMIT_MARGIN_MS = 200;
/** Late steps between that moment and the end: lines, the last line, the exit. */
const LIMIT_STEPS = 2;
/** Share of that time which is left for the last line and the exit. */
const EXIT_SHARE = 1 / 2;
/** Largest share of the grace time that late timers take from it. */
const MAX_MARGIN_SHARE = 1 / 8;
/** Largest share of the grace time by which requests are ended earlier. */
const REQUESTS_SHARE = 1 / 6;
/** Least time between the end of the requests and the limit, in milliseconds. */
const REQUESTS_GAP_MS = 300;
/**
 * Longest wait for lines that are being written, in milliseconds, where enough of
 * the grace time is left. The write may wait for a processor that long.
 */
const MAX_WRITING_MS = 1_000;

export interface Drainable {
  /** Resolves when all open requests have ended. */
  drain(): Promise<void>;
  /** Number of requests without a final answer. */
  openRequests(): Promise<number>;
}

export interface ServiceStopOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Longest time from the signal to the end, in milliseconds. */
  readonly limitMs: number;
  readonly end: ProcessLife['end'];
}

export interface ServiceStop {
  /** The services run and can drain. */
  started(services: Drainable): void;
  /** A signal asks for the end; further ones change nothing. */
  request(signal: string): void;
}

export function createServiceStop(options: ServiceStopOptions): ServiceStop {
  const {clock, log, limitMs, end} = options;
  let services: Drainable | undefined;
  let requested: string | undefined;
  /** When the process has to end; infinite before a signal. */
  let limitAt = Infinity;
  let isDrained = false;
  /** How long before the end of the grace time the process ends at the latest. */
  let marginMs = LIMIT_MARGIN_MS;

  /**
   * Also a drain that lasted until its limit leaves time for a write under way:
   * the last line would overtake it.
   */
  const writingMs = (): number => {
    const leftMs = limitAt - marginMs * EXIT_SHARE - clock.now();
    return Math.max(0, Math.min(MAX_WRITING_MS, leftMs));
  };
  const endDrained = (signal: string): void =>
    end('stopped', signal, undefined, writingMs());
  const drain = async (from: Drainable, signal: string): Promise<void> => {
    log(KERNEL_EVENTS.drainStarted, {signal, limitMs});
    await from.drain();
    const open = await from.openRequests();
    log(KERNEL_EVENTS.drainEnded, {why: 'drained', open});
    isDrained = true;
    clock.after(LOG_FLUSH_MS, () => endDrained(signal));
  };
  const marginMsAt = (latenessMs: number): number => {
    const mostMs = Math.min(
      limitMs * MAX_MARGIN_SHARE,
      limitMs * REQUESTS_SHARE - REQUESTS_GAP_MS,
    );
    const margin = {leastMs: LIMIT_MARGIN_MS, mostMs, steps: LIMIT_STEPS};
    return endMarginMs(margin, latenessMs);
  };
  const watchLimit = (signal: string): void => {
    const lateness = createTimerLateness(clock.now());
    const cancels: Cancel[] = [];
    const endNow = (): void => {
      endAtLimit(signal);
      for (const cancel of cancels) cancel();
    };
    const check = (): void => {
      lateness.ran(clock.now(), LIMIT_POLL_MS);
      marginMs = marginMsAt(lateness.recentMs());
      if (clock.now() >= limitAt - marginMs) endNow();
    };
    // The limit has a timer of its own, which an error in a check does not stop.
    const delayMs = limitMs > LIMIT_MARGIN_MS ? limitMs - LIMIT_MARGIN_MS : 0;
    const setLimit = () =>
      cancels.push(clock.after(delayMs, endNow, 'limit of the drain'));
    const setCheck = () =>
      cancels.push(clock.every(LIMIT_POLL_MS, check, 'lateness of a stop'));
    runAll([setLimit, setCheck]);
  };
  const endAtLimit = (signal: string): void => {
    if (isDrained) return endDrained(signal);
    const cause = `${signal}, ${limitMs} ms ago`;
    end('drain-limit', cause, undefined, writingMs());
  };
  const begin = (): void => {
    if (services === undefined || requested === undefined) return;
    drain(services, requested).catch(err => {
      log(KERNEL_EVENTS.drainRepeated, {cause: causeOf(err)});
      clock.after(DRAIN_AGAIN_MS, begin, 'drain');
    });
  };

  return {
    started: running => {
      services = running;
      begin();
    },
    request: signal => {
      // A second signal must not end the process before its answers have ended.
      if (requested !== undefined) return;
      requested = signal;
      limitAt = clock.now() + limitMs;
      runAll([() => watchLimit(signal), begin]);
    },
  };
}
