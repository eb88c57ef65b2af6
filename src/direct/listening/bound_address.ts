/**
 * Binds an address of the process, and tries again in the background where it
 * can't be bound: a process that ends may hold it for some seconds, and another
 * program may hold it for good. All other parts serve meanwhile.
 */
import type {Clock, Log, Metrics} from '../../types/runtime.js';
import {KERNEL_EVENTS} from '../../utils/events.js';

/** First pause before a further attempt, in milliseconds; it doubles. */
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;
/** Gauge by part; 1 while its address is not bound after a failed attempt. */
const UNBOUND_METRIC = 'onyxloft_address_unbound';

/** What is served at an address. */
export type AddressPart =
  'callers' | 'ready' | 'metrics' | 'peers-tcp' | 'peers-udp';

export interface AddressOptions {
  readonly part: AddressPart;
  /** IP:PORT. */
  readonly address: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface BoundAddress {
  /** Resolves after the first attempt, whether or not it succeeded. */
  readonly attempted: Promise<void>;
  /** Resolves when the address is bound, also by an attempt before the stop. */
  readonly bound: Promise<void>;
  isBound(): boolean;
  /** Makes no further attempt. */
  stop(): void;
}

/** `bind` makes one attempt, and rejects when it fails. */
export function bindAddress(
  {part, address, clock, log, metrics}: AddressOptions,
  bind: () => Promise<void>,
): BoundAddress {
  let isBound = false;
  let isStopped = false;
  let failedAt: number | undefined;
  let pauseMs = MIN_PAUSE_MS;
  let retryAt = 0;
  let isAttempting = false;
  let setBound = (): void => undefined;
  const bound = new Promise<void>(resolve => (setBound = resolve));

  const succeed = (): void => {
    isBound = !isStopped;
    cancelRetries();
    setBound();
    if (isStopped) return;
    if (failedAt !== undefined) {
      const waitedMs = Math.round(clock.now() - failedAt);
      log(KERNEL_EVENTS.addressBound, {part, address, waitedMs});
      metrics.gauge(UNBOUND_METRIC, {part}, 0);
    }
  };
  const fail = (err: unknown): void => {
    if (isStopped) return;
    retryAt = clock.now() + pauseMs;
    pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    if (failedAt === undefined) {
      failedAt = clock.now();
      log(KERNEL_EVENTS.addressTaken, {part, address, reason: String(err)});
      metrics.gauge(UNBOUND_METRIC, {part}, 1);
    }
  };
  const attempt = async (): Promise<void> => {
    isAttempting = true;
    try {
      await bind().then(succeed, fail);
    } finally {
      isAttempting = false;
    }
  };
  const retry = (): void => {
    const isDue = clock.now() >= retryAt;
    if (isDue && !isBound && !isStopped && !isAttempting) void attempt();
  };
  // At an interval, so that an error in one attempt doesn't end the others.
  const cancelRetries = clock.every(MIN_PAUSE_MS, retry, `address of ${part}`);

  return {
    attempted: attempt(),
    bound,
    isBound: () => isBound,
    stop: () => {
      isStopped = true;
      cancelRetries();
    },
  };
}
