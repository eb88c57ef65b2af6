/**
 * Decides whether a request is still sent to a replica while this entry stops.
 * What can't end within the grace time is refused as not run, so that its caller
 * goes to another entry at once: sent on, it would be cut when the process ends,
 * and a request that may run once only would be lost.
 *
 * Not everything is refused, since the load balancer goes on sending requests
 * here for a while and a retry may come back to this entry.
 */
import type {RouteKind} from '../types.js';

/**
 * Time after the begin of the stop in which callers may not know of it yet, in
 * milliseconds: two failed readiness checks, one second apart.
 */
export const UNAWARE_MS = 2_600;
/** Room for a request that lasts longer than all recent ones. */
const LONGEST_MARGIN = 1.25;

/** Expected times of one request's work, in milliseconds. */
export interface ExpectedWork {
  readonly usualMs: number;
  /** By the longest recent work; infinite where too little is known. */
  readonly longestMs: number;
}

export interface WorkAtStop {
  /** Until open requests are ended, in milliseconds. */
  readonly leftMs: number;
  /** Since the begin of the stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Until the request ends by its own time limit, in milliseconds. */
  readonly limitMs: number;
  readonly kind: RouteKind;
  /** Undefined where nothing is known of such work. */
  readonly expected: ExpectedWork | undefined;
}

/**
 * Requests that may run once only, and all that could have gone elsewhere, begin
 * only where even long work ends in time. Others, which may be repeated or resumed,
 * begin where they usually end in time. A route of which nothing is known has
 * hardly any callers here, so they are refused.
 */
export function mayBeginAtStop({
  leftMs,
  stoppingMs,
  limitMs,
  kind,
  expected,
}: WorkAtStop): boolean {
  if (leftMs <= 0) return false;
  if (limitMs <= leftMs) return true;
  if (expected === undefined) return false;
  const mustEnd = kind === 'once' || stoppingMs > UNAWARE_MS;
  return mustEnd
    ? expected.longestMs * LONGEST_MARGIN <= leftMs
    : expected.usualMs <= leftMs;
}
