/**
 * Records what the entry holds for each request: the body, and the bytes of the
 * answer that the caller has not read. Disconnects callers that stop reading
 * and bounds the sum; `decide/bound_held.ts` decides which callers and when.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Cancel, Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {runAll, runTwice} from '../../utils/run_each.js';
import {createConnectionGuards} from '../boundary/connection_guard.js';
import {connectionOf} from '../callers/connection_name.js';
import {chooseCuts, heldBytesOf, mayReadBody} from '../decide/bound_held.js';
import type {CutCause, HeldBounds, HeldRequest} from '../decide/bound_held.js';
import {memoryShares} from '../decide/memory_share.js';
import type {DirectSettings} from '../settings.js';
import {createMemoryReports} from './memory_reports.js';
import {createMemoryRoom, isSmall} from './memory_room.js';
import type {ProcessMemory} from './process_memory.js';

/**
 * Interval at which held answers are measured, in milliseconds. The sum may
 * exceed its bound by what replicas send within it.
 */
const MEASURE_INTERVAL_MS = 200;
/** The interval where callers that read nothing are disconnected. */
const TIMEOUT_INTERVAL_MS = 100;
/** Time after which a rejected caller should retry, in milliseconds. */
const RETRY_MS = 1_000;
/** Time for which `isShort` holds after the last rejection, in milliseconds. */
const SHORT_FOR_MS = 1_000;
const BYTES_PER_MB = 1024 * 1024;

export type SlowReaderSettings = NonNullable<DirectSettings['slowReaders']>;

export interface HeldBytesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Undefined where callers may stop reading while there is room. */
  readonly settings: SlowReaderSettings | undefined;
  readonly memory: ProcessMemory;
  /** Memory of this process, in megabytes. */
  readonly memoryMb: number;
  /** Id of a request, for the log. */
  readonly idOf: (req: IncomingMessage) => string | undefined;
}

/** Records what is held for one request. */
export interface RequestAccount {
  /**
   * Returns undefined and reserves further bytes when the body may be read, or
   * else the time after which the caller should retry, in milliseconds. Waits
   * for room for at most `maxWaitMs`.
   */
  reserve(
    bytes: number,
    maxWaitMs: () => number,
  ): number | undefined | Promise<number | undefined>;
  /** Notes how many bytes of the body have been read so far. */
  read(bytes: number): void;
  /** Notes that the body has been read to its end. */
  complete(): void;
  /** Notes how many bytes of an answer are buffered before they are written. */
  buffered(bytes: number): void;
  /** Whether there is room to buffer more of an answer. */
  mayBuffer(): boolean;
}

export interface HeldBytes {
  /** Whether there is room for another connection. */
  admitsConnection(): boolean;
  /** Records a request until its response has closed. */
  track(req: IncomingMessage, res: ServerResponse): RequestAccount;
  /** Stops the measurements. */
  stop: Cancel;
}

interface TrackedRequest extends HeldRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  answerBytes: number;
  bufferedBytes: number;
  bodyBytes: number;
  /** Bytes of the body that were reserved before they came. */
  reservedBytes: number;
  /** Bytes that are kept free for the answer. */
  keptBytes: number;
  /** What the request takes while it is a small one. */
  smallBytes: number;
  /** Bytes of the body that have come. */
  readBytes: number;
  isReadingBody: boolean;
  isAnswerWhole: boolean;
  stalledMs: number;
  /** When the connection last took bytes, or held none. */
  movedAt: number;
  position: WritePosition;
}

/** How much of what was written to a connection it has taken. */
interface WritePosition {
  /** Bytes of complete writes. */
  readonly written: number;
  /** Bytes of the write in progress that the kernel has not taken. */
  readonly queued: number;
}

/**
 * `writableLength` counts a write in full until its end, and a buffered answer
 * is a single write. The queue of the handle, which `net` itself reads for its
 * timeouts, shows that a caller reads a part of it.
 */
type SocketWithHandle = Socket & {
  readonly _handle?: {readonly writeQueueSize?: number} | null;
};

function positionOf(socket: SocketWithHandle | null): WritePosition {
  return {
    written: (socket?.bytesWritten ?? 0) - (socket?.writableLength ?? 0),
    queued: socket?._handle?.writeQueueSize ?? 0,
  };
}

