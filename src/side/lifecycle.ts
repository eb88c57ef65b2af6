/**
 * How a run leaves the living: ended, failed or cancelled. What it held is
 * released, what it leaves behind is recorded, its owner is told.
 */
import type {Ran} from '../types/errors.js';
import type {RunFailed} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {Channels} from './channels.js';
import type {SideCore} from './side_core.js';
import {isFinished, ranOf} from './run.js';
import type {Run, RunState} from './run.js';

export interface RunFailure {
  readonly code: string;
  readonly message: string;
  /** @default what the run's progress shows */
  readonly ran?: Ran;
}

export interface Lifecycle {
  end(run: Run, finishReason: string, cachedTokens: number): void;
  fail(run: Run, failure: RunFailure): void;
  cancel(run: Run, code: string, message: string): void;
  /** Asks the engine to end a run and free its memory. */
  cancelAtEngine(dispatchId: string): void;
  /** Forgets a run that is over; its id stays remembered. */
  forget(run: Run): void;
}

export function createLifecycle(core: SideCore, channels: Channels): Lifecycle {
  const {ctx, table, tombstones, memory} = core;

  const cancelAtEngine = (dispatchId: string) => {
    const {upstream} = core.options;
    if (upstream.kind !== 'engine') return;
    upstream.client
      .cancel(dispatchId)
      .then(outcome => ctx.send('runs', {kind: 'freed', dispatchId, outcome}))
      .catch(cause => ctx.fail(cause));
  };

  const addTombstone = (run: Run) =>
    tombstones.add(
      {
        dispatchId: run.id,
        organisation: run.offer.organisation,
        started: run.started,
        answer: undefined,
      },
      ctx.clock.now(),
    );

  /** A call once sent is not cut: it may not be repeated. */
  const stopUpstream = (run: Run) => {
    if (!run.started) {
      memory.release(run.id);
      return;
    }
    if (run.offer.kind === 'call') {
      run.lateCall = run.stream.unsubscribe !== undefined;
      return;
    }
    stopListening(run);
    // The engine may still hold the memory: it stays reserved until the engine
    // has confirmed, or two runs would be given the same memory.
    cancelAtEngine(run.id);
  };

  const finish = (run: Run, state: RunState, outcome: Run['outcome']) => {
    run.state = state;
    run.outcome = outcome;
    run.endedAt = ctx.clock.now();
    for (const cancel of run.timers.splice(0)) cancel();
    run.prompt.clear();
    if (!run.started) addTombstone(run);
    core.queueChanged = true;
    ctx.metrics.count('onyxloft_side_runs_total', {outcome: state});
    channels.sendPending(run);
  };

  const failedFrame = (run: Run, failure: RunFailure): RunFailed => ({
    kind: 'failed',
    dispatchId: run.id,
    ran: failure.ran ?? ranOf(run),
    code: failure.code,
    message: failure.message,
    retryAfterMs: 0,
  });

  const finishFailed = (run: Run, state: RunState, failure: RunFailure) => {
    if (isFinished(run)) return;
    const outcome = failedFrame(run, failure);
    // Left out, answers too long for their time would be forgotten, and the
    // side would go on taking more of them.
    if (failure.code === 'deadline-exceeded') {
      core.lengths.record(run.progress.nextToken);
    }
    stopUpstream(run);
    finish(run, state, outcome);
    ctx.log(SIDE_EVENTS.runFailed, {
      dispatchId: run.id,
      state,
      code: failure.code,
      ran: outcome.ran,
      message: failure.message,
    });
  };

  return {
    end: (run, finishReason, cachedTokens) => {
      stopListening(run);
      memory.release(run.id);
      core.lengths.record(run.progress.nextToken);
      ctx.invariant(!memory.holds(run.id), 'memory-released-at-end', {
        dispatchId: run.id,
      });
      finish(run, 'ended', {
        kind: 'end',
        dispatchId: run.id,
        count: run.chunkLog.count(),
        digest: run.chunkLog.digest(),
        finishReason,
        cachedTokens,
      });
      ctx.log(SIDE_EVENTS.runEnded, {
        dispatchId: run.id,
        chunks: run.chunkLog.count(),
        tokens: run.progress.nextToken,
        ms: Math.round(run.endedAt - run.startedAt),
      });
    },
    fail: (run, failure) => finishFailed(run, 'failed', failure),
    cancel: (run, code, message) =>
      finishFailed(run, 'cancelled', {code, message}),
    cancelAtEngine,
    forget: run => {
      addTombstone(run);
      table.remove(run.id);
    },
  };
}

/** Events of the stream listened to until now are dropped from here on. */
export function stopListening(run: Run): void {
  run.stream.unsubscribe?.();
  run.stream.unsubscribe = undefined;
  run.stream.generation += 1;
}
