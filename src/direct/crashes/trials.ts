/**
 * Plans the trials of a quarantined subject. A harmless one that ran beside a
 * crashing one looks the same; only a run by itself distinguishes them.
 */
import type {Clock} from '../../types/runtime.js';
import type {SubjectKind} from './subjects.js';

/**
 * Times after the quarantine at which one request may run as a trial. A sound
 * part that is refused takes many callers along, so its second trial is earlier.
 */
const TRIAL_DELAYS_MS: Readonly<Record<SubjectKind, readonly number[]>> = {
  request: [1_000, 10_000],
  part: [1_000, 4_000],
};
/**
 * Least time between two trials of a subject, in milliseconds, where the first one
 * was late: at the same moment, both would run beside the same others.
 */
const LEAST_GAP_MS = 2_000;
/** Time until a trial is claimed again when its claim was not answered. */
const CLAIM_RETRY_MS = 1_000;
/**
 * Time between the trials of two subjects, in milliseconds. Trials at the same
 * time may run at the same replica, at two entries as well, and the subject that
 * crashes replicas would end the trial of a harmless one each time. It does not
 * divide `BETTER_TRIAL_WAIT_MS` of `crash_watch.ts`, by which some trials come
 * later.
 */
const SPACING_MS = 400;
/** Trials of more subjects share their times, or the last would come late. */
const MAX_SPACED = 4;

export interface Trials {
  /**
   * See `Suspects.dueTrial`. `rank` is the number of quarantined subjects that
   * come before this one, in an order that is the same at all entries.
   */
  claim(rank: number): number | undefined;
  /** See `Suspects.trialSettled`. */
  settled(isAnswered: boolean): void;
  /** See `Suspects.trialUnused`. */
  unused(): void;
  /** Takes an unused trial, if there is one; it is claimed already. */
  takeUnused(rank: number): boolean;
  /** See `Suspects.nextTrialInMs`. */
  dueInMs(rank: number): number;
  /** See `Suspects.isOnLastTrial`. */
  isOnLast(): boolean;
}

/** Plans the trials of a subject that is quarantined now. */
export function createTrials(clock: Clock, kind: SubjectKind): Trials {
  const delaysMs = TRIAL_DELAYS_MS[kind];
  const quarantinedAt = clock.now();
  /** Number of trials that are known to be claimed, by any entry. */
  let claimed = 0;
  let nextAt = quarantinedAt + delaysMs[0];
  /** Whether this entry has claimed a trial that did not run. */
  let hasUnused = false;
  /** Whether a claim of this entry is under way. */
  let isClaiming = false;
  const plannedAt = (): number => {
    const delayMs = delaysMs[claimed] ?? Infinity;
    return Math.max(quarantinedAt + delayMs, clock.now() + LEAST_GAP_MS);
  };
  const dueInMs = (rank: number): number =>
    nextAt + (rank % MAX_SPACED) * SPACING_MS - clock.now();
  return {
    claim: rank => {
      if (isClaiming || hasUnused || dueInMs(rank) > 0) return undefined;
      // Equal requests are refused while this one claims the trial.
      nextAt = Infinity;
      isClaiming = true;
      return claimed;
    },
    settled: isAnswered => {
      isClaiming = false;
      if (isAnswered) claimed++;
      // An earlier trial that became unused during the claim stays due.
      if (hasUnused) return;
      nextAt = isAnswered ? plannedAt() : clock.now() + CLAIM_RETRY_MS;
    },
    unused: () => {
      hasUnused = true;
      nextAt = clock.now();
    },
    takeUnused: rank => {
      if (!hasUnused || dueInMs(rank) > 0) return false;
      hasUnused = false;
      nextAt = plannedAt();
      return true;
    },
    dueInMs,
    // An unused trial is counted as claimed already.
    isOnLast: () => claimed >= delaysMs.length - (hasUnused ? 0 : 1),
  };
}
