/**
 * Detects that a replica has stopped sending events in the middle of a stream.
 * A replica that prefills a long prompt also pauses all its other streams. If
 * these were moved to another replica, their prompts would be prefilled again
 * and nothing gained. So the known prefill time at the replica is added to the
 * limit, as far as the caller waits.
 */
import type {Guard} from '../../utils/callback_guard.js';
import type {Exchange} from '../exchange.js';
import {callerTimeoutMs} from '../decide/caller_timeout.js';
import type {ServeContext} from '../serve_context.js';

/** The limit for a first event is at least its expected time times this. */
const EXPECTED_TIME_FACTOR = 4;
/** The limit for an event is at least its latency objective times this. */
const AIM_FACTOR = 2;
/** Added to each limit, for pauses that other requests cause. */
const GRACE_MS = 300;
/**
 * Known prefill work may extend a limit up to this share of the time that the
 * caller waits for an event.
 */
const CALLER_TIMEOUT_SHARE = 0.8;

/**
 * Shortest timer. Rounding may leave a shorter rest, for which the timer would
 * fire early again and again.
 */
const MIN_WAIT_MS = 1;

export interface SilenceWatch {
  /** Starts the timer for the first event, expected within `expectedMs`. */
  awaitFirst(expectedMs: number): void;
  /** Restarts the timer after an event. */
  onEvent(): void;
  stop(): void;
}

/** Whether another replica may be tried beside a silent one. */
export function mayRetry({route, attempts}: Exchange): boolean {
  return route.kind === 'resumable-stream' && attempts < route.maxAttempts;
}

export interface SilenceObserver {
  /** Of the attempt. */
  readonly guard: Guard;
  onSilent(silentMs: number): void;
}

/**
 * `onSilent` is called with the time since the last event in milliseconds, and
 * only while another replica may be tried: once the limit has passed, and each
 * time that it passes again.
 */
export function watchSilence(
  {clock, loadTracker}: ServeContext,
  exchange: Exchange,
  replicaId: string,
  {guard, onSilent}: SilenceObserver,
): SilenceWatch {
  const {route} = exchange;
  const maxMs = callerTimeoutMs(route) * CALLER_TIMEOUT_SHARE;
  let stop = () => {};

  const allowedMs = (limitMs: number): number =>
    Math.max(
      limitMs,
      Math.min(limitMs + loadTracker.totalLoad(replicaId).readMs, maxMs),
    );
  const startTimer = (ms: number, onTime: () => void): void => {
    stop();
    if (route.kind !== 'resumable-stream') return;
    const wake = guard('silence of a replica', onTime);
    stop = clock.after(Math.max(MIN_WAIT_MS, ms), wake);
  };
  const wait = (limitMs: number, since: number): void => {
    startTimer(since + limitMs - clock.now(), () => {
      const allowed = allowedMs(limitMs);
      if (clock.now() - since < allowed) wait(allowed, since);
      else report(limitMs, since);
    });
  };
  const report = (intervalMs: number, since: number): void => {
    startTimer(intervalMs, () => report(intervalMs, since));
    if (mayRetry(exchange)) onSilent(clock.now() - since);
  };

  return {
    awaitFirst: expectedMs => {
      const limitMs = Math.max(
        EXPECTED_TIME_FACTOR * expectedMs,
        AIM_FACTOR * route.aimMs,
      );
      wait(limitMs + GRACE_MS, clock.now());
    },
    onEvent: () => wait(AIM_FACTOR * route.pauseAimMs + GRACE_MS, clock.now()),
    stop: () => stop(),
  };
}
