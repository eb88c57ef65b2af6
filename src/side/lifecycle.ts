/**
 * Finishes runs as ended, failed or cancelled. Finishing a run releases its
 * memory, stops its timers and its upstream stream, records its outcome, and
 * sends the outcome to the entry that owns it.
 */
import type {Ran} from '../types/errors.js';
import type {RunFailed} from '../types/peer_messages.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {Channels} from './channels.js';
import type {SideCore} from './side_core.js';
import {isFinished, ranOf} from './run.js';
import type {Run, RunState} from './run.js';

/** Why a run failed or was cancelled. */
export interface RunFailure {
  /** Code that is sent to the entry. */
  readonly code: string;
  readonly message: string;
  /** Whether the run executed. @default as the run's progress shows */
  readonly ran?: Ran;
}

/** Transitions of runs to their final states. */
export interface Lifecycle {
  /** Finishes a run with a complete answer. */
  end(run: Run, finishReason: string, cachedTokens: number): void;
  /** Fails a run; does nothing for a finished one. */
  fail(run: Run, failure: RunFailure): void;
  /** Cancels a run; does nothing for a finished one. */
  cancel(run: Run, code: string, message: string): void;
  /** Asks the engine to cancel a run and free its memory. */
  cancelAtEngine(dispatchId: string): void;
  /** Removes a finished run from the table and tombstones its id. */
  forget(run: Run): void;
}

/** Creates the transitions of one side. */
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

  /** Stops a run at its upstream. A call that was sent keeps running. */
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
    // The engine may still hold the memory. It stays reserved until the engine
    // confirms the cancel, so that two runs are never given the same memory.
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
    // Answers that are too long for their time limit must be recorded too.
    // Otherwise the side would keep accepting runs that cannot end in time.
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

/** Unsubscribes from the run's current event stream and drops its events. */
export function stopListening(run: Run): void {
  run.stream.unsubscribe?.();
  run.stream.unsubscribe = undefined;
  run.stream.generation += 1;
}
