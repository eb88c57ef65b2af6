/**
 * The catalogue of numbered log events. `docs/EVENTS.md` lists the same
 * numbers; a test holds the two together. A number is never used again.
 *
 * Ranges: 100 kernel, 200 requests, 300 routing, 400 side and runs,
 * 500 membership, 600 configuration, 700 placement, 800 limits,
 * 900 platform and upstreams, 990 invariants.
 */
import type {EventSpec} from '../types/runtime.js';

function event(
  number: number,
  level: EventSpec['level'],
  name: string,
): EventSpec {
  return {number, level, name};
}

export const KERNEL_EVENTS = {
  serviceStarted: event(100, 'info', 'service-started'),
  serviceFailed: event(101, 'error', 'service-failed'),
  serviceEnded: event(102, 'info', 'service-ended'),
  messageDropped: event(103, 'warn', 'message-dropped'),
  processStarted: event(110, 'info', 'process-started'),
  drainStarted: event(111, 'info', 'drain-started'),
  drainEnded: event(112, 'info', 'drain-ended'),
  clockJumped: event(113, 'warn', 'clock-jumped'),
} as const;

export const PLATFORM_EVENTS = {
  leaseTaken: event(900, 'info', 'lease-taken'),
  leaseLost: event(901, 'warn', 'lease-lost'),
  leaseNotRenewed: event(902, 'warn', 'lease-not-renewed'),
  claimUnknown: event(910, 'warn', 'claim-unknown'),
} as const;

export const INVARIANT_EVENTS = {
  violated: event(990, 'error', 'invariant-violated'),
} as const;
