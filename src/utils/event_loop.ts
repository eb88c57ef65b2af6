/**
 * The event loop of this process: giving way to it, and measuring how late it
 * runs. Services get these as functions, so that tests pass their own.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';

const SAMPLE_MS = 10;
const NS_PER_MS = 1e6;

/** Lets waiting sockets and timers run before the caller goes on. */
export type YieldLoop = () => Promise<void>;

/** Gives way by way of `setImmediate`. */
export const yieldToLoop: YieldLoop = () =>
  new Promise(resolve => setImmediate(resolve));

/**
 * Starts measuring. Each call of the returned function gives the longest delay
 * in milliseconds since the call before it.
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
