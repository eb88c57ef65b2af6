/**
 * Sends a streaming request to one replica or group and forwards its events.
 * Only complete events are forwarded, so that another replica can resume the
 * stream after the last one.
 */
import {createEventReader} from './answers/event_reader.js';
import type {AnswerHead} from './dispatch.js';
import type {StreamEvent} from './event_splitter.js';
import type {Exchange} from './exchange.js';
import {
  CLOSED_REASON,
  TAKEN_BACK_REASONS,
  gateRequestOf,
} from './permitted_choice.js';
import type {RequestPlacement, PlacementLoss} from './request_placement.js';
import {buildDispatch, classifyHead, writeStreamHead} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import {recordEvent, hasEvent} from './stream_progress.js';
import type {StreamProgress} from './stream_progress.js';
import {watchSilence} from './stream_silence.js';

/**
 * Largest body of a failure, in bytes. Such bodies are small; beyond this bound
 * the attempt ends as broken.
 */
const MAX_FAILURE_BYTES = 1024 * 1024;

/** How one attempt ended. */
export type StreamOutcome =
  /** The stream is complete. */
  | {readonly kind: 'whole'; readonly head: AnswerHead}
  /** The replica answered with an error status. */
  | {readonly kind: 'failure'; readonly head: AnswerHead; readonly body: Buffer}
  /** The replica refused the request and did not run it. */
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  /** No connection was established, so the replica received nothing. */
  | {readonly kind: 'not-sent'; readonly reason: string}
  /**
   * Nothing was sent, because the failure domain of a member is evacuated. The
   * attempt does not count against the replica, which may be in another domain.
   */
  | {readonly kind: 'withdrawn'; readonly reason: string}
  /** The stream failed or stalled before its end; the request may have run. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** The request was not sent, because equal requests crashed replicas. */
  | {readonly kind: 'quarantined'}
  /** The request ended before the answer: its time is up or the caller left. */
  | {readonly kind: 'ended'};

