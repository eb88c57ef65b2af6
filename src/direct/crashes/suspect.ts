/** The state of one suspect, and what follows from it. */
import {MAX_ENDED_REPLICAS} from './crash_reports.js';
import type {CrashReport} from './crash_reports.js';
import type {SubjectType} from './subjects.js';
import type {Trials} from './trials.js';

/** Number of ended replicas at which a request is quarantined. */
const QUARANTINE_THRESHOLD = 3;
/** Each successful run of a request raises the threshold by this. */
const THRESHOLD_PER_SUCCESS = 2;
/**
 * With so many successful runs a request is never quarantined, since a report
 * names fewer ended replicas than its threshold.
 */
export const ENOUGH_SUCCESSES = 3;
/** Most ended replicas that are kept of a part. */
const MAX_PART_ENDS = 64;

export interface Suspect {
  type: SubjectType;
  /** Ids of replicas that ended during a run. */
  readonly ended: Set<string>;
  /** Number of successful runs, by the entry that observed them. */
  readonly good: Map<string, number>;
  /** Time at which this entry last learned of an ended replica. */
  endedAt: number;
  /** True when this entry observed the last end itself. */
  isOwn: boolean;
  /** Defined while the subject is quarantined. */
  trials: Trials | undefined;
}

export function reachesThreshold({ended, good}: Suspect): boolean {
  const runs = successesOf(good.values());
  return ended.size >= QUARANTINE_THRESHOLD + THRESHOLD_PER_SUCCESS * runs;
}

export function successesOf(counts: Iterable<number>): number {
  return [...counts].reduce((sum, count) => sum + count, 0);
}

export function successesElsewhere({good}: Suspect, self: string): number {
  return successesOf(good.values()) - (good.get(self) ?? 0);
}

export function earlierOf(known: SubjectType, next: SubjectType): SubjectType {
  if (known.kind !== 'part' || next.kind !== 'part') {
    return known.kind === 'part' ? known : next;
  }
  return next.position < known.position ? next : known;
}

export function reportOf(
  digest: string,
  {type, ended, good}: Suspect,
): CrashReport {
  return {
    digest,
    position: type.kind === 'part' ? type.position : undefined,
    ended: [...ended].slice(-MAX_ENDED_REPLICAS),
    good: Object.fromEntries(good),
  };
}

/**
 * Adds a replica that ended. Returns false when it is known, or when more of
 * them would tell nothing. Parts are compared with each other by their ends, so
 * the newest ones are kept.
 */
export function addEnd({type, ended}: Suspect, replicaId: string): boolean {
  if (ended.has(replicaId)) return false;
  const isRequest = type.kind === 'request';
  if (isRequest && ended.size >= MAX_ENDED_REPLICAS) return false;
  ended.add(replicaId);
  const [oldest] = ended;
  if (ended.size > MAX_PART_ENDS) ended.delete(oldest);
  return true;
}
