/**
 * Reads the body of a request into one buffer, once there is room for it. The
 * chunks are copied as they come: kept until the end and joined, they would
 * take twice the memory.
 */
import type {IncomingMessage} from 'node:http';
import {createGuard} from '../../utils/callback_guard.js';
import type {Guard} from '../../utils/callback_guard.js';
import {holdReads, releaseReads} from '../../utils/held_reads.js';
import type {ReadTurns, TurnReader} from '../../utils/read_turns.js';
import {createReceivedBytes} from '../../utils/received_bytes.js';
import type {ReceivedBytes} from '../../utils/received_bytes.js';
import type {Clock} from '../../types/runtime.js';
import type {RequestAccount} from './held_bytes.js';

/** Length up to which a body that states none is read without a reservation. */
const FIRST_BYTES = 64 * 1024;
/**
 * Length up to which room for the largest body is reserved at once. Beyond it,
 * the reservation grows with the body, since a limit may exceed the memory.
 */
const STEP_BYTES = 8 * 1024 * 1024;
const GROWTH_FACTOR = 4;
/** Most pieces of a body, which take about a second of the processor. */
const MAX_PIECES = 512 * 1024;
/**
 * Pieces after which the work with them is noted before the read is over: many
 * reads may follow each other before anything else runs.
 */
const NOTED_PIECES = 1_024;
/** All callers together: many connections may send little each. */
const CALLERS = {kind: 'callers', name: 'all'} as const;

/** Bounds on what the body may take beside memory. */
export interface BodyBounds {
  readonly clock: Pick<Clock, 'now' | 'after'>;
  /** Bounds the work with the pieces of bodies. */
  readonly turns: ReadTurns;
  /** Time for the whole body, in milliseconds. */
  leftMs(): number;
}

export interface BodyOptions {
  /** Length that the headers state; 0 when they state none. */
  readonly announcedBytes: number;
  /** Largest body; may rise while it is read. */
  readonly maxBytes: () => number;
  /** Longest time for which the body may wait for room, in milliseconds. */
  readonly maxWaitMs: () => number;
  /** @default neither the work nor the time is bounded */
  readonly bounds?: BodyBounds | undefined;
  readonly account: RequestAccount | undefined;
}

export type BodyResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too large'}
  | {readonly kind: 'too many pieces'}
  | {readonly kind: 'too late'}
  | {readonly kind: 'no room'; readonly retryAfterMs: number};

/** Rejects when the caller closes the connection first. */
export async function readBody(
  req: IncomingMessage,
  options: BodyOptions,
): Promise<BodyResult> {
  const {account, announcedBytes, maxWaitMs} = options;
  const retryAfterMs = await account?.reserve(announcedBytes, maxWaitMs);
  if (retryAfterMs !== undefined) return {kind: 'no room', retryAfterMs};
  // The caller may have left during the wait, and no event tells it again.
  if (req.destroyed) throw new Error('the caller broke off');
  const result = await collect(req, options);
  account?.complete();
  return result;
}

/** The connection of a body as it is read, with the work that it takes. */
interface BodyReader {
  /** Notes a piece; returns whether there are too many. */
  took(): boolean;
  /** Stops the reading until `goOn`. */
  stop(): void;
  goOn(): void;
  close(): void;
}

/** A body with a length can't come in more pieces than reads. */
function isChunked({headers}: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined;
}

function openReader(
  req: IncomingMessage,
  bounds: BodyBounds | undefined,
  guard: Guard,
): BodyReader {
  const {socket} = req;
  const turns = isChunked(req) ? bounds?.turns : undefined;
  const reader: TurnReader | undefined = turns?.open(CALLERS, socket);
  const now = bounds?.clock.now ?? (() => 0);
  let pieces = 0;
  let notedPieces = 0;
  let firstAt = 0;
  let isDue = false;
  const note = () => {
    const count = pieces - notedPieces;
    notedPieces = pieces;
    if (count > 0) reader?.worked(count, now() - firstAt);
    firstAt = now();
  };
  const noteRead = guard('body work', () => {
    isDue = false;
    note();
  });
  return {
    took: () => {
      if (!isDue && reader !== undefined) {
        isDue = true;
        firstAt = now();
        setImmediate(noteRead);
      }
      pieces++;
      if (pieces - notedPieces >= NOTED_PIECES) note();
      return pieces > MAX_PIECES;
    },
    stop: () => holdReads(socket, 'room'),
    goOn: () => releaseReads(socket, 'room'),
    close: () => {
      reader?.close();
      releaseReads(socket, 'room');
    },
  };
}