export function createHeldBytes(options: HeldBytesOptions): HeldBytes {
  const {clock, log, metrics, settings, memoryMb} = options;
  const shares = memoryShares(memoryMb * BYTES_PER_MB);
  const bounds = boundsOf(options);
  const retryMs = settings?.callerTimeoutMs ?? RETRY_MS;
  const tracked = new Set<TrackedRequest>();
  /** As of the latest measurement. */
  let answerSum = 0;
  let bodySum = 0;
  let smallSum = 0;
  let isRejecting = false;
  let rejectedCount = 0;
  let rejectedAt = -Infinity;

  const guards = createConnectionGuards(options);
  const report = createMemoryReports({
    log,
    metrics,
    shares,
    now: clock.now,
  });
  const room = createMemoryRoom({
    clock,
    memory: options.memory,
    shares,
    usedBytes: () => bodySum + answerSum,
    smallBytes: () => smallSum,
    onReading: reading =>
      report(reading, {bodyBytes: bodySum, answerBytes: answerSum}),
  });

  const setBody = (request: TrackedRequest, bytes: number) => {
    if (!tracked.has(request)) return;
    bodySum += bytes - request.bodyBytes;
    request.bodyBytes = bytes;
  };

  const setSmall = (request: TrackedRequest, bytes: number) => {
    smallSum += bytes - request.smallBytes;
    request.smallBytes = bytes;
  };

  const measure = (request: TrackedRequest, now: number) => {
    const {res} = request;
    const position = positionOf(res.socket);
    request.answerBytes = res.writableLength;
    // What was buffered has been written, or was dropped for another answer.
    if (res.headersSent) request.bufferedBytes = 0;
    request.isAnswerWhole = res.writableEnded;
    const hasMoved =
      position.written !== request.position.written ||
      position.queued !== request.position.queued;
    // A response without a socket waits for an earlier one on its connection.
    if (hasMoved || request.answerBytes === 0 || res.socket === null) {
      request.movedAt = now;
    }
    request.position = position;
    request.stalledMs = now - request.movedAt;
  };

  const cut = (request: TrackedRequest, cause: CutCause) => {
    const {req, answerBytes, bodyBytes, stalledMs} = request;
    log(DIRECT_EVENTS.callerCut, {
      requestId: options.idOf(req),
      connection: connectionOf(req.socket),
      cause,
      answerBytes,
      bodyBytes,
      stalledMs: Math.round(stalledMs),
    });
    metrics.count('onyxloft_direct_callers_cut_total', {cause});
    // A reset also discards what the kernel holds. After a normal close, an
    // answer that ends with its connection would look complete.
    req.socket.resetAndDestroy();
  };

  const cutSlow = (now: number): void => {
    const isShort = room.isAwaited() || now - rejectedAt < SHORT_FOR_MS;
    const cuts = chooseCuts([...tracked], {...bounds, isShort});
    for (const {held, cause} of cuts) {
      guards.of(held.req.socket)('slow reader', cut)(held, cause);
    }
  };
  const sumAnswers = (): void => {
    let sum = 0;
    for (const {req, answerBytes, bufferedBytes} of tracked) {
      if (!req.socket.destroyed) sum += answerBytes + bufferedBytes;
    }
    answerSum = sum;
  };
  const measureAll = () => {
    const now = clock.now();
    for (const request of tracked) {
      const guard = guards.of(request.req.socket);
      guard('held bytes', measure)(request, now);
    }
    const setGauge = (direction: string, bytes: number) =>
      metrics.gauge('onyxloft_direct_held_bytes', {direction}, bytes);
    // One that fails leaves the figures of the others as they are now.
    runAll([
      room.measure,
      () => cutSlow(now),
      sumAnswers,
      () => setGauge('answers', answerSum),
      () => setGauge('bodies', bodySum),
      endRejecting,
    ]);
  };

  const reject = () => {
    metrics.count('onyxloft_direct_held_rejected_total', {});
    rejectedCount++;
    rejectedAt = clock.now();
    if (isRejecting) return;
    isRejecting = true;
    log(DIRECT_EVENTS.heldFull, {
      answerBytes: answerSum,
      bodyBytes: bodySum,
      maxBytes: bounds.maxBytes,
      heldMost: Math.max(0, ...[...tracked].map(heldBytesOf)),
    });
  };
  const endRejecting = () => {
    if (!isRejecting || answerSum + bodySum > bounds.maxBytes / 2) return;
    if (clock.now() - rejectedAt < SHORT_FOR_MS) return;
    isRejecting = false;
    log(DIRECT_EVENTS.heldFree, {rejected: rejectedCount});
    rejectedCount = 0;
  };

  const begin = (
    request: TrackedRequest,
    bytes: number,
    keptBytes: number,
  ): void => {
    request.isReadingBody = true;
    request.keptBytes += keptBytes;
    // What came unannounced before was counted as it came.
    request.reservedBytes =
      Math.max(request.reservedBytes, request.readBytes) + bytes;
    setBody(request, Math.max(request.reservedBytes, request.readBytes));
    const takenBytes = request.keptBytes + request.reservedBytes;
    setSmall(request, isSmall(takenBytes) ? takenBytes : 0);
  };
  const reserve = (
    request: TrackedRequest,
    bytes: number,
    maxWaitMs: () => number,
  ): number | undefined | Promise<number | undefined> => {
    const keptBytes = request.keptBytes === 0 ? shares.request : 0;
    const isAdmitted =
      mayReadBody(bytes, answerSum + bodySum, bounds) &&
      room.take(bytes + keptBytes, maxWaitMs, run =>
        request.res.once('close', run),
      );
    const proceed = (admitted: boolean): number | undefined => {
      if (!admitted) {
        if (tracked.has(request)) reject();
        return retryMs;
      }
      if (tracked.has(request)) begin(request, bytes, keptBytes);
      else room.dropped(bytes + keptBytes);
      return undefined;
    };
    return typeof isAdmitted === 'boolean'
      ? proceed(isAdmitted)
      : isAdmitted.then(proceed);
  };
  const read = (request: TrackedRequest, bytes: number): void => {
    if (!tracked.has(request)) return;
    const filled = Math.min(bytes, request.reservedBytes) - request.readBytes;
    if (filled > 0) room.filled(filled);
    else room.grew(bytes - request.readBytes);
    request.readBytes = bytes;
    setBody(request, Math.max(bytes, request.reservedBytes));
  };
  const endBody = (request: TrackedRequest): void => {
    request.isReadingBody = false;
    const missing = request.reservedBytes - request.readBytes;
    if (missing > 0) {
      room.dropped(missing);
      request.reservedBytes = request.readBytes;
    }
    setBody(request, request.readBytes);
  };

  metrics.gauge('onyxloft_direct_held_limit_bytes', {}, bounds.maxBytes);
  const intervalMs =
    settings === undefined ? MEASURE_INTERVAL_MS : TIMEOUT_INTERVAL_MS;
  const cancelMeasuring = clock.every(intervalMs, measureAll);
  return {
    admitsConnection: () => {
      const isAdmitted = room.admitsConnection();
      if (!isAdmitted) reject();
      return isAdmitted;
    },
    track: (req, res) => {
      const request: TrackedRequest = {
        req,
        res,
        answerBytes: 0,
        bufferedBytes: 0,
        bodyBytes: 0,
        reservedBytes: 0,
        keptBytes: 0,
        smallBytes: 0,
        readBytes: 0,
        isReadingBody: false,
        isAnswerWhole: false,
        stalledMs: 0,
        movedAt: clock.now(),
        position: positionOf(res.socket),
      };
      tracked.add(request);
      // What stays counted here would be missing as room for good.
      const release = guards.of(req.socket)('answer closed', () =>
        runAll([
          () => runTwice(() => endBody(request)),
          () => room.dropped(request.keptBytes),
          () => runTwice(() => setBody(request, 0)),
          () => setSmall(request, 0),
          () => runTwice(() => tracked.delete(request)),
        ]),
      );
      res.once('close', release);
      return {
        reserve: (bytes, maxWaitMs) => reserve(request, bytes, maxWaitMs),
        read: bytes => read(request, bytes),
        complete: () => endBody(request),
        buffered: bytes => {
          room.grew(Math.max(0, bytes - request.bufferedBytes));
          request.bufferedBytes = bytes;
        },
        mayBuffer: room.hasRoom,
      };
    },
    stop: () => {
      cancelMeasuring();
      room.stop();
    },
  };
}

/** The share that is set, or else what the program itself leaves. */
function boundsOf({settings, memory, memoryMb}: HeldBytesOptions): HeldBounds {
  const limit = memoryMb * BYTES_PER_MB;
  if (settings !== undefined) {
    const {callerTimeoutMs, maxHeldShare} = settings;
    return {callerTimeoutMs, maxBytes: limit * maxHeldShare};
  }
  const ownBytes = Math.min(memory.read()?.resident ?? 0, limit / 2);
  const maxBytes = memoryShares(limit).small - ownBytes;
  return {callerTimeoutMs: Infinity, maxBytes};
}
