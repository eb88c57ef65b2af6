/**
 * The limits of the configuration over time, and what a caller could know of
 * them. A caller goes by the newest acknowledged version; it need not know of a
 * lower limit before that limit is in force everywhere.
 */
import {CONFIG_APPLY_MS} from '../config_changes/route_history.js';

/** As the operator writes them. */
export interface Limits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export type LimitName = keyof Limits;

export interface LimitVersion {
  readonly version: number;
  readonly limits: Limits;
  /** Steady time of the acknowledgement. */
  readonly at: number;
}

/** Share of the idle limit up to which callers reuse a connection. */
export const REUSE_SHARE = 0.8;

/** Versions in order of their acknowledgement, the newest one last. */
export type LimitHistory = readonly LimitVersion[];

/** Versions that may be in force at some moment of the span. */
function inForce(
  history: LimitHistory,
  from: number,
  to: number,
): readonly LimitVersion[] {
  return history.filter(
    ({at}, index) =>
      at <= to && (history[index + 1]?.at ?? Infinity) > from - CONFIG_APPLY_MS,
  );
}

/** The longest idle time after which a caller may reuse its connection. */
export function reusableMs(history: LimitHistory, at: number): number {
  const known = inForce(history, at, at);
  return REUSE_SHARE * Math.max(...known.map(it => it.limits.idleTimeoutMs));
}

/** The limit that all versions allow that may be in force at this moment. */
export function safeLimit(
  history: LimitHistory,
  name: LimitName,
  at: number,
): number {
  return Math.min(...inForce(history, at, at).map(it => it.limits[name]));
}
