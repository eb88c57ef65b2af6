/**
 * One try of a stream at one replica or group. Only whole events are handed on,
 * so that the stream can go on elsewhere after the last of them.
 */
import type {AnswerHead} from './dispatch.js';
import {createEventSplitter} from './event_splitter.js';
import type {StreamEvent} from './event_splitter.js';
import type {Exchange} from './exchange.js';
import type {RequestPlacement, PlacementLoss} from './request_placement.js';
import {buildDispatch, classifyHead, writeHead} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import {recordEvent, hasEvent} from './stream_progress.js';
import type {StreamProgress} from './stream_progress.js';
import {watchSilence} from './stream_silence.js';

/** A failure's body is small; a larger one is not kept. */
const FAILURE_BYTES = 1024 * 1024;

/** How one try ended. */
export type StreamOutcome =
  | {readonly kind: 'whole'; readonly head: AnswerHead}
  | {readonly kind: 'failure'; readonly head: AnswerHead; readonly body: Buffer}
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  | {readonly kind: 'not-sent'; readonly reason: string}
  | {readonly kind: 'broken'; readonly reason: string}
  /** Requests like it crash replicas: it was not sent. */
  | {readonly kind: 'quarantined'}
  | {readonly kind: 'ended'};

/** Sends the request and hands events on until the try ends. */
export function attemptStream(
  ctx: ServeContext,
  exchange: Exchange,
  place: RequestPlacement,
  progress: StreamProgress,
): Promise<StreamOutcome> {
  const {isTrial} = exchange;
  if (!ctx.crashes.maySend(exchange)) {
    return Promise.resolve({kind: 'quarantined'});
  }
  const {health, clock, metrics} = ctx;
  const {res, signal} = exchange;
  const {replica} = place;
  const startedAt = clock.now();
  const splitter = createEventSplitter();
  exchange.attempts++;

  return new Promise(resolve => {
    let head: AnswerHead | undefined;
    let failure: Buffer[] | undefined;
    let failureBytes = 0;
    let eventsHere = 0;

    const finish = (outcome: StreamOutcome) => {
      silence.stop();
      stopWatching();
      signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const breakOff = (reason: string) => {
      health.failed(replica.id);
      ctx.crashes.runBroken(exchange, replica);
      leave(reason);
    };
    const leave = (reason: string) => {
      exchange.mayHaveRun = true;
      dispatch.cancel();
      finish({kind: 'broken', reason});
    };
    const onLost = (loss: PlacementLoss) => {
      // An engine that begins without the group's memory refuses as not run,
      // and only such a refusal lets a stream go on that may run once.
      const isOnce = exchange.route.kind !== 'resumable-stream';
      if (loss !== 'a member restarted' && isOnce) return;
      ctx.crashes.runCancelled(exchange, replica);
      leave(loss);
    };
    const onAbort = () => {
      exchange.mayHaveRun = true;
      ctx.crashes.runCancelled(exchange, replica);
      dispatch.cancel();
      finish({kind: 'ended'});
    };
    const onHead = (came: AnswerHead) => {
      const verdict = classifyHead(ctx, exchange, came);
      head = came;
      if (verdict.kind === 'failure') failure = [];
      if (verdict.kind === 'foreign') breakOff(verdict.reason);
      if (verdict.kind !== 'not-run') return;
      dispatch.cancel();
      place.refused(verdict.faultAt);
      finish(verdict);
    };
    const writeEvent = ({bytes, id}: StreamEvent) => {
      if (hasEvent(progress, id)) return;
      if (!res.headersSent && head !== undefined) writeHead(ctx, res, head);
      recordEvent(metrics, exchange, progress, id, clock.now());
      if (res.write(bytes)) return;
      dispatch.pause();
      res.once('drain', () => dispatch.resume());
    };
    const keepFailure = (kept: Buffer[], chunk: Buffer) => {
      kept.push(chunk);
      failureBytes += chunk.length;
      if (failureBytes > FAILURE_BYTES) breakOff('a failure without end');
    };
    const onData = (chunk: Buffer) => {
      if (failure !== undefined) {
        keepFailure(failure, chunk);
        return;
      }
      for (const event of splitter.push(chunk)) {
        if (eventsHere++ === 0)
          place.firstEventReceived(clock.now() - startedAt);
        writeEvent(event);
      }
      silence.onEvent();
      place.noteActivity();
    };
    const onEnd = () => {
      if (head === undefined) return;
      if (failure !== undefined) {
        health.failed(replica.id);
        finish({kind: 'failure', head, body: Buffer.concat(failure)});
      } else if (splitter.pendingBytes() > 0) {
        breakOff('ended within an event');
      } else {
        ctx.crashes.runSucceeded(exchange);
        finish({kind: 'whole', head});
      }
    };
    const onBroken = (sent: boolean, reason: string) => {
      health.failed(replica.id);
      if (sent) {
        exchange.mayHaveRun = true;
        ctx.crashes.runBroken(exchange, replica);
      } else {
        exchange.attempts--;
        exchange.isTrial = isTrial;
      }
      finish({kind: sent ? 'broken' : 'not-sent', reason});
    };

    const silence = watchSilence(ctx, exchange, replica.id, () =>
      breakOff('silent'),
    );
    const lastEventId =
      progress.events > 0 ? String(progress.lastId) : undefined;
    const dispatch = ctx.dispatch(
      buildDispatch(ctx, exchange, replica, lastEventId, place.helpers),
      clock,
      {onHead, onData, onEnd, onBroken},
    );
    const stopWatching = place.watchLoss(onLost);
    signal.addEventListener('abort', onAbort);
    silence.awaitFirst(place.firstEventMs);
  });
}