/** Sends the request and forwards events until the attempt has ended. */
export function attemptStream(
  ctx: ServeContext,
  exchange: Exchange,
  placement: RequestPlacement,
  progress: StreamProgress,
): Promise<StreamOutcome> {
  const {isTrial} = exchange;
  const {replica} = placement;
  // The domain of a member may have been evacuated while memory was reserved.
  if (placement.memberIds.some(ctx.gate.isEvacuated)) {
    const reason = TAKEN_BACK_REASONS.evacuated;
    return Promise.resolve({kind: 'withdrawn', reason});
  }
  if (!ctx.gate.maySend(replica.id, gateRequestOf(exchange))) {
    return Promise.resolve({kind: 'not-sent', reason: CLOSED_REASON});
  }
  if (!ctx.crashes.maySend(exchange)) {
    return Promise.resolve({kind: 'quarantined'});
  }
  const {health, clock, metrics} = ctx;
  const {res, signal} = exchange;
  const startedAt = clock.now();
  const needsIds = exchange.route.kind === 'resumable-stream';
  const splitter = createEventReader({now: clock.now, needsIds});
  exchange.attempts++;

  return new Promise(resolve => {
    let head: AnswerHead | undefined;
    let failure: Buffer[] | undefined;
    let failureBytes = 0;
    let eventCount = 0;
    let isPaused = false;
    let isOver = false;

    const finish = (outcome: StreamOutcome) => {
      isOver = true;
      silence.stop();
      stopWatching();
      cancelGateWatches.forEach(cancel => cancel());
      res.off('drain', onDrain);
      signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const finishNotSent = (
      reason: string,
      kind: 'not-sent' | 'withdrawn' = 'not-sent',
    ) => {
      exchange.attempts--;
      exchange.isTrial = isTrial;
      finish({kind, reason});
    };
    const fail = (reason: string) => {
      health.failed(replica.id);
      ctx.crashes.runBroken(exchange, replica);
      endBroken(reason);
    };
    const endBroken = (reason: string) => {
      exchange.mayHaveRun = true;
      dispatch.cancel();
      finish({kind: 'broken', reason});
    };
    const onLost = (loss: PlacementLoss) => {
      // A lead that starts after the group's memory was released refuses the
      // request as not run. A stream that may run only once waits for that
      // refusal, because only after it another replica may be tried.
      const mayRunOnlyOnce = exchange.route.kind !== 'resumable-stream';
      if (loss !== 'a member restarted' && mayRunOnlyOnce) return;
      ctx.crashes.runCancelled(exchange, replica);
      endBroken(loss);
    };
    const onAbort = () => {
      exchange.mayHaveRun = true;
      ctx.crashes.runCancelled(exchange, replica);
      dispatch.cancel();
      finish({kind: 'ended'});
    };
    const onHead = (received: AnswerHead) => {
      const sentTo = {replicaId: replica.id, sentAt: startedAt};
      const verdict = classifyHead(ctx, exchange, sentTo, received);
      head = received;
      if (verdict.kind === 'failure') failure = [];
      if (verdict.kind === 'foreign') fail(verdict.reason);
      if (verdict.kind !== 'not-run') return;
      dispatch.cancel();
      placement.refused(verdict.faultAt);
      finish(verdict);
    };
    const forwardEvent = ({bytes, id}: StreamEvent) => {
      if (hasEvent(progress, id)) return;
      if (!res.headersSent && head !== undefined) {
        writeStreamHead(ctx, exchange, head);
      }
      recordEvent(metrics, exchange, progress, id, clock.now());
      if (!res.write(bytes)) pauseForCaller();
    };
    const pauseForCaller = () => {
      if (isPaused) return;
      isPaused = true;
      dispatch.pause();
      res.once('drain', onDrain);
    };
    const onDrain = () => {
      isPaused = false;
      dispatch.resume();
      silence.onEvent();
    };
    const keepFailure = (kept: Buffer[], chunk: Buffer) => {
      kept.push(chunk);
      failureBytes += chunk.length;
      exchange.account?.buffered(failureBytes);
      if (failureBytes > MAX_FAILURE_BYTES) fail('a failure without end');
    };
    const onData = (chunk: Buffer) => {
      if (failure !== undefined) {
        keepFailure(failure, chunk);
        return;
      }
      for (const event of splitter.push(chunk)) {
        if (eventCount++ === 0) placement.onFirstEvent(clock.now() - startedAt);
        forwardEvent(event);
      }
      if (splitter.isEndless()) return fail('bytes without an event');
      // While the caller does not read, a silent replica is not at fault.
      if (isPaused) silence.stop();
      else silence.onEvent();
      placement.noteActivity();
    };
    const onEnd = (endsWithConnection: boolean) => {
      if (!endsWithConnection) return complete();
      silence.stop();
      void ctx.crashes.hasSurvived(replica).then(hasSurvived => {
        if (isOver) return;
        if (hasSurvived) complete();
        else onBroken(true, 'the replica ended');
      });
    };
    const complete = () => {
      if (head === undefined) return;
      if (failure !== undefined) {
        health.failed(replica.id);
        finish({kind: 'failure', head, body: Buffer.concat(failure)});
      } else if (splitter.pendingBytes() > 0) {
        fail('ended within an event');
      } else {
        ctx.crashes.runSucceeded(exchange);
        // A resumed stream may have had no event left to write.
        if (eventCount > 0) ctx.crashes.answerWritten(exchange, replica);
        finish({kind: 'whole', head});
      }
    };
    const onBroken = (sent: boolean, reason: string) => {
      health.failed(replica.id);
      if (!sent) {
        finishNotSent(reason);
        return;
      }
      exchange.mayHaveRun = true;
      ctx.crashes.runBroken(exchange, replica);
      finish({kind: 'broken', reason});
    };

    const silence = watchSilence(ctx, exchange, replica.id, () =>
      fail('silent'),
    );
    const lastEventId =
      progress.events > 0 ? progress.lastId?.toString() : undefined;
    const dispatch = ctx.dispatch(
      buildDispatch(ctx, exchange, replica, lastEventId, placement.helpers),
      clock,
      {onHead, onData, onEnd, onBroken},
    );
    ctx.gate.sent(replica.id);
    const cancelGateWatches = placement.memberIds.map(id =>
      ctx.gate.watchClosing(id, cause => {
        // A helper's pause does not apply to a part for which it has reserved
        // memory.
        if (cause === 'paused' && id !== replica.id) return;
        if (!dispatch.takeBack()) return;
        const kind = cause === 'evacuated' ? 'withdrawn' : 'not-sent';
        finishNotSent(TAKEN_BACK_REASONS[cause], kind);
      }),
    );
    const stopWatching = placement.watchLoss(onLost);
    signal.addEventListener('abort', onAbort);
    silence.awaitFirst(placement.firstEventMs);
  });
}
