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
/** Time until a trial is claimed again when its claim was not answered. */
const CLAIM_RETRY_MS = 1_000;

export interface Trials {
  /** See `Suspects.dueTrial`. */
  claim(): number | undefined;
  /** See `Suspects.trialSettled`. */
  settled(isAnswered: boolean): void;
  /** See `Suspects.nextTrialInMs`. */
  dueInMs(): number;
}

/** Plans the trials of a subject that is quarantined now. */
export function createTrials(clock: Clock, kind: SubjectKind): Trials {
  const delaysMs = TRIAL_DELAYS_MS[kind];
  const quarantinedAt = clock.now();
  /** Number of trials that are known to be claimed, by any entry. */
  let claimed = 0;
  let nextAt = quarantinedAt + delaysMs[0];
  return {
    claim: () => {
      if (clock.now() < nextAt) return undefined;
      // Equal requests are refused while this one claims the trial.
      nextAt = Infinity;
      return claimed;
    },
    settled: isAnswered => {
      if (isAnswered) claimed++;
      const afterMs = delaysMs[claimed] ?? Infinity;
      nextAt = isAnswered
        ? quarantinedAt + afterMs
        : clock.now() + CLAIM_RETRY_MS;
    },
    dueInMs: () => nextAt - clock.now(),
  };
}
