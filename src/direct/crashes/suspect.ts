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
    ended: [...ended],
    good: Object.fromEntries(good),
  };
}

/** Whether its report names as many replicas as it can. */
export function isFull({ended}: Suspect): boolean {
  return ended.size >= MAX_ENDED_REPLICAS;
}
