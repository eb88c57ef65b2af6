/**
 * The signals to a process and its end. It is created before the program is
 * loaded, so that from then on no signal ends the process without a line. Each
 * end has a last line with its class and an exit code that tells the class.
 *
 * SIGTERM, SIGINT and SIGQUIT ask for the end; a further one changes nothing.
 * SIGHUP, SIGUSR1 and SIGUSR2 are taken and logged: without a listener, the
 * first and the last end the process, and Node opens its inspector at SIGUSR1.
 */
import type {Log, LogFields} from '../types/runtime.js';
import {placeOf} from '../utils/callback_guard.js';
import {causeOf} from '../utils/error_cause.js';
import {writeEventLine} from '../utils/event_line.js';
import {KERNEL_EVENTS} from '../utils/events.js';
import {END_CODES} from './end_classes.js';
import type {EndClass} from './end_classes.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const;
const IGNORED_SIGNALS = ['SIGUSR1', 'SIGUSR2'] as const;
const BYTES_PER_MB = 1024 * 1024;
const MS_PER_S = 1_000;
/** Longest wait for lines that are being written, in milliseconds. */
const MAX_WRITING_MS = 200;
const WRITING_POLL_MS = 5;

/** What the program does about signals and errors; see `ProcessLife.handle`. */
export interface LifeHandlers {
  /** Called for each signal that asks for the end. */
  stop(signal: string): void;
  hangUp(): void;
  ignored(signal: string): void;
  /** An error that nothing has caught, or a rejection that nothing handles. */
  error(err: unknown): void;
  /** Called before the last line, to write lines that are queued. */
  flush(): void;
  /** Whether lines are being written, which the last one would overtake. */
  isWriting(): boolean;
}

export interface ProcessLife {
  /** Name of the process, for lines that are written here. @default '' */
  identify(node: string): void;
  /**
   * Replaces handlers. Until then a signal that asks for the end and an uncaught
   * error end the process at once.
   */
  handle(handlers: Partial<LifeHandlers>): void;
  /** Writes a line at once, while there is no logger yet. */
  log: Log;
  /**
   * Writes the last line and ends the process; only the first call counts. Lines
   * that are being written come first, unless that takes longer than `writingMs`.
   * `place` is where an error arose, as far as known.
   */
  end(
    endClass: EndClass,
    cause: string,
    place?: LogFields,
    writingMs?: number,
  ): void;
}

/** Takes over the signals and the uncaught errors of this process. */
export function createProcessLife(): ProcessLife {
  let node = '';
  let isEnding = false;
  let isEnded = false;

  const writeLastLine = (
    endClass: string,
    exitCode: number,
    cause: string,
    place: LogFields = {},
  ): void => {
    isEnded = true;
    try {
      handlers.flush();
    } finally {
      writeEventLine(KERNEL_EVENTS.processEnded, node, {
        class: endClass,
        exitCode,
        cause,
        ...place,
        uptimeMs: Math.round(process.uptime() * MS_PER_S),
        residentMb: residentMb(),
      });
    }
  };
  const end: ProcessLife['end'] = (
    endClass,
    cause,
    place,
    writingMs = MAX_WRITING_MS,
  ) => {
    if (isEnding) return;
    isEnding = true;
    const exitCode = END_CODES[endClass];
    afterWriting(performance.now() + writingMs, () => {
      try {
        writeLastLine(endClass, exitCode, cause, place);
      } finally {
        process.exit(exitCode);
      }
    });
  };
  // By the clock: a number of timers lasts longer the later each of them is.
  const afterWriting = (untilMs: number, run: () => void): void => {
    try {
      if (performance.now() < untilMs && handlers.isWriting()) {
        setTimeout(() => afterWriting(untilMs, run), WRITING_POLL_MS);
        return;
      }
    } catch {
      // The process ends all the same: a further call of `end` would not count.
    }
    run();
  };
  const log: ProcessLife['log'] = (event, fields) =>
    writeEventLine(event, node, fields);

  const handlers: LifeHandlers = {
    stop: signal => end('stopped', signal),
    hangUp: () => log(KERNEL_EVENTS.reloaded, {changed: false}),
    ignored: signal => log(KERNEL_EVENTS.signalIgnored, {signal}),
    error: uncaught => {
      const {err, place} = placeOf(uncaught);
      end('uncaught-error', causeOf(err), place);
    },
    flush: () => undefined,
    isWriting: () => false,
  };

  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => handlers.stop(signal));
  }
  process.on('SIGHUP', () => handlers.hangUp());
  for (const signal of IGNORED_SIGNALS) {
    process.on(signal, () => handlers.ignored(signal));
  }
  // Without a listener for rejections, Node reports them here too.
  process.on('uncaughtException', err => handlers.error(err));
  process.on('beforeExit', () => end('no-work', 'nothing left to wait for'));
  process.on('exit', code => {
    if (!isEnded) writeLastLine('other', code, 'process.exit was called');
  });

  return {
    identify: name => {
      node = name;
    },
    handle: more => {
      Object.assign(handlers, more);
    },
    log,
    end,
  };
}

function residentMb(): number | undefined {
  try {
    return Math.round(process.memoryUsage.rss() / BYTES_PER_MB);
  } catch {
    // Not readable on this host; the line does without it.
    return undefined;
  }
}
