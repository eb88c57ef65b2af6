/**
 * This entry's turns at cold replicas that have no home; see
 * `cold/fallback_sends.ts`.
 */
import type {Clock, Log, Metrics} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import {firstTurnAt, takeTurns} from '../cold/fallback_sends.js';
import type {GrantingEntryTable} from './granting_entries.js';
import {UNGRANTED} from './home_grants.js';
import type {PermitRequest} from './home_grants.js';
import type {LedgerAnswer} from './permit_ledger.js';
import type {ReplicaLimits} from './replica_limits.js';

export interface FallbackTurnsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly entries: GrantingEntryTable;
  readonly limits: Pick<ReplicaLimits, 'limitOf' | 'reportOf'>;
  /** See `RequestPermitsOptions.fallbackPerS`. */
  fallbackPerS(replicaId: string): number;
  /** From 0 to 1. */
  random(): number;
}

export interface FallbackTurns {
  /** Uses this entry's turn at a cold replica that has no home. */
  take(req: PermitRequest): LedgerAnswer;
  /** Forgets the replicas that have no limit any more. */
  forgetUnlimited(): void;
}

export function createFallbackTurns(
  options: FallbackTurnsOptions,
): FallbackTurns {
  const {clock, log, metrics, entries, limits} = options;
  /** Begin of this entry's next turn, by replica. */
  const turnsAt = new Map<string, number>();
  /** Replicas that got a request in such a turn, which is logged once. */
  const loggedReplicas = new Set<string>();

  const noteTaken = (replicaId: string, periodMs: number): void => {
    metrics.count('onyxloft_direct_cold_fallback_total');
    if (loggedReplicas.has(replicaId)) return;
    loggedReplicas.add(replicaId);
    const key = limits.reportOf(replicaId)?.cold?.name ?? replicaId;
    log(DIRECT_EVENTS.coldFallback, {
      replica: replicaId,
      home: entries.homeOf(key),
      everyMs: Math.round(periodMs),
    });
  };

  return {
    take: ({replicaId, count}) => {
      const perSecond = options.fallbackPerS(replicaId);
      if (perSecond <= 0) return UNGRANTED;
      const now = clock.now();
      const periodMs = (1_000 * entries.mostKnown()) / perSecond;
      const known = turnsAt.get(replicaId);
      const dueAt = known ?? firstTurnAt(now, periodMs, options.random());
      const {isTaken, nextAt} = takeTurns(dueAt, now, periodMs, count);
      turnsAt.set(replicaId, nextAt);
      if (!isTaken) return {isGranted: false, retryAfterMs: nextAt - now};
      noteTaken(replicaId, periodMs);
      return {isGranted: true, retryAfterMs: 0};
    },
    forgetUnlimited: () => {
      for (const replicaId of [...turnsAt.keys()]) {
        if (limits.limitOf(replicaId) !== undefined) continue;
        turnsAt.delete(replicaId);
        loggedReplicas.delete(replicaId);
      }
    },
  };
}
