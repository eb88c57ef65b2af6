/**
 * Reconciles the side's run table with the engine's list of runs. Runs that
 * only the engine has come from an earlier incarnation or from a lost cancel;
 * they would hold engine memory forever, so the audit cancels them. Runs that
 * the engine has lost would keep their callers waiting until the time limit,
 * so the audit fails them.
 */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {EngineRunInfo} from '../types/upstream.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import {isFinished} from './run.js';

/**
 * A run fails when this many consecutive engine lists lack it. One list is not
 * enough: the engine may have made it just before the run arrived.
 */
const MISSED_AUDIT_LIMIT = 2;

/** Periodic reconciliation with the engine. */
export interface Audit {
  /** Requests the engine's list of runs; does nothing for a plain service. */
  requestList(): void;
  /** Reconciles with a list that was requested at `sentAt`. */
  handleList(
    sentAt: number,
    outcome: Either<OnyxError, readonly EngineRunInfo[]>,
  ): void;
  /** Releases the reserved memory once the engine has confirmed a cancel. */
  handleFreed(dispatchId: string, outcome: Either<OnyxError, void>): void;
}

/** Creates the audit of one side. */
export function createAudit(core: SideCore, lifecycle: Lifecycle): Audit {
  const {ctx, table, memory, options, upstream} = core;
  const client = options.upstream;

  const isRunningHere = (dispatchId: string) =>
    table.get(dispatchId)?.state === 'running';

  /** The engine keeps a finished run for resuming; it holds no memory. */
  const isRetainedOnly = (info: EngineRunInfo) =>
    info.state === 'done' && info.memoryTokens === 0;

  /**
   * Cancels all runs at the engine that do not run here. These include runs
   * that were cancelled here when the engine did not receive the cancel.
   */
  const freeOrphans = (list: readonly EngineRunInfo[]): number => {
    const orphans = list.filter(
      info => !isRunningHere(info.runId) && !isRetainedOnly(info),
    );
    for (const orphan of orphans) {
      ctx.log(SIDE_EVENTS.orphanedRunFreed, {
        dispatchId: orphan.runId,
        state: orphan.state,
        memoryTokens: orphan.memoryTokens,
      });
      lifecycle.cancelAtEngine(orphan.runId);
    }
    return orphans.length;
  };

  /** The first list without orphans ends the reconciliation after a start. */
  const markReconciled = (orphanCount: number) => {
    if (upstream.reconciled || orphanCount > 0) return;
    upstream.reconciled = true;
    core.queueChanged = true;
    ctx.log(SIDE_EVENTS.reconciled, {incarnation: core.incarnation});
  };

  /** Releases the memory of finished runs that the engine no longer lists. */
  const releaseUnlisted = (listed: ReadonlySet<string>) => {
    for (const id of memory.holders()) {
      const run = table.get(id);
      const isDone = run === undefined || isFinished(run);
      if (!isDone || listed.has(id)) continue;
      memory.release(id);
      core.queueChanged = true;
    }
  };

  /** Fails runs that the engine's list has lacked for too many audits. */
  const failMissing = (listed: ReadonlySet<string>, sentAt: number) => {
    for (const run of table.runsInSlots()) {
      // Heartbeats do not count: they show a live connection, not a live run.
      const madeNoProgress = run.progress.lastProgressAt < sentAt;
      const isMissing =
        !listed.has(run.id) && run.startedAt < sentAt && madeNoProgress;
      run.missedAudits = isMissing ? run.missedAudits + 1 : 0;
      if (run.missedAudits < MISSED_AUDIT_LIMIT) continue;
      ctx.log(SIDE_EVENTS.runMissing, {dispatchId: run.id});
      lifecycle.fail(run, {
        code: 'upstream-lost',
        message: 'the engine no longer has the run',
      });
    }
  };

  const reconcile = (list: readonly EngineRunInfo[], sentAt: number) => {
    const holdingMemory = list.filter(info => !isRetainedOnly(info));
    releaseUnlisted(new Set(holdingMemory.map(info => info.runId)));
    failMissing(new Set(list.map(info => info.runId)), sentAt);
    markReconciled(freeOrphans(list));
  };

  return {
    requestList: () => {
      if (client.kind !== 'engine') return;
      const sentAt = ctx.clock.now();
      client.client
        .list()
        .then(outcome => ctx.send('runs', {kind: 'listed', sentAt, outcome}))
        .catch(cause => ctx.fail(cause));
    },
    handleList: (sentAt, outcome) => {
      outcome
        .ifLeft(err =>
          ctx.log(SIDE_EVENTS.auditFailed, {
            code: err.code,
            cause: err.message,
          }),
        )
        .ifRight(list => reconcile(list, sentAt));
    },
    handleFreed: (dispatchId, outcome) => {
      outcome
        .ifLeft(err =>
          ctx.log(SIDE_EVENTS.freeFailed, {
            dispatchId,
            code: err.code,
            cause: err.message,
          }),
        )
        .ifRight(() => {
          memory.release(dispatchId);
          core.queueChanged = true;
        });
    },
  };
}
