/**
 * Judges what others got beside floods of bytes: calm requests are served
 * meanwhile and at once afterwards, and sound answers in small pieces come whole.
 */
import {countBy} from '../silent_replicas/silence_report.js';
import type {FloodOutcome} from './flood_callers.js';

/** Callers of the users' sheets give their shortest requests so long. */
const CALM_MS = 1_500;
const SERVED_SHARE = 0.95;
/** What was queued when the floods ended is given up by then. */
export const CALM_AGAIN_MS = 1_000;

export interface FloodTimes {
  readonly from: number;
  readonly to: number;
}

/** Of calm calls that were sent to entries in service. */
export function judgeCalm(
  calls: readonly FloodOutcome[],
  {from, to}: FloodTimes,
): readonly string[] {
  const meanwhile = calls.filter(it => it.sentAt >= from && it.sentAt < to);
  const after = calls.filter(it => it.sentAt >= to + CALM_AGAIN_MS);
  return [
    ...judgeShare('calm requests meanwhile', meanwhile),
    ...judgeShare('calm requests afterwards', after),
  ];
}

function isServed({status, isWhole, sentAt, endedAt}: FloodOutcome): boolean {
  return status === 200 && isWhole && endedAt - sentAt <= CALM_MS;
}

function judgeShare(
  what: string,
  calls: readonly FloodOutcome[],
): readonly string[] {
  const served = calls.filter(isServed);
  if (served.length > 0 && served.length >= SERVED_SHARE * calls.length) {
    return [];
  }
  return [`unserved: ${what}: ${tell(calls)}`];
}

/** How many there were of each way to end. */
export function tell(calls: readonly FloodOutcome[]): string {
  const ways = countBy(calls, it => {
    const how = it.isWhole ? String(it.status ?? 'none') : 'cut';
    return isServed(it) ? 'served' : `${how}, late or refused`;
  });
  return `${JSON.stringify(ways)} of ${calls.length}`;
}

/** Each is answered with the whole body. */
export function judgeWhole(
  what: string,
  calls: readonly FloodOutcome[],
  leastBytes: number,
): readonly string[] {
  const broken = calls.filter(
    it => it.status !== 200 || !it.isWhole || it.bytes < leastBytes,
  );
  if (broken.length === 0) return [];
  const ways = countBy(broken, it => {
    const tookMs = Math.round(it.endedAt - it.sentAt);
    return `${it.status ?? 'none'}, ${it.bytes} bytes after ${tookMs} ms`;
  });
  return [
    `not-whole: ${what}: ${broken.length} of ${calls.length}: ${JSON.stringify(ways)}`,
  ];
}