function collect(
  req: IncomingMessage,
  options: BodyOptions,
): Promise<BodyResult> {
  const {announcedBytes, maxBytes, maxWaitMs, account, bounds} = options;
  return new Promise((resolve, reject) => {
    /** Of a body that states no length, before its buffer is reserved. */
    const first = createReceivedBytes();
    let buffer: Buffer | undefined =
      announcedBytes > 0 ? Buffer.allocUnsafeSlow(announcedBytes) : undefined;
    let bytes = 0;
    let isOver = false;
    let hasEnded = false;
    /** Of more room, which the end of the body awaits too. */
    let growth: Promise<void> | undefined;
    const release = () => {
      isOver = true;
      first.drop();
      buffer = undefined;
      cancelLimit?.();
      reader.close();
    };
    const finish = (result: BodyResult) => {
      if (isOver) return;
      // The rest is not parsed: it is discarded once the refusal is written.
      if (result.kind !== 'whole') holdReads(req.socket, 'refused');
      release();
      resolve(result);
    };
    /** What still comes is dropped. */
    const fail = (err: unknown) => {
      release();
      reject(err as Error);
    };
    const guard = createGuard(fail);
    const reader = openReader(req, bounds, guard);
    const endLate = guard('body time', () => finish({kind: 'too late'}));
    const hasBody = announcedBytes > 0 || isChunked(req);
    const cancelLimit =
      hasBody && !req.complete
        ? bounds?.clock.after(bounds.leftMs(), endLate)
        : undefined;

    const moveTo = (larger: Buffer) => {
      const held = buffer ?? first.take();
      held.copy(larger, 0, 0, bytes);
      buffer = larger;
    };
    /** Whether room is to be reserved before more of the body is read. */
    const isFull = () => {
      if (growth !== undefined) return false;
      if (buffer === undefined) return bytes > FIRST_BYTES;
      const isNearEnd = bytes + FIRST_BYTES > buffer.length;
      return announcedBytes === 0 && isNearEnd && buffer.length < maxBytes();
    };
    /** Reserves more than has come, since the length is not known. */
    const enlarge = async (): Promise<void> => {
      const likelyBytes = Math.max(STEP_BYTES, bytes * GROWTH_FACTOR);
      const size = Math.min(maxBytes(), likelyBytes);
      const held = buffer?.length ?? bytes;
      reader.stop();
      const retryAfterMs = await account?.reserve(size - held, maxWaitMs);
      growth = undefined;
      if (isOver) return;
      if (retryAfterMs !== undefined) {
        finish({kind: 'no room', retryAfterMs});
        return;
      }
      // More of the last read may have come than it was reserved for.
      moveTo(Buffer.allocUnsafeSlow(Math.max(size, bytes)));
      reader.goOn();
    };
    const take = (chunk: Buffer) => {
      if (buffer !== undefined && bytes + chunk.length > buffer.length) {
        // The limit has risen since the buffer was made.
        moveTo(Buffer.allocUnsafeSlow(maxBytes()));
      }
      if (buffer === undefined) first.add(chunk);
      else chunk.copy(buffer, bytes);
      bytes += chunk.length;
      account?.read(bytes);
    };
    const onData = guard('body', (chunk: Buffer) => {
      if (isOver) return;
      if (bytes + chunk.length > maxBytes()) {
        finish({kind: 'too large'});
        return;
      }
      take(chunk);
      if (reader.took()) finish({kind: 'too many pieces'});
      else if (isFull()) {
        growth = enlarge();
        growth.catch(fail);
      }
    });
    const finishWhole = guard('body end', () => {
      if (!isOver) finish({kind: 'whole', body: wholeOf(buffer, first, bytes)});
    });
    const onEnd = () => {
      hasEnded = true;
      if (growth === undefined) finishWhole();
      else void growth.then(finishWhole, fail);
    };
    const onClose = () => {
      if (!hasEnded) fail(new Error('the caller broke off'));
    };
    req.on('data', onData);
    req.on('end', onEnd);
    req.on('error', fail);
    req.on('close', onClose);
  });
}

/** A body that fills less than half of its buffer is copied to free it. */
function wholeOf(
  buffer: Buffer | undefined,
  first: ReceivedBytes,
  bytes: number,
): Buffer {
  if (buffer === undefined) return first.take();
  const whole = buffer.subarray(0, bytes);
  return bytes * 2 < buffer.length ? Buffer.from(whole) : whole;
}
