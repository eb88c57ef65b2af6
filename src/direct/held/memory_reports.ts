/** Publishes the memory of this process, and logs when it nears its limit. */
import type {Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {MemoryShares} from '../decide/memory_share.js';
import type {MemoryReading} from './process_memory.js';

const BYTES_PER_MB = 1024 * 1024;

export interface MemoryReportOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly shares: MemoryShares;
  /** Time on the process's clock, in milliseconds. */
  now(): number;
}

/** Bytes that are held for requests. */
export interface HeldParts {
  readonly bodyBytes: number;
  readonly answerBytes: number;
}

/** Returns the function that reports a reading. */
export function createMemoryReports({
  log,
  metrics,
  shares,
  now,
}: MemoryReportOptions): (reading: MemoryReading, held: HeldParts) => void {
  let highSince: number | undefined;
  const limitMb = Math.round(shares.limit / BYTES_PER_MB);
  metrics.gauge('onyxloft_memory_limit_bytes', {}, shares.limit);

  const logHigh = (reading: MemoryReading, held: HeldParts): void =>
    log(DIRECT_EVENTS.memoryHigh, {
      residentMb: mb(reading.resident),
      limitMb,
      heapMb: mb(reading.heapUsed),
      buffersMb: mb(reading.arrayBuffers),
      externalMb: mb(reading.external),
      bodiesMb: mb(held.bodyBytes),
      answersMb: mb(held.answerBytes),
    });

  return (reading, held) => {
    const setGauge = (name: string, bytes: number) =>
      metrics.gauge(`onyxloft_memory_${name}_bytes`, {}, bytes);
    setGauge('resident', reading.resident);
    setGauge('heap_used', reading.heapUsed);
    setGauge('heap_total', reading.heapTotal);
    setGauge('external', reading.external);
    setGauge('array_buffers', reading.arrayBuffers);
    if (highSince === undefined && reading.resident > shares.high) {
      highSince = now();
      logHigh(reading, held);
    } else if (highSince !== undefined && reading.resident < shares.normal) {
      const highForMs = Math.round(now() - highSince);
      highSince = undefined;
      const residentMb = mb(reading.resident);
      log(DIRECT_EVENTS.memoryNormal, {residentMb, limitMb, highForMs});
    }
  };
}

function mb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}
