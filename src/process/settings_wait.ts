/**
 * Reads the settings of a process and waits for them where they can't be read.
 * The platform places the file at each start and whenever the settings change,
 * so it may be absent or half written; an end of the process would not mend it.
 * The same holds for invalid settings, which the platform may replace.
 */
import type {Either} from 'purify-ts/Either';
import {Left} from 'purify-ts/Either';
import type {Cancel, Clock, Log} from '../types/runtime.js';
import {KERNEL_EVENTS} from '../utils/events.js';

/** First pause before the file is read again, in milliseconds; it doubles. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1_000;
/** A reason that lasts is logged again after this time, in milliseconds. */
const REPEAT_LOG_MS = 10_000;

export interface SettingsWaitOptions<T> {
  readonly path: string;
  /** Reads the file; may throw. */
  readonly read: (path: string) => string;
  readonly parse: (text: string) => Either<string, T>;
  readonly clock: Pick<Clock, 'now' | 'after'>;
  readonly log: Log;
  /** Called once, at once if the file can be read. */
  readonly onRead: (settings: T) => void;
}

/** Returns a function that gives up the wait. */
export function awaitSettings<T>(options: SettingsWaitOptions<T>): Cancel {
  const {path, clock, log} = options;
  const startedAt = clock.now();
  let pauseMs = MIN_PAUSE_MS;
  let logged: {readonly reason: string; readonly at: number} | undefined;
  let cancelTimer: Cancel = () => undefined;

  const report = (reason: string): void => {
    const now = clock.now();
    const isNew = logged?.reason !== reason;
    if (!isNew && now - (logged?.at ?? 0) < REPEAT_LOG_MS) return;
    logged = {reason, at: now};
    log(KERNEL_EVENTS.settingsAwaited, {path, reason});
  };
  const attempt = (): void =>
    readAndParse(options).caseOf({
      Left: reason => {
        report(reason);
        cancelTimer = clock.after(pauseMs, attempt);
        pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
      },
      Right: settings => {
        if (logged !== undefined) {
          const waitedMs = Math.round(clock.now() - startedAt);
          log(KERNEL_EVENTS.settingsRead, {waitedMs});
        }
        options.onRead(settings);
      },
    });
  attempt();
  return () => cancelTimer();
}

function readAndParse<T>({
  path,
  read,
  parse,
}: SettingsWaitOptions<T>): Either<string, T> {
  try {
    return parse(read(path));
  } catch (err) {
    return Left(err instanceof Error ? err.message : String(err));
  }
}
