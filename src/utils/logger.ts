/**
 * The process's log: one JSON line for each numbered event, by winston, to
 * standard output. Hosts have no disks, so no log goes to a file.
 */
import {createLogger as createWinston, format, transports} from 'winston';
import type {EventSpec, Log, LogFields} from '../types/runtime.js';

/** Names that each line has of its own. */
const RESERVED_FIELDS = new Set(['time', 'level', 'event', 'name', 'node']);

/** What each line of a process carries, and where it goes. */
export interface LoggerOptions {
  /** Name of this process, on each line. */
  readonly node: string;
  /** Least urgent level that is written. @default "info" */
  readonly level?: EventSpec['level'];
  /** Where the lines go. @default standard output */
  readonly stream?: NodeJS.WritableStream;
}

/** The log, and its end at shutdown. */
export interface Logger {
  readonly log: Log;
  /** Resolves when all lines before it are handed to the stream. */
  close(): Promise<void>;
}

/** Starts a logger. */
export function createLogger(options: LoggerOptions): Logger {
  const winston = createWinston({
    levels: {error: 0, warn: 1, info: 2, debug: 3},
    level: options.level ?? 'info',
    format: format.combine(format.timestamp(), format.printf(formatLine)),
    transports: [
      new transports.Stream({stream: options.stream ?? process.stdout}),
    ],
  });
  const log: Log = (event, fields) => {
    const {number, name, level} = event;
    const head = {event: number, name, node: options.node};
    winston.log({level, message: name, head, fields});
  };
  const close = () =>
    new Promise<void>(resolve => {
      winston.once('finish', () => resolve());
      winston.end();
    });
  return {log, close};
}

/** The log of a process that ends only with the process itself. */
export function createProcessLog(options: LoggerOptions): Log {
  return createLogger(options).log;
}

/** `time`, `level`, `event`, `name`, `node`, then the event's own fields. */
function formatLine(info: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({
    time: info['timestamp'],
    level: info['level'],
    ...(info['head'] as LogFields),
    ...renameReservedFields(info['fields'] as LogFields),
  });
}

/** A field that has a reserved name is written as `field.NAME`. */
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
