/**
 * Sends a streaming request to one replica or group and forwards its events.
 * Only complete events are forwarded, so that another replica can resume the
 * stream after the last one. A silent replica is reported, and its run goes on.
 */
import {DIRECT_EVENTS} from '../../utils/events.js';
import {MAX_FAILURE_PIECES} from '../answers/answer_size.js';
import {createEventReader} from '../answers/event_reader.js';
import {ERROR_REASON} from '../boundary/error_report.js';
import {createAttemptGuard} from '../boundary/request_errors.js';
import {beforeSending} from '../callers/unsent_error.js';
import type {AnswerHead} from '../dispatch.js';
import type {StreamEvent} from './event_splitter.js';
import type {Exchange} from '../exchange.js';
import {
  CLOSED_REASON,
  TAKEN_BACK_REASONS,
  gateRequestOf,
} from '../permitted_choice.js';
import type {RequestPlacement, PlacementLoss} from '../request_placement.js';
import {
  buildDispatch,
  classifyHead,
  noteIfTooLate,
  writeStreamHead,
} from '../serve_context.js';
import type {ServeContext} from '../serve_context.js';
import {recordEvent, hasEvent} from './stream_progress.js';
import type {StreamProgress} from './stream_progress.js';
import {mayRetry, watchSilence} from './stream_silence.js';
import {createReceivedBytes} from '../../utils/received_bytes.js';
import type {ReceivedBytes} from '../../utils/received_bytes.js';
import {runEach} from '../../utils/run_each.js';

/**
 * Largest body of a failure, in bytes. Such bodies are small; beyond this bound
 * the attempt ends as broken.
 */
const MAX_FAILURE_BYTES = 1024 * 1024;

/** No content (204, 205) and partial content (206), for which nobody asked. */
const NOT_CONTINUING: ReadonlySet<number> = new Set([204, 205, 206]);

/** How one attempt ended. */
export type StreamOutcome =
  /** The stream is complete. */
  | {readonly kind: 'whole'; readonly head: AnswerHead}
  /** The replica answered with an error status. */
  | {readonly kind: 'failure'; readonly head: AnswerHead; readonly body: Buffer}
  /** The replica refused the request and did not run it. */
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  /** The replica failed with a status that the caller must not get. */
  | {readonly kind: 'withheld'; readonly reason: string}
  /** No connection was established, so the replica received nothing. */
  | {readonly kind: 'not-sent'; readonly reason: string}
  /**
   * Nothing was sent, because the failure domain of a member is evacuated. The
   * attempt does not count against the replica, which may be in another domain.
   */
  | {readonly kind: 'withdrawn'; readonly reason: string}
  /** The stream failed before its end; the request may have run. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** The request was not sent, because equal requests crashed replicas. */
  | {readonly kind: 'quarantined'}
  /** The request ended before the answer: its time is up or the caller left. */
  | {readonly kind: 'ended'};

/** Whether the attempt sent nothing to its replica. */
export function isUnsent({kind}: StreamOutcome): boolean {
  return kind === 'not-sent' || kind === 'withdrawn' || kind === 'quarantined';
}

/** Reports of one attempt. */
export interface AttemptObserver {
  /**
   * No event has come for `silentMs`, and another replica may be tried. Called
   * again while the silence lasts.
   */
  onSilent(silentMs: number): void;
  /** The next event is one that the caller does not have yet. */
  onAhead(): void;
  /** The attempt has ended. Called once, unless it was cancelled before. */
  onEnded(outcome: StreamOutcome): void;
}

export interface StreamAttempt {
  /** Ends the run at the replica; the observer is not called any more. */
  cancel(): void;
}

const NOT_STARTED: StreamAttempt = {cancel: () => undefined};

/** Sends the request and forwards events until the attempt has ended. */
export function startStreamAttempt(
  ctx: ServeContext,
  exchange: Exchange,
  placement: RequestPlacement,
  progress: StreamProgress,
  observer: AttemptObserver,
): StreamAttempt {
  const {isTrial} = exchange;
  const refusal = refusalOf(ctx, exchange, placement);
  if (refusal !== undefined) {
    observer.onEnded(refusal);
    return NOT_STARTED;
  }
  exchange.attempts++;
  // Where nothing was sent, the attempt and the trial have not been used.
  const takeBack = () => {
    exchange.attempts--;
    exchange.isTrial = isTrial;
  };
  const options = {placement, progress, observer, isTrial, takeBack};
  return sendStream(ctx, exchange, options);
}

/** Why the request is not sent to the placement's replica. */
function refusalOf(
  ctx: ServeContext,
  exchange: Exchange,
  {replica, memberIds}: RequestPlacement,
): StreamOutcome | undefined {
  // The domain of a member may have been evacuated while memory was reserved.
  if (memberIds.some(ctx.gate.isEvacuated)) {
    return {kind: 'withdrawn', reason: TAKEN_BACK_REASONS.evacuated};
  }
  if (!ctx.gate.maySend(replica.id, gateRequestOf(exchange))) {
    return {kind: 'not-sent', reason: CLOSED_REASON};
  }
  return ctx.crashes.maySend(exchange) ? undefined : {kind: 'quarantined'};
}

