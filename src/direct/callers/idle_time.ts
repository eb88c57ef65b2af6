/** How long a connection on which nothing happens stays open. */
import {arePlentiful} from './descriptor_use.js';
import type {DescriptorUse} from './descriptor_use.js';
import type {TimeLimits} from './limits_in_force.js';

/**
 * A connection stays open for at least this much longer than its caller may
 * reuse it, in milliseconds: a request that was sent at the limit may still be on
 * its way.
 */
const LEAST_MARGIN_MS = 2_000;
/** `Keep-Alive` states whole seconds, and 0 would forbid any reuse. */
const LEAST_STATED_MS = 1_000;
/**
 * Longest time, in whole seconds, that Node's timers take. Node sets the time
 * at the connection and throws outside of any request for an infinite one.
 */
const MAX_STATED_MS = 2_147_483_000;

/** What is known of a connection without an open request. */
export interface QuietConnection {
  /** Time that its last answer stated in `Keep-Alive`; 0 where none did. */
  readonly statedMs: number;
  /** Whether the headers of a request may be under way, or none came ever. */
  readonly awaitsHeaders: boolean;
}

/**
 * Time for which a connection stays open beyond its limit, in milliseconds.
 * `knownWithinMs` is the time in which a configuration reaches everyone: a caller
 * may know a raised limit for so long before this entry does. Each second holds
 * one more second's worth of idle connections, so the whole time is given only
 * while descriptors are plentiful.
 */
export function idleMarginMs(
  use: DescriptorUse,
  knownWithinMs: number,
): number {
  return arePlentiful(use)
    ? Math.max(LEAST_MARGIN_MS, knownWithinMs)
    : LEAST_MARGIN_MS;
}

/** The time that an answer states in `Keep-Alive`, in milliseconds. */
export function statedIdleMs({idleTimeoutMs}: TimeLimits): number {
  const wholeMs = Math.floor(idleTimeoutMs / 1_000) * 1_000;
  return Math.min(MAX_STATED_MS, Math.max(LEAST_STATED_MS, wholeMs));
}

/**
 * Time for which the connection stays open without a byte, in milliseconds.
 * `limits` are the largest that a caller may go by. An answer states a time
 * before it is known when it ends, and the limit may be lowered meanwhile, but
 * what was stated is kept.
 *
 * @default marginMs the least margin
 */
export function idleTimeMs(
  {statedMs, awaitsHeaders}: QuietConnection,
  {idleTimeoutMs, headersTimeoutMs}: TimeLimits,
  marginMs = LEAST_MARGIN_MS,
): number {
  const headersMs = awaitsHeaders ? headersTimeoutMs : 0;
  return Math.max(idleTimeoutMs, statedMs, headersMs) + marginMs;
}

/** Time within which a further byte of a body has to come, in milliseconds. */
export function stalledTimeMs(limits: TimeLimits): number {
  return idleTimeMs({statedMs: 0, awaitsHeaders: true}, limits);
}
