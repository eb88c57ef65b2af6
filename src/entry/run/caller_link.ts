/**
 * Connects a request to its caller's HTTP connection. Whatever happens to
 * either of them, the caller gets at most one final answer and the run is not
 * left running without a caller.
 */
import type {ServerResponse} from 'node:http';
import {OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {Cancel, Runtime} from '../../types/runtime.js';
import type {RequestEvent, RequestListener} from '../../types/services.js';
import {FRONT_EVENTS} from '../../utils/events.js';
import type {ResponseWriter} from '../front/response_writers.js';
import {toOnyxError} from '../entry_errors.js';

/** How a request ended for its caller. */
export type CallerOutcome =
  'complete' | 'refused' | 'failed' | 'cancelled' | 'superseded';

export interface CallerLinkOptions {
  readonly id: RequestId;
  readonly res: ServerResponse;
  readonly writer: ResponseWriter;
  /** Sequence number of the first chunk wanted. */
  readonly fromSeq: number;
  /**
   * On this process's clock, in milliseconds; undefined when another entry
   * admitted the request.
   */
  readonly deadlineAt: number | undefined;
  readonly timing: CallerLinkTiming;
  /**
   * Maximum number of response bytes waiting to be sent. Beyond it, the
   * connection of the slow caller is closed.
   */
  readonly maxUnsentResponseBytes: number;
  /** Cancels the run. */
  readonly cancelRun: () => void;
  readonly onFirstChunk: () => void;
  /** Called once, with the error if there was one. */
  readonly onEnd: (outcome: CallerOutcome, error?: OnyxError) => void;
}

export interface CallerLinkTiming {
  /** Interval between keep-alive messages to the caller, in milliseconds. */
  readonly keepAliveIntervalMs: number;
  /**
   * How long a disconnected caller may take to come back before its run is
   * cancelled, in milliseconds.
   */
  readonly disconnectGraceMs: number;
  /**
   * How long after the deadline the link itself ends the request, in
   * milliseconds.
   */
  readonly deadlineGraceMs: number;
}

/** The connection between one request and one caller's connection. */
export interface CallerLink {
  readonly listener: RequestListener;
  /** Ends this link because another connection of the caller replaces it. */
  supersede(): void;
  /** Ends this link and cancels the run because the process or service ends. */
  drop(): void;
}

/** `left`: the caller disconnected, and the run waits for it to come back. */
type LinkState = 'open' | 'left' | 'ended';

/**
 * Creates the link. The caller of this function passes the link's listener to
 * the `requests` service.
 */
export function createCallerLink(
  runtime: Runtime,
  options: CallerLinkOptions,
): CallerLink {
  const {id, res, writer, timing} = options;
  const timers: Cancel[] = [];
  let state: LinkState = 'open';
  let nextSeq = options.fromSeq;
  let firstChunkReported = false;

  const settle = (outcome: CallerOutcome, error?: OnyxError) => {
    if (state === 'ended') return;
    state = 'ended';
    for (const cancel of timers) cancel();
    options.onEnd(outcome, error);
  };

  const fail = (error: OnyxError) => {
    if (state === 'ended') return;
    if (state === 'open') writer.fail(error);
    settle(error.ran === 'no' ? 'refused' : 'failed', error);
  };

  /**
   * Handles an error in the front end itself: it cannot continue, so the run is
   * cancelled.
   */
  const abort = (error: OnyxError) => {
    options.cancelRun();
    fail(error);
  };

  const onChunk = (event: Extract<RequestEvent, {kind: 'chunk'}>) => {
    // A lost or repeated chunk would give the caller a text with a gap or a
    // repetition that looks complete. The sequence numbers show both.
    if (event.seq !== nextSeq) throw sequenceError(id, event.seq, nextSeq);
    nextSeq += 1;
    // After the chunks were discarded, chunk 0 arrives a second time.
    if (event.seq === 0 && !firstChunkReported) options.onFirstChunk();
    firstChunkReported = true;
    writer.writeChunk(event);
    checkUnsentBytes();
  };

  const onRestart = () => {
    writer.discardChunks();
    nextSeq = 0;
  };

  const onEnd = (event: Extract<RequestEvent, {kind: 'end'}>) => {
    if (event.count !== nextSeq) throw sequenceError(id, event.count, nextSeq);
    writer.end(event);
    settle('complete');
  };

  /**
   * Closes the connection of a caller that does not read. Runs are not slowed
   * down for their callers, so unsent chunks would fill the memory.
   */
  const checkUnsentBytes = () => {
    if (res.writableLength <= options.maxUnsentResponseBytes) return;
    runtime.log(FRONT_EVENTS.callerSlow, {
      requestId: id,
      bufferedBytes: res.writableLength,
    });
    res.destroy();
  };

  const handleEvent = (event: RequestEvent) => {
    if (event.kind === 'placed') writer.setDispatch(event.dispatchId);
    else if (event.kind === 'chunk') onChunk(event);
    else if (event.kind === 'restarted') onRestart();
    else if (event.kind === 'end') onEnd(event);
    else fail(event.error);
  };

  const listener: RequestListener = event => {
    if (state === 'ended') return;
    if (state === 'left') {
      if (event.kind === 'end' || event.kind === 'failed') settle('cancelled');
      return;
    }
    try {
      handleEvent(event);
    } catch (err) {
      if (!(err instanceof OnyxError)) {
        const cause = err instanceof Error ? err.stack : String(err);
        runtime.log(FRONT_EVENTS.frontFailed, {requestId: id, cause});
      }
      abort(toOnyxError(err, 'answer'));
    }
  };

  const onCallerDisconnect = () => {
    if (state !== 'open') return;
    state = 'left';
    const graceMs = timing.disconnectGraceMs;
    runtime.log(FRONT_EVENTS.callerLeft, {requestId: id, graceMs});
    timers.push(
      runtime.clock.after(graceMs, () => {
        options.cancelRun();
        settle('cancelled');
      }),
    );
  };

  const watchDeadline = (deadlineAt: number) => {
    // If the service that owns the request fails or loses it, nothing else
    // would end the caller's wait. This timer keeps the promise that a request
    // ends in time.
    const dueMs = deadlineAt - runtime.clock.now() + timing.deadlineGraceMs;
    const cancel = runtime.clock.after(dueMs, () => {
      const overdueMs = runtime.clock.now() - deadlineAt;
      runtime.log(FRONT_EVENTS.overdue, {requestId: id, overdueMs});
      abort(deadlineExceeded(id));
    });
    timers.push(cancel);
  };

  res.on('close', onCallerDisconnect);
  timers.push(
    runtime.clock.every(timing.keepAliveIntervalMs, () => {
      if (state === 'open') writer.keepAlive();
    }),
  );
  if (options.deadlineAt !== undefined) watchDeadline(options.deadlineAt);

  return {
    listener,
    supersede: () => {
      if (state === 'ended') return;
      runtime.log(FRONT_EVENTS.superseded, {requestId: id});
      settle('superseded');
      res.destroy();
    },
    drop: () => {
      if (state === 'ended') return;
      options.cancelRun();
      settle('cancelled');
      res.destroy();
    },
  };
}

/** The error for a missing or repeated chunk. */
function sequenceError(
  id: RequestId,
  seq: number,
  expected: number,
): OnyxError {
  return new OnyxError({
    code: 'answer-incomplete',
    step: 'answer',
    requestId: id,
    message: `the answer goes on at chunk ${seq} where ${expected} was due`,
    ran: 'yes',
  });
}

function deadlineExceeded(id: RequestId): OnyxError {
  return new OnyxError({
    code: 'deadline-exceeded',
    step: 'answer',
    requestId: id,
    message: 'the request did not end within its time limit',
    ran: 'unknown',
  });
}
