/**
 * Sends a call to one replica and receives the answer. The answer is buffered
 * until it is complete, so that a call which fails midway can be retried. A
 * large answer is streamed to the caller instead, which bounds memory use.
 */
import {isSuccess} from '../utils/final_status.js';
import {
  MAX_ANSWER_BYTES,
  MAX_ANSWER_PIECES,
  announcesTooMuch,
} from './answers/answer_size.js';
import {ERROR_REASON} from './boundary/error_report.js';
import {createAttemptGuard} from './boundary/request_errors.js';
import {beforeSending} from './callers/unsent_error.js';
import type {AnswerHead, Dispatch} from './dispatch.js';
import type {Exchange} from './exchange.js';
import {
  CLOSED_REASON,
  TAKEN_BACK_REASONS,
  gateRequestOf,
} from './permitted_choice.js';
import {plainCallAssignment} from './load_tracker.js';
import {
  buildDispatch,
  classifyHead,
  cutAnswer,
  noteIfTooLate,
  writeHead,
} from './serve_context.js';
import type {ServeContext} from './serve_context.js';
import type {WithdrawalCause} from './gate/replica_gate.js';
import type {DirectReplica} from './types.js';
import {createReceivedBytes} from '../utils/received_bytes.js';
import {runEach} from '../utils/run_each.js';

/**
 * Largest answer that is buffered, in bytes. Once more has arrived, the answer
 * is streamed to the caller and the call can no longer be retried.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** The bound while the process is short of memory. */
const MAX_BUFFERED_SHORT_BYTES = 16 * 1024;

