/**
 * Notices that a replica has fallen silent in the middle of a stream. A replica
 * that reads a long prompt is silent to all that write there. Given up for
 * that, their streams would be read anew elsewhere and gain nothing, so what is
 * known to be read there is waited for, as long as the caller does.
 */
import type {Exchange} from './exchange.js';
import {callerTimeoutMs} from './decide/caller_timeout.js';
import type {ServeContext} from './serve_context.js';

/** Silence is waited for so many times as long as a first event should take. */
const TIMES_EXPECTED = 4;
/** Silence is waited for so many times as long as the aim allows. */
const TIMES_AIM = 2;
/** Added to it, for pauses that others' work brings. */
const GRACE_MS = 300;
/** Share of the caller's patience that a known long read may use up. */
const PATIENCE_SHARE = 0.8;

/** A rest that rounding leaves would be waited for without end. */
const LEAST_WAIT_MS = 1;

export interface SilenceWatch {
  /** Waits for the first event, which should come within `expectedMs`. */
  awaitFirst(expectedMs: number): void;
  /** An event came; waits for the next. */
  onEvent(): void;
  stop(): void;
}

/** Whether another replica may be tried in place of one that is silent. */
function mayGoOn({route, attempts}: Exchange): boolean {
  return route.kind === 'resumable-stream' && attempts < route.maxAttempts;
}

/** `onSilent` is called once, and only while another replica may be tried. */
export function watchSilence(
  {clock, book}: ServeContext,
  exchange: Exchange,
  replicaId: string,
  onSilent: () => void,
): SilenceWatch {
  // A last attempt may still come; silence alone ends no answer.
  const canGoOn = mayGoOn(exchange);
  const {route} = exchange;
  const mostMs = callerTimeoutMs(route) * PATIENCE_SHARE;
  let stop = () => {};

  const allowedMs = (limitMs: number): number =>
    Math.max(
      limitMs,
      Math.min(limitMs + book.totalLoad(replicaId).readMs, mostMs),
    );
  const wait = (limitMs: number, since: number): void => {
    stop();
    if (!canGoOn) return;
    const leftMs = since + limitMs - clock.now();
    stop = clock.after(Math.max(LEAST_WAIT_MS, leftMs), () => {
      const allowed = allowedMs(limitMs);
      if (clock.now() - since < allowed) wait(allowed, since);
      else onSilent();
    });
  };

  return {
    awaitFirst: expectedMs => {
      const limitMs = Math.max(
        TIMES_EXPECTED * expectedMs,
        TIMES_AIM * route.aimMs,
      );
      wait(limitMs + GRACE_MS, clock.now());
    },
    onEvent: () => wait(TIMES_AIM * route.pauseAimMs + GRACE_MS, clock.now()),
    stop: () => stop(),
  };
}
