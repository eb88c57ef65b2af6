/**
 * Treats the coldness of replicas as request limits, beside the limits that the
 * replicas name themselves. The lower one of both applies, and one ledger
 * grants the permits for it.
 */
import type {LimitReport} from '../limits/limit_messages.js';
import type {ReplicaLimits} from '../limits/replica_limits.js';
import type {ColdReplicas} from './cold_replicas.js';

/**
 * Age in milliseconds that is stated for the named limit in a report of
 * coldness alone. Entries of earlier versions would take a younger report
 * without a named limit for the end of that limit.
 */
const NOTHING_STATED_MS = 1e9;

export interface ColdLimits extends ReplicaLimits {
  /** The replica's record was removed; its start may come back. */
  removed(replicaId: string): void;
}

export function createColdLimits(
  named: ReplicaLimits,
  cold: ColdReplicas,
): ColdLimits {
  const reportOf = (replicaId: string): LimitReport | undefined => {
    const byName = named.reportOf(replicaId);
    const coldness = cold.reportOf(replicaId);
    if (coldness === undefined) return byName;
    return {
      replicaId,
      perSecond: undefined,
      ageMs: NOTHING_STATED_MS,
      ...byName,
      cold: coldness,
    };
  };
  const limitOf = (replicaId: string): number | undefined => {
    const rates = [named.limitOf(replicaId), cold.limitOf(replicaId)].filter(
      rate => rate !== undefined,
    );
    return rates.length === 0 ? undefined : Math.min(...rates);
  };
  let nextColdAt = 0;
  return {
    ...named,
    limitOf,
    reportOf,
    merge: report => {
      named.merge(report);
      if (report.cold !== undefined) cold.merge(report.replicaId, report.cold);
    },
    nextReports: count => {
      const byName = named.nextReports(count);
      const names = new Set(byName.map(({replicaId}) => replicaId));
      const ids = cold.ids().filter(id => !names.has(id));
      const size = Math.min(Math.max(0, count - byName.length), ids.length);
      const from = nextColdAt;
      nextColdAt += size;
      const others = Array.from(
        {length: size},
        (_, at) => ids[(from + at) % ids.length],
      );
      return [...names, ...others]
        .map(reportOf)
        .filter(report => report !== undefined);
    },
    removed: replicaId => {
      named.forget(replicaId);
      cold.removed(replicaId);
    },
    forget: replicaId => {
      named.forget(replicaId);
      cold.forget(replicaId);
    },
    count: () => named.count() + cold.count(),
  };
}
