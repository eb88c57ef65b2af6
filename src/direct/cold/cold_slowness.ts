/**
 * How slow replicas of each service are while they are cold, learned from their
 * answers. A restarted replica is chosen often because it is idle. If it
 * counted as usually fast, it would get prompts that then miss their objective.
 */
import type {UsualSlowness} from '../replica_health.js';

/** Weight of the newest observation in the moving average. */
const NEWEST_WEIGHT = 0.1;

export interface ColdSlownessOptions {
  /** Service of a replica that is cold now; undefined for a warm one. */
  coldServiceOf(replicaId: string): string | undefined;
}

export function createColdSlowness({
  coldServiceOf,
}: ColdSlownessOptions): UsualSlowness {
  const byService = new Map<string, number>();
  return {
    startOf: replicaId => byService.get(coldServiceOf(replicaId) ?? ''),
    observed: (replicaId, slowness) => {
      const service = coldServiceOf(replicaId);
      if (service === undefined) return;
      const known = byService.get(service) ?? slowness;
      byService.set(service, known + NEWEST_WEIGHT * (slowness - known));
    },
  };
}
