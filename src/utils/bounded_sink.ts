/**
 * Writes log lines to standard output without blocking on its reader. A
 * synchronous write to a full pipe would block the process until the reader
 * catches up. Every line is queued, and the queue is written as one batch when
 * no write is in progress. The queue is bounded; lines that do not fit are
 * dropped and counted. A failed write loses the rest of its batch and counts as
 * one.
 */
import {write} from 'node:fs';
import {Writable} from 'node:stream';
import type {Metrics} from '../types/runtime.js';

/** File descriptor of standard output. */
const STDOUT = 1;
/**
 * Maximum size of the queue, in bytes. A line beyond it is dropped. The batch
 * that is being written does not count.
 */
const MAX_QUEUED_BYTES = 1024 * 1024;
/**
 * Share of the queue reserved for warnings and errors, so that a burst of
 * other lines does not displace them.
 */
const RESERVED_SHARE = 0.25;
/** Matches the JSON lines of warnings and errors. */
const WARNING_OR_ERROR_LINE = /"level":"(?:warn|error)"/;
/**
 * Counter of dropped lines, by kind. A failed write adds one under the kind
 * `write-failed`, whatever the number of lines lost.
 */
const DROPPED_METRIC = 'onyxloft_log_lines_dropped_total';

/** Writes bytes and calls back like `fs.write`. */
export type WriteFd = (
  bytes: Buffer,
  done: (err: Error | null, written: number) => void,
) => void;

const writeStdout: WriteFd = (bytes, done) => {
  write(STDOUT, bytes, 0, bytes.length, null, done);
};

/** Creates the stream; tests pass their own `writeFd`. */
export function createBoundedSink(
  metrics: Metrics,
  writeFd: WriteFd = writeStdout,
): Writable {
  let queue: Buffer[] = [];
  let queuedBytes = 0;
  let isWriting = false;

  const flush = (): void => {
    if (isWriting || queue.length === 0) return;
    isWriting = true;
    const batch = Buffer.concat(queue);
    queue = [];
    queuedBytes = 0;
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
      isWriting = false;
      flush();
    });
  };

  return new Writable({
    decodeStrings: true,
    write: (line: Buffer, _encoding, done) => {
      const isWarningOrError = WARNING_OR_ERROR_LINE.test(
        line.toString('latin1'),
      );
      const share = isWarningOrError ? 1 : 1 - RESERVED_SHARE;
      if (queuedBytes + line.length > MAX_QUEUED_BYTES * share) {
        metrics.count(DROPPED_METRIC, {
          kind: isWarningOrError ? 'failure' : 'other',
        });
      } else {
        queue.push(line);
        queuedBytes += line.length;
        setImmediate(flush);
      }
      done();
    },
  });
}