interface SendOptions {
  readonly placement: RequestPlacement;
  readonly progress: StreamProgress;
  readonly observer: AttemptObserver;
  /** Whether this attempt is a trial of a refused subject. */
  readonly isTrial: boolean;
  /** Called where nothing of the request was sent. */
  readonly takeBack: () => void;
}

function sendStream(
  ctx: ServeContext,
  exchange: Exchange,
  {placement, progress, observer, isTrial, takeBack}: SendOptions,
): StreamAttempt {
  const {replica} = placement;
  const {health, clock, metrics} = ctx;
  const {res, signal} = exchange;
  const startedAt = clock.now();
  const needsIds = exchange.route.kind === 'resumable-stream';
  const reader = createEventReader({now: clock.now, needsIds});
  let head: AnswerHead | undefined;
  let failure: ReceivedBytes | undefined;
  let failurePieces = 0;
  let eventCount = 0;
  let isPaused = false;
  let isOver = false;
  let hasBeenSilent = false;
  const heldBack = createReceivedBytes();
  /** Events of one read, which are written together. */
  const unwritten = createReceivedBytes();
  let lastEventAt = startedAt;

  const guard = createAttemptGuard(ctx, exchange, {
    replicaId: replica.id,
    status: () => head?.status,
    cancelRun: () => {
      ctx.crashes.runCancelled(exchange, replica);
      dispatch.cancel();
    },
    settle: () => {
      const outcome: StreamOutcome = signal.aborted
        ? {kind: 'ended'}
        : {kind: 'broken', reason: ERROR_REASON};
      runEach([() => !isOver && stop(), () => observer.onEnded(outcome)]);
    },
  });
  const stop = () => {
    isOver = true;
    silence.stop();
    stopWatching();
    cancelGateWatches.forEach(cancelWatch => cancelWatch());
    res.off('drain', onDrain);
    signal.removeEventListener('abort', onAbort);
  };
  const finish = (outcome: StreamOutcome) => {
    stop();
    observer.onEnded(outcome);
  };
  const finishNotSent = (
    reason: string,
    kind: 'not-sent' | 'withdrawn' = 'not-sent',
  ) => {
    takeBack();
    finish({kind, reason});
  };
  const cancelRun = () => {
    // While its connection is being opened, nothing was sent.
    if (dispatch.takeBack()) return;
    noteIfTooLate(ctx, exchange, replica.id, dispatch);
    exchange.mayHaveRun = true;
    ctx.crashes.runCancelled(exchange, replica);
    dispatch.cancel();
  };
  const cancel = () => {
    if (isOver) return;
    stop();
    cancelRun();
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
  const onSilent = (silentMs: number) => {
    if (!hasBeenSilent) noteSilence(silentMs);
    observer.onSilent(silentMs);
  };
  const noteSilence = (silentMs: number) => {
    hasBeenSilent = true;
    exchange.mayHaveRun = true;
    health.failed(replica.id);
    ctx.crashes.runBroken(exchange, replica);
    ctx.log(DIRECT_EVENTS.runSilent, {
      requestId: exchange.id,
      replica: replica.id,
      silentMs: Math.round(silentMs),
      events: progress.events,
      sent: exchange.attempts,
      retriesLeft: Math.floor(ctx.budget.left()),
      elapsedMs: Math.round(exchange.elapsedMs()),
    });
  };
  const onLost = guard('replica lost', (loss: PlacementLoss) => {
    if (isOver) return;
    const {kind} = exchange.route;
    const isCertain =
      loss === 'a member restarted' ||
      (loss === 'the lead has restarted' && kind === 'resumable-stream');
    if (isCertain) {
      ctx.crashes.runCancelled(exchange, replica);
      endBroken(loss);
      return;
    }
    // Other losses are inferred, and the run may go on. A lead that starts after
    // the group's memory was released refuses the request as not run; only after
    // it may one that runs once be sent to another replica.
    if (mayRetry(exchange)) onSilent(clock.now() - lastEventAt);
  });
  const onAbort = guard('request ended', () => {
    cancelRun();
    finish({kind: 'ended'});
  });
  const onHead = (received: AnswerHead) => {
    const sentTo = {replicaId: replica.id, sentAt: startedAt};
    const verdict = classifyHead(ctx, exchange, sentTo, received);
    head = received;
    if (verdict.kind === 'failure') failure = createReceivedBytes();
    if (verdict.kind === 'foreign') fail(verdict.reason);
    if (verdict.kind === 'success' && !mayContinue(received)) {
      fail('a success that continues no stream');
    }
    if (verdict.kind === 'withheld') {
      health.failed(replica.id);
      dispatch.cancel();
      finish(verdict);
    }
    if (verdict.kind !== 'not-run') return;
    exchange.isTrial = isTrial;
    dispatch.cancel();
    placement.refused(verdict.faultAt);
    finish(verdict);
  };
  // The caller's answer has the head of another run, of a whole stream. What is
  // said to be a part, or to have no content, is not the rest of it.
  const mayContinue = ({status}: AnswerHead) =>
    !res.headersSent || !NOT_CONTINUING.has(status);
  // Another run could not tell which of the events without ids the caller has,
  // so they are written only together with the next one that has an id.
  const forwardEvent = ({bytes, id}: StreamEvent) => {
    if (needsIds && id === undefined) {
      heldBack.add(bytes);
      return;
    }
    const before = heldBack.take();
    if (hasEvent(progress, id)) return;
    lastEventAt = clock.now();
    observer.onAhead();
    if (!res.headersSent && head !== undefined) {
      writeStreamHead(ctx, exchange, head);
    }
    recordEvent(metrics, exchange, progress, id, clock.now());
    unwritten.add(before);
    unwritten.add(bytes);
  };
  const writeEvents = () => {
    if (unwritten.length() === 0) return;
    if (!res.write(unwritten.take())) pauseForCaller();
  };
  const writeHeldBack = (answerHead: AnswerHead) => {
    if (heldBack.length() === 0) return;
    observer.onAhead();
    if (!res.headersSent) writeStreamHead(ctx, exchange, answerHead);
    res.write(heldBack.take());
  };
  const pauseForCaller = () => {
    if (isPaused) return;
    isPaused = true;
    dispatch.pause();
    res.once('drain', onDrain);
  };
  const onDrain = guard('caller reads on', () => {
    isPaused = false;
    dispatch.resume();
    silence.onEvent();
  });
  const keepFailure = (kept: ReceivedBytes, chunk: Buffer, pieces: number) => {
    kept.add(chunk);
    failurePieces += pieces;
    exchange.account?.buffered(kept.length());
    const isEndless =
      kept.length() > MAX_FAILURE_BYTES || failurePieces > MAX_FAILURE_PIECES;
    if (isEndless) failEndless('a failure without end');
  };
  const failEndless = (reason: string) => {
    health.flooded(replica.id);
    fail(reason);
  };
  const isProgress = ({id}: StreamEvent) => !needsIds || id !== undefined;
  const onData = (chunk: Buffer, pieces = 1): number => {
    if (failure !== undefined) {
      keepFailure(failure, chunk, pieces);
      return 0;
    }
    const events = reader.push(chunk, pieces);
    for (const event of events) {
      if (eventCount++ === 0) placement.onFirstEvent(clock.now() - startedAt);
      forwardEvent(event);
    }
    writeEvents();
    if (reader.isEndless()) {
      failEndless('bytes without an event');
      return events.length;
    }
    // While the caller does not read, a silent replica is not at fault.
    if (isPaused) silence.stop();
    else if (events.some(isProgress)) silence.onEvent();
    placement.noteActivity();
    return events.length;
  };
  const onEnd = (endsWithConnection: boolean) => {
    if (!endsWithConnection) return complete();
    silence.stop();
    completeIfSurvived();
  };
  const completeIfSurvived = guard('replica look-up', async () => {
    const hasSurvived = await ctx.crashes.hasSurvived(replica);
    if (isOver) return;
    if (hasSurvived) complete();
    else onBroken(true, 'the replica ended');
  });
  const complete = () => {
    if (head === undefined) return;
    if (failure !== undefined) {
      health.failed(replica.id);
      finish({kind: 'failure', head, body: failure.take()});
    } else if (reader.pendingBytes() > 0) {
      fail('ended within an event');
    } else {
      ctx.crashes.runSucceeded(exchange);
      // A resumed stream may have had no event left to write.
      if (eventCount > 0) ctx.crashes.answerWritten(exchange, replica);
      writeHeldBack(head);
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

  const silence = watchSilence(ctx, exchange, replica.id, {guard, onSilent});
  const lastEventId =
    progress.events > 0 ? progress.lastId?.toString() : undefined;
  const spec = buildDispatch(
    ctx,
    exchange,
    replica,
    lastEventId,
    placement.helpers,
  );
  const dispatch = beforeSending(() =>
    ctx.dispatch(spec, clock, {onHead, onData, onEnd, onBroken, guard}),
  );
  ctx.gate.sent(replica.id);
  const cancelGateWatches = placement.memberIds.map(id =>
    ctx.gate.watchClosing(
      id,
      guard('replica closes', cause => {
        // A helper's pause does not apply to a part for which it has reserved
        // memory.
        if (cause === 'paused' && id !== replica.id) return;
        if (!dispatch.takeBack()) return;
        const kind = cause === 'evacuated' ? 'withdrawn' : 'not-sent';
        finishNotSent(TAKEN_BACK_REASONS[cause], kind);
      }),
    ),
  );
  const stopWatching = placement.watchLoss(onLost);
  signal.addEventListener('abort', onAbort);
  silence.awaitFirst(placement.firstEventMs);
  return {cancel};
}
