/**
 * The limits on callers, over a change of the configuration. A version reaches a
 * caller within a bounded time, and until then the caller goes by the one before.
 * A raised limit therefore applies at once, and a lowered one only from the time
 * at which every caller can know of it.
 */
import {isDeepStrictEqual} from 'node:util';
import type {CallerLimits} from '../types.js';

/** Limits on how long a connection is held. */
export type TimeLimits = Pick<
  CallerLimits,
  'headersTimeoutMs' | 'idleTimeoutMs'
>;

/**
 * In force before the first configuration. Nothing is admitted meanwhile, so they
 * only bound what connections hold. A connection that was opened ahead should
 * outlast the wait for the configuration; the descriptors bound their number.
 */
export const INITIAL_TIME_LIMITS: TimeLimits = {
  headersTimeoutMs: 10_000,
  idleTimeoutMs: 30_000,
};

interface Superseded {
  readonly limits: CallerLimits;
  /** When a newer configuration was adopted. */
  readonly at: number;
}

export interface LimitsInForce {
  /** The time in which a configuration reaches everyone, in milliseconds. */
  readonly knownWithinMs: number;
  /** Sets the limits of a newer configuration. */
  set(limits: CallerLimits): void;
  /** The limits of the newest configuration; undefined before the first one. */
  newest(): CallerLimits | undefined;
  /**
   * The limits that apply to what begins now: each the largest that a caller may
   * go by. Undefined before the first configuration.
   */
  current(): CallerLimits | undefined;
  /** As `current`; the initial ones before the first configuration. */
  times(): TimeLimits;
  /**
   * Whether every version that a caller may go by is known here. A process that
   * has just started knows none before its first one.
   */
  isComplete(): boolean;
  /**
   * The time for the headers of any request that may be under way, in
   * milliseconds: a lowered one applies when all requests that began before
   * have had their time. 0 is no limit.
   */
  headersTimeoutMs(): number;
  /**
   * Time until `headersTimeoutMs` may change without a newer configuration, in
   * milliseconds; undefined where it does not.
   */
  headersChangeInMs(): number | undefined;
}

/** `knownWithinMs` is the time in which a configuration reaches everyone. */
export function createLimitsInForce(
  now: () => number,
  knownWithinMs: number,
): LimitsInForce {
  let newest: CallerLimits | undefined;
  let firstAt = Number.POSITIVE_INFINITY;
  let older: readonly Superseded[] = [];
  const knownAt = ({at}: Superseded) => at + knownWithinMs;
  /** When no request that began by these limits has time left for its head. */
  const isOverAt = (entry: Superseded) =>
    knownAt(entry) + entry.limits.headersTimeoutMs;
  const current = (): CallerLimits | undefined => {
    if (newest === undefined) return undefined;
    const at = now();
    const unknown = older.filter(entry => knownAt(entry) > at);
    return unknown.map(({limits}) => limits).reduce(widest, newest);
  };

  return {
    knownWithinMs,
    set: limits => {
      if (isDeepStrictEqual(limits, newest)) return;
      const at = now();
      firstAt = Math.min(firstAt, at);
      const replaced = newest === undefined ? [] : [{limits: newest, at}];
      older = [...older, ...replaced].filter(entry => isOverAt(entry) > at);
      newest = limits;
    },
    newest: () => newest,
    isComplete: () => now() >= firstAt + knownWithinMs,
    current,
    times: () => current() ?? INITIAL_TIME_LIMITS,
    headersTimeoutMs: () => {
      const at = now();
      const times = older
        .filter(entry => isOverAt(entry) > at)
        .map(({limits}) => limits.headersTimeoutMs);
      const {headersTimeoutMs} = newest ?? INITIAL_TIME_LIMITS;
      return times.reduce(longest, headersTimeoutMs);
    },
    headersChangeInMs: () => {
      const at = now();
      const waits = older.map(isOverAt).filter(overAt => overAt > at);
      return waits.length === 0 ? undefined : Math.min(...waits) - at;
    },
  };
}

/** The larger one of each limit; undefined where neither is known. */
export function widestOf(
  a: CallerLimits | undefined,
  b: CallerLimits | undefined,
): CallerLimits | undefined {
  return a !== undefined && b !== undefined ? widest(a, b) : (a ?? b);
}

function widest(a: CallerLimits, b: CallerLimits): CallerLimits {
  return {
    maxHeaderBytes: Math.max(a.maxHeaderBytes, b.maxHeaderBytes),
    maxBodyBytes: Math.max(a.maxBodyBytes, b.maxBodyBytes),
    headersTimeoutMs: longest(a.headersTimeoutMs, b.headersTimeoutMs),
    idleTimeoutMs: Math.max(a.idleTimeoutMs, b.idleTimeoutMs),
  };
}

/** The longer one of two times for headers, of which 0 is no limit. */
function longest(a: number, b: number): number {
  return a === 0 || b === 0 ? 0 : Math.max(a, b);
}
