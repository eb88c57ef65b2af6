/**
 * Records what the entry holds for each request: the body, and the bytes of the
 * answer that the caller has not read. Disconnects callers that stop reading
 * and bounds the sum; `decide/bound_held.ts` decides which callers and when.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Cancel, Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {connectionOf} from '../callers/connection_name.js';
import {chooseCuts, heldBytesOf, mayReadBody} from '../decide/bound_held.js';
import type {CutCause, HeldBounds, HeldRequest} from '../decide/bound_held.js';
import type {DirectSettings} from '../settings.js';

/**
 * Interval at which held answers are measured, in milliseconds. The sum may
 * exceed its bound by what replicas send within it.
 */
const MEASURE_INTERVAL_MS = 100;
const BYTES_PER_MB = 1024 * 1024;

export type SlowReaderSettings = NonNullable<DirectSettings['slowReaders']>;

export interface HeldBytesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly settings: SlowReaderSettings;
  /** Memory of this process, in megabytes. */
  readonly memoryMb: number;
  /** Id of a request, for the log. */
  readonly idOf: (req: IncomingMessage) => string | undefined;
}

/** Records what is held for one request. */
export interface RequestAccount {
  /**
   * Returns undefined and reserves the announced bytes when the body may be
   * read, or else the time after which the caller should retry, in
   * milliseconds.
   */
  reserve(announcedBytes: number): number | undefined;
  /** Notes how many bytes of the body have been read so far. */
  read(bytes: number): void;
  /** Notes that the body has been read to its end. */
  complete(): void;
  /** Notes how many bytes of an answer are buffered before they are written. */
  buffered(bytes: number): void;
}

export interface HeldBytes {
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
  const {callerTimeoutMs, maxHeldShare} = settings;
  const bounds: HeldBounds = {
    callerTimeoutMs,
    maxBytes: memoryMb * BYTES_PER_MB * maxHeldShare,
  };
  const tracked = new Set<TrackedRequest>();
  /** As of the latest measurement. */
  let answerSum = 0;
  let bodySum = 0;
  let isRejecting = false;
  let rejectedCount = 0;

  const setBody = (request: TrackedRequest, bytes: number) => {
    if (!tracked.has(request)) return;
    bodySum += bytes - request.bodyBytes;
    request.bodyBytes = bytes;
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

  const measureAll = () => {
    const now = clock.now();
    for (const request of tracked) measure(request, now);
    const cuts = chooseCuts([...tracked], bounds);
    for (const {held, cause} of cuts) cut(held, cause);
    const cutRequests = new Set(cuts.map(({held}) => held));
    answerSum = 0;
    for (const request of tracked) {
      if (cutRequests.has(request)) continue;
      answerSum += request.answerBytes + request.bufferedBytes;
    }
    const setGauge = (direction: string, bytes: number) =>
      metrics.gauge('onyxloft_direct_held_bytes', {direction}, bytes);
    setGauge('answers', answerSum);
    setGauge('bodies', bodySum);
    endRejecting();
  };

  const reject = () => {
    metrics.count('onyxloft_direct_held_rejected_total', {});
    rejectedCount++;
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
    isRejecting = false;
    log(DIRECT_EVENTS.heldFree, {rejected: rejectedCount});
    rejectedCount = 0;
  };

  metrics.gauge('onyxloft_direct_held_limit_bytes', {}, bounds.maxBytes);
  return {
    track: (req, res) => {
      const request: TrackedRequest = {
        req,
        res,
        answerBytes: 0,
        bufferedBytes: 0,
        bodyBytes: 0,
        isReadingBody: false,
        isAnswerWhole: false,
        stalledMs: 0,
        movedAt: clock.now(),
        position: positionOf(res.socket),
      };
      tracked.add(request);
      res.once('close', () => {
        setBody(request, 0);
        tracked.delete(request);
      });
      return {
        reserve: announcedBytes => {
          if (!mayReadBody(announcedBytes, answerSum + bodySum, bounds)) {
            reject();
            // By then, callers that stopped reading a stream are disconnected.
            return callerTimeoutMs;
          }
          request.isReadingBody = true;
          setBody(request, announcedBytes);
          return undefined;
        },
        read: bytes => setBody(request, Math.max(bytes, request.bodyBytes)),
        complete: () => {
          request.isReadingBody = false;
        },
        buffered: bytes => {
          request.bufferedBytes = bytes;
        },
      };
    },
    stop: clock.every(MEASURE_INTERVAL_MS, measureAll),
  };
}
