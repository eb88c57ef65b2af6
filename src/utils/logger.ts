/**
 * Writes the process's log with winston: one JSON line per numbered event, to
 * standard output. Hosts have no disks, so there is no log file.
 */
import {createLogger as createWinston, format, transports} from 'winston';
import type {EventSpec, Log, LogFields} from '../types/runtime.js';

/** Names of the fields that the logger itself adds to each line. */
const RESERVED_FIELDS = new Set(['time', 'level', 'event', 'name', 'node']);

/**
 * Lines that winston passes on later, beyond which its streams count as stuck.
 * They are lost then. The sink of a process takes each line at once.
 */
const MAX_PENDING_LINES = 64;

/** Options of a process's logger. */
export interface LoggerOptions {
  /** Name of this process; written on each line. */
  readonly node: string;
  /** Least severe level that is written. @default "info" */
  readonly level?: EventSpec['level'];
  /** Stream that receives the lines. @default standard output */
  readonly stream?: NodeJS.WritableStream;
}

/** A log that can be flushed and closed at shutdown. */
export interface Logger {
  readonly log: Log;
  /** Resolves when all earlier lines have been written to the stream. */
  close(): Promise<void>;
}

/** Creates a logger. */
export function createLogger(options: LoggerOptions): Logger {
  const create = () =>
    createWinston({
      levels: {error: 0, warn: 1, info: 2, debug: 3},
      level: options.level ?? 'info',
      format: format.combine(format.timestamp(), format.printf(formatLine)),
      transports: [
        new transports.Stream({stream: options.stream ?? process.stdout}),
      ],
    });
  let winston = create();
  const log: Log = (event, fields) => {
    const {number, name, level} = event;
    const head = {event: number, name, node: options.node};
    // After an error within them, winston's streams may pass on nothing more.
    if (winston.writableLength > MAX_PENDING_LINES) winston = create();
    try {
      winston.log({level, message: name, head, fields});
    } catch (err) {
      winston = create();
      throw err;
    }
  };
  const close = () =>
    new Promise<void>(resolve => {
      winston.once('finish', () => resolve());
      winston.end();
    });
  return {log, close};
}

/** Creates a log that stays open until the process exits. */
export function createProcessLog(options: LoggerOptions): Log {
  return createLogger(options).log;
}

/**
 * Formats a line: `time`, `level`, `event`, `name`, `node`, then the event's
 * own fields.
 */
function formatLine(info: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({
    time: info['timestamp'],
    level: info['level'],
    ...(info['head'] as LogFields),
    ...renameReservedFields(info['fields'] as LogFields),
  });
}

/**
 * Renames a field with a reserved name to `field.NAME`, so that it does not
 * overwrite the logger's own field.
 */
function renameReservedFields(fields: LogFields): LogFields {
  const entries = Object.entries(fields);
  if (!entries.some(([name]) => RESERVED_FIELDS.has(name))) return fields;
  return Object.fromEntries(
    entries.map(([name, value]) => [
      RESERVED_FIELDS.has(name) ? `field.${name}` : name,
      value,
    ]),
  );
}
