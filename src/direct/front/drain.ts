/**
 * Drains the entry: it tells its peers, accepts new connections for a little
 * longer, and ends once all requests have ended or the grace time is over.
 */
import type {Clock} from '../../types/runtime.js';

/**
 * Time for which new connections are still accepted after the drain signal. The
 * load balancer sends connections until two readiness checks, one second apart,
 * have failed.
 */
const ACCEPT_AFTER_DRAIN_MS = 2_600;
/** Interval at which a drain checks whether all requests have ended. */
const DRAIN_POLL_MS = 20;
/** The drain ends this long before the grace time, to send the last answers. */
const GRACE_MARGIN_MS = 500;

export interface DrainOptions {
  readonly clock: Clock;
  /** Longest duration of a drain, in seconds. */
  readonly graceS: number;
  /** Tells the peers. */
  onBegin(): void;
  /** Resolves when no further connection is accepted. */
  stopAccepting(): Promise<void> | undefined;
  /** Number of requests that have not ended. */
  openCount(): number;
  /** Ends the requests that are still open. */
  onEnd(): void;
}

export interface Drain {
  isDraining(): boolean;
  /** Calls `reply` at the end. Does nothing if the drain has begun already. */
  begin(reply: () => void): void;
}

export function createDrain(options: DrainOptions): Drain {
  const {clock} = options;
  const graceMs = options.graceS * 1_000 - GRACE_MARGIN_MS;
  let isDraining = false;

  return {
    isDraining: () => isDraining,
    begin: reply => {
      if (isDraining) return;
      isDraining = true;
      options.onBegin();
      const startedAt = clock.now();
      let hasStoppedAccepting = false;
      clock.after(ACCEPT_AFTER_DRAIN_MS, () => {
        void Promise.resolve(options.stopAccepting()).then(() => {
          hasStoppedAccepting = true;
        });
      });
      const cancel = clock.every(DRAIN_POLL_MS, () => {
        const elapsedMs = clock.now() - startedAt;
        const done = hasStoppedAccepting && options.openCount() === 0;
        if (!done && elapsedMs < graceMs) return;
        cancel();
        options.onEnd();
        reply();
      });
    },
  };
}
