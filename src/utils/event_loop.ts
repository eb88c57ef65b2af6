/**
 * Yields to the event loop of this process and measures its delay. Services
 * receive these as functions, so that tests can pass their own.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';

/** Sampling interval of the delay histogram. */
const SAMPLE_MS = 10;
const NS_PER_MS = 1e6;

/** Lets pending sockets and timers run before the caller continues. */
export type YieldLoop = () => Promise<void>;

/** Yields with `setImmediate`. */
export const yieldToLoop: YieldLoop = () =>
  new Promise(resolve => setImmediate(resolve));

/**
 * Yields after which all that lay in the sockets has been read: the first one
 * ends the current turn of the event loop, the second one the next turn.
 */
const YIELDS_PER_TURN = 2;

/**
 * Resolves when everything has been read that lay in the sockets. After a stall
 * of this process, timers that have expired run before that.
 */
export async function untilSocketsRead(): Promise<void> {
  for (let at = 0; at < YIELDS_PER_TURN; at++) await yieldToLoop();
}

/**
 * Starts measuring the event loop's delay. Each call of the returned function
 * gives the longest delay in milliseconds since the previous call.
 */
export function createLoopDelayProbe(): () => number {
  const histogram = monitorEventLoopDelay({resolution: SAMPLE_MS});
  histogram.enable();
  return () => {
    const longestMs = histogram.max / NS_PER_MS - SAMPLE_MS;
    histogram.reset();
    return Math.max(0, longestMs);
  };
}
