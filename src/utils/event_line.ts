/**
 * Writes one log line at once, without the logger: for the time before the
 * settings name the process, and for its last line.
 */
import {writeSync} from 'node:fs';
import type {EventSpec, LogFields} from '../types/runtime.js';

/** File descriptor of standard output. */
const STDOUT = 1;

/** Writes bytes at once; returns how many were written. */
export type WriteNow = (bytes: Buffer) => number;

/**
 * Writes to standard output as much as it takes. Where its reader is gone or
 * does not read, nothing is left that could be told of it.
 */
export const writeStdoutNow: WriteNow = bytes => {
  try {
    return writeSync(STDOUT, bytes);
  } catch {
    return 0;
  }
};

/** Writes a line of the same form as the logger's. */
export function writeEventLine(
  {number, name, level}: EventSpec,
  node: string,
  fields: LogFields,
  write: WriteNow = writeStdoutNow,
): void {
  const time = new Date().toISOString();
  const line = {time, level, event: number, name, node, ...fields};
  write(Buffer.from(`${JSON.stringify(line)}\n`));
}
