/**
 * Compares the engine's list of runs with the own table. A run that this
 * incarnation does not know would hold the engine's memory for good: it is
 * from an earlier incarnation, or its cancel was lost. A run that the engine
 * lost would keep its caller waiting to the time limit.
 */
import type {Either} from 'purify-ts';
import type {OnyxError} from '../types/errors.js';
import type {EngineRunInfo} from '../types/upstream.js';
import {SIDE_EVENTS} from '../utils/events.js';
import type {SideCore} from './side_core.js';
import type {Lifecycle} from './lifecycle.js';
import {isFinished} from './run.js';

/** One list may have been made just before a run came to the engine. */
const MISSED_AUDIT_LIMIT = 2;

export interface Audit {
  /** Asks the engine for its list. */
  requestList(): void;
  handleList(
    sentAt: number,
    outcome: Either<OnyxError, readonly EngineRunInfo[]>,
  ): void;
  handleFreed(dispatchId: string, outcome: Either<OnyxError, void>): void;
}

export function createAudit(core: SideCore, lifecycle: Lifecycle): Audit {
  const {ctx, table, memory, options, upstream} = core;
  const client = options.upstream;

  const isRunningHere = (id: string) => table.get(id)?.state === 'running';

  /** A finished run that is only kept for resuming holds no memory. */
  const isRetainedOnly = (info: EngineRunInfo) =>
    info.state === 'done' && info.memoryTokens === 0;

  /** Also what was cancelled here, if the engine never got to know. */
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

  const markReconciled = (orphanCount: number) => {
    if (upstream.reconciled || orphanCount > 0) return;
    upstream.reconciled = true;
    core.queueChanged = true;
    ctx.log(SIDE_EVENTS.reconciled, {incarnation: core.incarnation});
  };

  /** What the engine no longer lists, it no longer holds memory for. */
  const releaseUnlisted = (listed: ReadonlySet<string>) => {
    for (const id of memory.holders()) {
      const run = table.get(id);
      const isDone = run === undefined || isFinished(run);
      if (!isDone || listed.has(id)) continue;
      memory.release(id);
      core.queueChanged = true;
    }
  };

  const failMissing = (listed: ReadonlySet<string>, sentAt: number) => {
    for (const run of table.occupyingSlots()) {
      // A beat only says that the connection lives, not that the run does.
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
