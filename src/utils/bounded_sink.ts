/**
 * Standard output for log lines, without ever waiting for its reader: a write
 * to a full pipe would stop the process. Lines wait in a bounded queue while
 * one write is under way; what does not fit is dropped and counted.
 */
import {write} from 'node:fs';
import {Writable} from 'node:stream';
import type {Metrics} from '../types/runtime.js';

const STDOUT = 1;
/** Lines that may wait, in bytes. */
const MAX_QUEUED_BYTES = 1024 * 1024;
/** Room that is kept for warnings and errors. */
const RESERVED_FOR_FAILURES = 0.25;
const FAILURE_LINE = /"level":"(?:warn|error)"/;
const DROPPED_METRIC = 'onyxloft_log_lines_dropped_total';

/** Writes to a file descriptor; as `fs.write`. */
export type WriteFd = (
  bytes: Buffer,
  done: (err: Error | null, written: number) => void,
) => void;

const writeStdout: WriteFd = (bytes, done) => {
  write(STDOUT, bytes, 0, bytes.length, null, done);
};

export function createBoundedSink(
  metrics: Metrics,
  writeFd: WriteFd = writeStdout,
): Writable {
  let waiting: Buffer[] = [];
  let bytes = 0;
  let writing = false;

  const flush = (): void => {
    if (writing || waiting.length === 0) return;
    writing = true;
    const batch = Buffer.concat(waiting);
    waiting = [];
    bytes = 0;
    writeAll(batch);
  };
  const writeAll = (batch: Buffer): void => {
    writeFd(batch, (err, written) => {
      if (err !== null) {
        metrics.count(DROPPED_METRIC, {kind: 'write-failed'});
      } else if (written < batch.length) {
        writeAll(batch.subarray(written));
        return;
      }
      writing = false;
      flush();
    });
  };

  return new Writable({
    decodeStrings: true,
    write: (line: Buffer, _encoding, done) => {
      const failure = FAILURE_LINE.test(line.toString('latin1'));
      const share = failure ? 1 : 1 - RESERVED_FOR_FAILURES;
      if (bytes + line.length > MAX_QUEUED_BYTES * share) {
        metrics.count(DROPPED_METRIC, {kind: failure ? 'failure' : 'other'});
      } else {
        waiting.push(line);
        bytes += line.length;
        setImmediate(flush);
      }
      done();
    },
  });
}
