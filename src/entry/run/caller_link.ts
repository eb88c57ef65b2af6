/**
 * Joins a request to its caller's connection. Whatever happens to either, the
 * caller gets one final answer at most and the run is not left behind.
 */
import type {ServerResponse} from 'node:http';
import {OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {Cancel, Runtime} from '../../types/runtime.js';
import type {RequestEvent, RequestListener} from '../../types/services.js';
import {FRONT_EVENTS} from '../../utils/events.js';
import type {ResponseWriter} from '../front/response_writers.js';
import {asOnyxError} from '../entry_errors.js';

/** How a request ended for its caller. */
export type Outcome =
  'complete' | 'refused' | 'failed' | 'cancelled' | 'superseded';

export interface LinkOptions {
  readonly id: RequestId;
  readonly res: ServerResponse;
  readonly writer: ResponseWriter;
  /** First chunk wanted. */
  readonly fromSeq: number;
  /** On this process's clock; undefined when another entry admitted it. */
  readonly deadlineAt: number | undefined;
  readonly timing: LinkTiming;
  /** Most of an answer that may wait for a slow caller, in bytes. */
  readonly maxAnswerBytes: number;
  /** Ends the run. */
  readonly cancelRun: () => void;
  readonly onFirstChunk: () => void;
  /** Called once, with the error if there was one. */
  readonly onEnd: (outcome: Outcome, error?: OnyxError) => void;
}

export interface LinkTiming {
  /** Period of beats on a quiet stream. */
  readonly keepAliveIntervalMs: number;
  /** How long a caller that left may come back before its run is cancelled. */
  readonly disconnectGraceMs: number;
  /** How long after the deadline the front answers in the request's stead. */
  readonly deadlineGraceMs: number;
}

export interface Link {
  readonly listener: RequestListener;
  /** Another connection of the caller takes over. */
  supersede(): void;
  /** The process or service ends. */
  drop(): void;
}

/** `left`: the caller is gone, and the run waits for it to come back. */
type LinkState = 'open' | 'left' | 'ended';

/** Joins them; the listener is to be handed to `requests`. */
export function createLink(runtime: Runtime, options: LinkOptions): Link {
  const {id, res, writer: answer, timing} = options;
  const timers: Cancel[] = [];
  let state: LinkState = 'open';
  let nextSeq = options.fromSeq;
  let begun = false;

  const settle = (outcome: Outcome, error?: OnyxError) => {
    if (state === 'ended') return;
    state = 'ended';
    for (const cancel of timers) cancel();
    options.onEnd(outcome, error);
  };

  const fail = (error: OnyxError) => {
    if (state === 'ended') return;
    if (state === 'open') answer.fail(error);
    settle(error.ran === 'no' ? 'refused' : 'failed', error);
  };

  /** The front itself cannot go on: the run is of no use to anybody. */
  const abort = (error: OnyxError) => {
    options.cancelRun();
    fail(error);
  };

  const onChunk = (event: Extract<RequestEvent, {kind: 'chunk'}>) => {
    // A lost or doubled chunk would reach the caller as a text with a hole or
    // a repetition that looks whole. Chunks are numbered, so both show here.
    if (event.seq !== nextSeq) throw outOfOrder(id, event.seq, nextSeq);
    nextSeq += 1;
    // After a restart chunk 0 comes once more.
    if (event.seq === 0 && !begun) options.onFirstChunk();
    begun = true;
    answer.writeChunk(event);
    checkBuffered();
  };

  const onRestart = () => {
    answer.discardChunks();
    nextSeq = 0;
  };

  const onEnd = (event: Extract<RequestEvent, {kind: 'end'}>) => {
    if (event.count !== nextSeq) throw outOfOrder(id, event.count, nextSeq);
    answer.end(event);
    settle('complete');
  };

  /** Nothing slows a run down, so a caller that does not read fills memory. */
  const checkBuffered = () => {
    if (res.writableLength <= options.maxAnswerBytes) return;
    runtime.log(FRONT_EVENTS.callerSlow, {
      requestId: id,
      bufferedBytes: res.writableLength,
    });
    res.destroy();
  };

  const apply = (event: RequestEvent) => {
    if (event.kind === 'placed') answer.setDispatch(event.dispatchId);
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
      apply(event);
    } catch (err) {
      if (!(err instanceof OnyxError)) {
        const cause = err instanceof Error ? err.stack : String(err);
        runtime.log(FRONT_EVENTS.frontFailed, {requestId: id, cause});
      }
      abort(asOnyxError(err, 'answer'));
    }
  };

  const leave = () => {
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

  const guardDeadline = (deadlineAt: number) => {
    // If the service that owns the request fails or loses it, nobody else
    // would end the caller's wait: the promise of an end in time is kept here.
    const dueMs = deadlineAt - runtime.clock.now() + timing.deadlineGraceMs;
    const cancel = runtime.clock.after(dueMs, () => {
      const overdueMs = runtime.clock.now() - deadlineAt;
      runtime.log(FRONT_EVENTS.overdue, {requestId: id, overdueMs});
      abort(overdue(id));
    });
    timers.push(cancel);
  };

  res.on('close', leave);
  timers.push(
    runtime.clock.every(timing.keepAliveIntervalMs, () => {
      if (state === 'open') answer.keepAlive();
    }),
  );
  if (options.deadlineAt !== undefined) guardDeadline(options.deadlineAt);

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

function outOfOrder(id: RequestId, seq: number, wanted: number): OnyxError {
  return new OnyxError({
    code: 'answer-incomplete',
    step: 'answer',
    requestId: id,
    message: `the answer goes on at chunk ${seq} where ${wanted} was due`,
    ran: 'yes',
  });
}

function overdue(id: RequestId): OnyxError {
  return new OnyxError({
    code: 'deadline-exceeded',
    step: 'answer',
    requestId: id,
    message: 'the request did not end within its time limit',
    ran: 'unknown',
  });
}
