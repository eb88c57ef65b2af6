/**
 * Tells operators that the entry knows no configuration, and for how long. It
 * answers each request with 503 meanwhile, and looks as if it were running well
 * but for its readiness.
 */
import type {Cancel, Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';

/**
 * Time until the first line, in milliseconds. A start with a store that answers
 * is over by then.
 */
const FIRST_LINE_MS = 1_000;
/** Time between two further lines, in milliseconds. */
const LINE_INTERVAL_MS = 10_000;

export interface ConfigWait {
  /** Duration of the wait so far, in milliseconds; 0 when it is over. */
  awaitedMs(): number;
  /** Ends the wait. */
  end: Cancel;
}

/** The wait begins now. */
export function createConfigWait(clock: Clock, log: Log): ConfigWait {
  const startedAt = clock.now();
  let isOver = false;
  let cancelLine: Cancel = () => undefined;
  const awaitedMs = () => (isOver ? 0 : Math.round(clock.now() - startedAt));
  const logAfter = (delayMs: number): void => {
    cancelLine = clock.after(delayMs, () => {
      logAfter(LINE_INTERVAL_MS);
      log(DIRECT_EVENTS.configAwaited, {waitedMs: awaitedMs()});
    });
  };
  logAfter(FIRST_LINE_MS);
  return {
    awaitedMs,
    end: () => {
      isOver = true;
      cancelLine();
    },
  };
}
