/**
 * The stop of a process at a signal: its services drain, and the process ends
 * with the class that tells how the drain went. A signal that comes while the
 * services start is kept until they can drain.
 */
import {runAll} from '../utils/run_each.js';
import type {Clock, Log} from '../types/runtime.js';
import {causeOf} from '../utils/error_cause.js';
import {KERNEL_EVENTS} from '../utils/events.js';
import type {EndClass} from './end_classes.js';

/** Delay before the process exits, so that the last log lines are written. */
const LOG_FLUSH_MS = 20;
/** Pause before a drain that failed is tried again, in milliseconds. */
const DRAIN_AGAIN_MS = 100;
/**
 * Time before the end of the grace time at which the process ends though the
 * drain has not, in milliseconds, so that its last line can be written.
 */
const LIMIT_MARGIN_MS = 200;

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
  end(endClass: EndClass, cause: string): void;
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

  const drain = async (from: Drainable, signal: string): Promise<void> => {
    log(KERNEL_EVENTS.drainStarted, {signal, limitMs});
    await from.drain();
    const open = await from.openRequests();
    log(KERNEL_EVENTS.drainEnded, {why: 'drained', open});
    clock.after(LOG_FLUSH_MS, () => end('stopped', signal));
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
      const endAtLimit = () =>
        end('drain-limit', `${signal}, ${limitMs} ms ago`);
      const delayMs = limitMs > LIMIT_MARGIN_MS ? limitMs - LIMIT_MARGIN_MS : 0;
      runAll([
        () => clock.after(delayMs, endAtLimit, 'limit of the drain'),
        begin,
      ]);
    },
  };
}