/** A complete answer. */
export interface BufferedAnswer {
  readonly kind: 'answered';
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** How one attempt ended. */
export type CallOutcome =
  | BufferedAnswer
  /** The answer was streamed to the caller. */
  | {readonly kind: 'passed-on'}
  /** The replica refused the request and did not run it. */
  | {readonly kind: 'not-run'; readonly faultAt: string | undefined}
  /** The replica failed with a status that the caller must not get. */
  | {readonly kind: 'withheld'; readonly reason: string}
  /** No connection was established, so the replica received nothing. */
  | {readonly kind: 'not-sent'; readonly reason: string}
  /** The answer failed midway or was invalid; the request may have run. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** The request was not sent, because equal requests crashed replicas. */
  | {readonly kind: 'quarantined'}
  /** The request ended before the answer: its time is up or the caller left. */
  | {readonly kind: 'ended'};

/** Sends the request to the replica and resolves when the attempt has ended. */
export function attemptCall(
  ctx: ServeContext,
  exchange: Exchange,
  replica: DirectReplica,
): Promise<CallOutcome> {
  const {isTrial} = exchange;
  if (!ctx.gate.maySend(replica.id, gateRequestOf(exchange))) {
    return Promise.resolve({kind: 'not-sent', reason: CLOSED_REASON});
  }
  if (!ctx.crashes.maySend(exchange)) {
    return Promise.resolve({kind: 'quarantined'});
  }
  const {health, losses, loadTracker, clock, metrics, callTimes} = ctx;
  const {service} = exchange;
  const spec = buildDispatch(ctx, exchange, replica, undefined, []);
  const startedAt = clock.now();
  const assignment = loadTracker.assign(
    plainCallAssignment(replica.id, Infinity),
  );
  exchange.attempts++;
  return new Promise((resolve, reject) => {
    let head: AnswerHead | undefined;
    const buffered = createReceivedBytes();
    let bytes = 0;
    let pieces = 0;
    let isStreaming = false;
    let isOver = false;

    const guard = createAttemptGuard(ctx, exchange, {
      replicaId: replica.id,
      status: () => head?.status,
      cancelRun: () => {
        ctx.crashes.runCancelled(exchange, replica);
        dispatch.cancel();
      },
      settle: () => {
        const outcome: CallOutcome = exchange.signal.aborted
          ? {kind: 'ended'}
          : {kind: 'broken', reason: ERROR_REASON};
        runEach([() => !isOver && finish(outcome), () => resolve(outcome)]);
      },
    });
    const finish = (outcome: CallOutcome) => {
      isOver = true;
      assignment.end();
      stopWatching();
      stopWatchingGate();
      cancelHalf?.();
      exchange.signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const finishNotSent = (reason: string) => {
      exchange.attempts--;
      exchange.isTrial = isTrial;
      finish({kind: 'not-sent', reason});
    };
    const onAbort = guard('request ended', () => {
      // While its connection is being opened, nothing of the call was sent.
      if (!dispatch.takeBack()) {
        noteIfTooLate(ctx, exchange, replica.id, dispatch);
        exchange.mayHaveRun = true;
        ctx.crashes.runCancelled(exchange, replica);
        dispatch.cancel();
      }
      finish({kind: 'ended'});
    });
    const startStreaming = (answerHead: AnswerHead) => {
      isStreaming = true;
      writeHead(ctx, exchange.res, answerHead);
      exchange.res.write(buffered.take());
    };
    const mustStream = () =>
      bytes > MAX_BUFFERED_BYTES ||
      (bytes > MAX_BUFFERED_SHORT_BYTES &&
        exchange.account?.mayBuffer() === false);
    const pauseIfUnread = () => {
      if (!exchange.res.writableNeedDrain) return;
      dispatch.pause();
      const onDrain = guard('caller reads on', () => dispatch.resume());
      exchange.res.once('drain', onDrain);
    };
    const hasOtherReplica = () =>
      ctx.replicas.availableFor(service).some(({id}) => id !== replica.id);
    // The other half of the time is another replica's.
    const endIfTooMuchWork = guard('half of the time', () => {
      if (isOver || isStreaming || !dispatch.isInTurns?.()) return;
      if (hasOtherReplica()) breakEndless();
    });
    const onHead = (received: AnswerHead) => {
      head = received;
      const sentTo = {replicaId: replica.id, sentAt: startedAt};
      const verdict = classifyHead(ctx, exchange, sentTo, received);
      const isTooLarge = announcesTooMuch(exchange.req.method, received);
      if (verdict.kind === 'success' || verdict.kind === 'failure') {
        if (isTooLarge) breakEndless();
        return;
      }
      dispatch.cancel();
      if (verdict.kind === 'not-run') {
        exchange.isTrial = isTrial;
        finish(verdict);
        return;
      }
      if (verdict.kind === 'withheld') {
        noteSuccess();
        finish(verdict);
        return;
      }
      health.failed(replica.id);
      finish({kind: 'broken', reason: verdict.reason});
    };
    const breakEndless = () => {
      dispatch.cancel();
      health.flooded(replica.id);
      onBroken(true, 'an answer without end');
    };
    const onData = (chunk: Buffer, count = 1) => {
      bytes += chunk.length;
      pieces += count;
      if (bytes > MAX_ANSWER_BYTES || pieces > MAX_ANSWER_PIECES) {
        breakEndless();
        return;
      }
      if (!isStreaming) {
        buffered.add(chunk);
        exchange.account?.buffered(bytes);
      }
      if (!isStreaming && mustStream() && head !== undefined) {
        startStreaming(head);
        pauseIfUnread();
        return;
      }
      if (!isStreaming) return;
      exchange.res.write(chunk);
      pauseIfUnread();
    };
    const onEnd = (endsWithConnection: boolean) => {
      if (endsWithConnection) completeIfSurvived();
      else complete();
    };
    const completeIfSurvived = guard('replica look-up', async () => {
      const hasSurvived = await ctx.crashes.hasSurvived(replica);
      if (isOver) return;
      if (hasSurvived) complete();
      else onBroken(true, 'the replica ended');
    });
    const complete = () => {
      noteSuccess();
      if (isStreaming) {
        exchange.res.end();
        finish({kind: 'passed-on'});
        return;
      }
      const tookMs = clock.now() - startedAt;
      callTimes.answered(service, replica.id, tookMs);
      metrics.observe('onyxloft_direct_call_ms', {}, tookMs);
      if (head === undefined) return;
      finish({kind: 'answered', head, body: buffered.take()});
    };
    const noteSuccess = () => {
      const {status = 0} = head ?? {};
      if (isStreaming || (head && status < 500)) {
        ctx.crashes.runSucceeded(exchange);
      }
      if (isSuccess(status)) {
        ctx.crashes.answerWritten(exchange, replica);
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
      if (isStreaming) cutAnswer(exchange.res);
      finish({kind: isStreaming ? 'passed-on' : 'broken', reason});
    };
    const open = () =>
      ctx.dispatch(spec, clock, {onHead, onData, onEnd, onBroken, guard});
    let dispatch: Dispatch;
    try {
      dispatch = beforeSending(open);
    } catch (err) {
      assignment.end();
      reject(err);
      return;
    }
    ctx.gate.sent(replica.id);
    const onGateClosing = guard('replica closes', (cause: WithdrawalCause) => {
      if (dispatch.takeBack()) finishNotSent(TAKEN_BACK_REASONS[cause]);
    });
    const stopWatchingGate = ctx.gate.watchClosing(replica.id, onGateClosing);
    // A replica that restarted may leave the connection open without a reset.
    const onRestarted = guard('replica restarted', () => {
      const isTakenBack = dispatch.takeBack();
      dispatch.cancel();
      onBroken(!isTakenBack, 'the replica restarted');
    });
    const stopWatching = losses.watch(replica.id, onRestarted);
    exchange.signal.addEventListener('abort', onAbort);
    const cancelHalf =
      exchange.route.kind === 'idempotent'
        ? clock.after(exchange.timeLeftMs() / 2, endIfTooMuchWork)
        : undefined;
  });
}
