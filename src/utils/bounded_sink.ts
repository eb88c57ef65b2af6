/**
 * Writes log lines to standard output without blocking on its reader. A
 * synchronous write to a full pipe would block the process until the reader
 * catches up. Every line is queued, and the queue is written as one batch when
 * no write is in progress. A pipe may also be in non-blocking mode and refuse a
 * write while it is full; the write is then repeated. The queue is bounded;
 * lines that do not fit are dropped and counted. Any other failed write loses
 * the rest of its batch and counts as one, and so does an error in a step here:
 * the next line is written all the same.
 */
import {write} from 'node:fs';
import {Writable} from 'node:stream';
import {writeStdoutNow} from './event_line.js';
import type {WriteNow} from './event_line.js';
import type {Metrics} from '../types/runtime.js';
import {runEach} from './run_each.js';

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
 * `write-failed`, whatever the number of lines lost, and a line that can't be
 * taken adds one under `failed`.
 */
export const DROPPED_METRIC = 'onyxloft_log_lines_dropped_total';
/** Error of a write to a full pipe in non-blocking mode. */
const PIPE_FULL = 'EAGAIN';
/** Pause before a write to a full pipe is repeated, in milliseconds. */
const PIPE_FULL_PAUSE_MS = 10;

/** Writes bytes and calls back like `fs.write`. */
export type WriteFd = (
  bytes: Buffer,
  done: (err: Error | null, written: number) => void,
) => void;

const writeStdout: WriteFd = (bytes, done) => {
  write(STDOUT, bytes, 0, bytes.length, null, done);
};

export interface BoundedSinkOptions {
  /** @default a write to standard output */
  readonly writeFd?: WriteFd;
  /** @default a write to standard output */
  readonly writeNow?: WriteNow;
  /**
   * Called with the number of lines that were dropped, when lines fit again.
   * Without a line that says so, a reader cannot tell a gap from silence.
   */
  readonly onDropped?: (lines: number) => void;
}

export interface BoundedSink extends Writable {
  /**
   * Writes what is queued at once, as far as standard output takes it; for the
   * end of the process.
   */
  flushNow(): void;
  /** Whether a write is under way, which `flushNow` would overtake. */
  isWriting(): boolean;
}

export function createBoundedSink(
  metrics: Metrics,
  {
    writeFd = writeStdout,
    writeNow = writeStdoutNow,
    onDropped,
  }: BoundedSinkOptions = {},
): BoundedSink {
  let queue: Buffer[] = [];
  let queuedBytes = 0;
  let isWriting = false;
  let droppedLines = 0;
  /** Rest of a batch that waits for room in the pipe. */
  let waiting: Buffer | undefined;

  /** Runs a step; an error in it loses the batch and ends no later write. */
  const contain = (step: () => void): void => {
    try {
      step();
    } catch {
      isWriting = false;
      waiting = undefined;
      runEach([() => metrics.count(DROPPED_METRIC, {kind: 'write-failed'})]);
    }
  };
  const flush = (): void => {
    if (isWriting || queue.length === 0) return;
    const lines = queue;
    queue = [];
    queuedBytes = 0;
    const batch = Buffer.concat(lines);
    isWriting = true;
    writeAll(batch);
  };
  const endBatch = (): void => {
    isWriting = false;
    reportDropped();
    flush();
  };
  const writeAll = (batch: Buffer): void => {
    writeFd(batch, (err, written) =>
      contain(() => takeWritten(batch, err, written)),
    );
  };
  const takeWritten = (
    batch: Buffer,
    err: Error | null,
    written: number,
  ): void => {
    if (isPipeFull(err)) {
      waiting = batch;
      setTimeout(() => contain(writeWaiting), PIPE_FULL_PAUSE_MS);
    } else if (err !== null) {
      metrics.count(DROPPED_METRIC, {kind: 'write-failed'});
      endBatch();
    } else if (written < batch.length) {
      writeAll(batch.subarray(written));
    } else {
      endBatch();
    }
  };
  const writeWaiting = (): void => {
    if (waiting === undefined) return;
    const batch = waiting;
    waiting = undefined;
    writeAll(batch);
  };
  const flushNow = (): void => {
    const batch = Buffer.concat([...(waiting ? [waiting] : []), ...queue]);
    waiting = undefined;
    queue = [];
    queuedBytes = 0;
    if (batch.length > 0) writeNow(batch);
  };
  const reportDropped = (): void => {
    if (droppedLines === 0) return;
    const lines = droppedLines;
    droppedLines = 0;
    onDropped?.(lines);
  };

  const take = (line: Buffer): void => {
    const isWarningOrError = WARNING_OR_ERROR_LINE.test(
      line.toString('latin1'),
    );
    const share = isWarningOrError ? 1 : 1 - RESERVED_SHARE;
    if (queuedBytes + line.length > MAX_QUEUED_BYTES * share) {
      droppedLines++;
      metrics.count(DROPPED_METRIC, {
        kind: isWarningOrError ? 'failure' : 'other',
      });
    } else {
      queue.push(line);
      queuedBytes += line.length;
      setImmediate(() => contain(flush));
    }
  };
  const stream = new Writable({
    decodeStrings: true,
    write: (line: Buffer, _encoding, done) => {
      try {
        take(line);
      } catch {
        // Thrown from here, it would leave the stream in its write for good.
        runEach([() => metrics.count(DROPPED_METRIC, {kind: 'failed'})]);
      }
      done();
    },
  });
  return Object.assign(stream, {
    flushNow,
    isWriting: () => isWriting && waiting === undefined,
  });
}

function isPipeFull(err: Error | null): boolean {
  return (err as NodeJS.ErrnoException | null)?.code === PIPE_FULL;
}
