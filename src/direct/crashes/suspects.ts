/**
 * Finds requests that crash the replicas which run them ("queries of death").
 * Such a request is repeated under new ids and at any entry. Undetected, it
 * crashes one replica after another, with all requests that run there.
 *
 * A replica that ends during a run counts against the request, and a successful
 * run counts for it. Replicas also crash for other reasons, and a frequent
 * request runs at many of them. The merge of the entries' reports is
 * commutative, so all entries reach the same result.
 */
import type {Clock} from '../../types/runtime.js';
import {MAX_ENDED_REPLICAS} from './crash_reports.js';
import type {CrashReport} from './crash_reports.js';

/** Number of ended replicas at which a request is quarantined. */
const QUARANTINE_THRESHOLD = 3;
/** Each successful run raises the threshold by this. */
const THRESHOLD_PER_SUCCESS = 2;
/**
 * Times after the quarantine at which one request of the digest may run as a
 * trial. A harmless request that ran beside a crashing one looks the same; only
 * a run by itself distinguishes them.
 */
const TRIAL_DELAYS_MS = [1_000, 10_000];
/** Time until a trial is claimed again when its claim was not answered. */
const CLAIM_RETRY_MS = 1_000;
/**
 * Duration of a quarantine, from the last end of a replica. After it the
 * request may run again.
 */
export const QUARANTINE_MS = 3_600_000;
/**
 * Most suspects that are kept. Beyond it the oldest one that is not quarantined
 * is dropped, or else the oldest.
 */
const MAX_SUSPECTS = 1_000;
/** Time for which successful runs of a request that is no suspect are kept. */
const SUCCESSES_KEPT_MS = 60_000;
/** Most requests whose successful runs are kept; the oldest is dropped. */
const MAX_SUCCESSFUL_REQUESTS = 1_000;
/**
 * Reports of a released request are ignored for this long, so that one that was
 * on its way does not undo the release.
 */
const RELEASE_GRACE_MS = 5_000;

interface Suspect {
  /** Ids of replicas that ended during a run. */
  readonly ended: Set<string>;
  /** Number of successful runs, by the entry that observed them. */
  readonly good: Map<string, number>;
  /** Time at which this entry last learned of an ended replica. */
  endedAt: number;
  /** Undefined while the request is not quarantined. */
  quarantinedAt: number | undefined;
  /** Number of trials that are known to be claimed, by any entry. */
  trials: number;
  /** Earliest time of the next trial; infinite when none is planned. */
  nextTrialAt: number;
}

export interface SuspectsOptions {
  readonly clock: Clock;
  /** Name of this entry. */
  readonly self: string;
  /** Called with a report that the peers should get. */
  onChanged(report: CrashReport): void;
  /**
   * A request is refused from now on. `isOwn` is true when this entry observed
   * the last crash.
   */
  onQuarantined(report: CrashReport, isOwn: boolean): void;
  /**
   * A request is no longer refused. `isOwn` is true when the last successful
   * run was at this entry.
   */
  onCleared(digest: string, isOwn: boolean): void;
}

export interface Suspects {
  /** Records that a replica ended while it ran the request. */
  replicaEnded(digest: string, replicaId: string): void;
  /** Records a successful run of the request. */
  runSucceeded(digest: string): void;
  /** Whether a replica has ended during a run of the request. */
  isSuspect(digest: string): boolean;
  isQuarantined(digest: string): boolean;
  /**
   * Number of the trial that is due, from 0; undefined when none is due. The
   * trial is not due again until `trialSettled` is called.
   */
  dueTrial(digest: string): number | undefined;
  /**
   * Ends the claim of a trial. `isAnswered` is false when the claim was not
   * answered, so that the trial may still be free.
   */
  trialSettled(digest: string, isAnswered: boolean): void;
  /** Merges reports of a peer or of the store. */
  merge(reports: readonly CrashReport[]): void;
  /** Ends the quarantine that an operator has released. */
  release(digest: string): void;
  /** The next `count` reports, in rotation, to send to a peer. */
  nextReports(count: number): readonly CrashReport[];
  suspectCount(): number;
  quarantinedCount(): number;
}

export function createSuspects(options: SuspectsOptions): Suspects {
  const {clock, self} = options;
  /** Suspects by digest, the oldest first. */
  const suspects = new Map<string, Suspect>();
  /** End of the grace after a release, by digest. */
  const released = new Map<string, number>();
  const earlierSuccesses = createSuccessCounts(clock);
  let nextIndex = 0;

  const isExpired = ({endedAt}: Suspect) =>
    clock.now() - endedAt > QUARANTINE_MS;
  const findCurrent = (digest: string): Suspect | undefined => {
    const suspect = suspects.get(digest);
    if (suspect === undefined || !isExpired(suspect)) return suspect;
    suspects.delete(digest);
    return undefined;
  };
  const dropOldest = () => {
    for (const [digest, {quarantinedAt}] of suspects) {
      if (quarantinedAt !== undefined) continue;
      suspects.delete(digest);
      return;
    }
    const [oldest] = suspects.keys();
    suspects.delete(oldest);
  };
  const add = (digest: string): Suspect => {
    if (suspects.size >= MAX_SUSPECTS) dropOldest();
    const successes = earlierSuccesses.take(digest);
    const suspect: Suspect = {
      ended: new Set(),
      good: new Map(successes > 0 ? [[self, successes]] : []),
      endedAt: clock.now(),
      quarantinedAt: undefined,
      trials: 0,
      nextTrialAt: Infinity,
    };
    suspects.set(digest, suspect);
    return suspect;
  };
  const drop = (digest: string): void => {
    suspects.delete(digest);
    released.set(digest, clock.now() + RELEASE_GRACE_MS);
    for (const [key, until] of released) {
      if (until <= clock.now()) released.delete(key);
    }
  };
  const updateQuarantine = (
    digest: string,
    suspect: Suspect,
    isOwn: boolean,
  ): void => {
    const wasQuarantined = suspect.quarantinedAt !== undefined;
    if (reachesThreshold(suspect) === wasQuarantined) return;
    if (wasQuarantined) {
      suspect.quarantinedAt = undefined;
      options.onCleared(digest, isOwn);
      return;
    }
    const now = clock.now();
    suspect.quarantinedAt = now;
    suspect.trials = 0;
    suspect.nextTrialAt = now + TRIAL_DELAYS_MS[0];
    options.onQuarantined(reportOf(digest, suspect), isOwn);
  };
  const mergeOne = (report: CrashReport): void => {
    const {digest} = report;
    if ((released.get(digest) ?? -Infinity) > clock.now()) return;
    if (report.ended.length === 0) return;
    const known = findCurrent(digest);
    const suspect = known ?? add(digest);
    for (const id of report.ended) addEnded(suspect, id, clock.now());
    for (const [node, count] of Object.entries(report.good)) {
      suspect.good.set(node, Math.max(suspect.good.get(node) ?? 0, count));
    }
    // The sender of the report does not know of successful runs at this entry.
    const isNewHere = known === undefined && suspect.good.has(self);
    if (isNewHere) options.onChanged(reportOf(digest, suspect));
    updateQuarantine(digest, suspect, false);
  };

  return {
    replicaEnded: (digest, replicaId) => {
      const suspect = findCurrent(digest) ?? add(digest);
      if (!addEnded(suspect, replicaId, clock.now())) return;
      options.onChanged(reportOf(digest, suspect));
      updateQuarantine(digest, suspect, true);
    },
    runSucceeded: digest => {
      const suspect = findCurrent(digest);
      if (suspect === undefined) {
        earlierSuccesses.add(digest);
        return;
      }
      // The run was a trial, and a crashing request would have failed it.
      if (suspect.quarantinedAt !== undefined) {
        drop(digest);
        options.onCleared(digest, true);
        return;
      }
      const count = (suspect.good.get(self) ?? 0) + 1;
      suspect.good.set(self, count);
      // Limits the reports of a frequent request: not one for each run.
      if (isPowerOfTwo(count)) options.onChanged(reportOf(digest, suspect));
      updateQuarantine(digest, suspect, true);
    },
    isSuspect: digest => findCurrent(digest) !== undefined,
    isQuarantined: digest => findCurrent(digest)?.quarantinedAt !== undefined,
    dueTrial: digest => {
      const suspect = findCurrent(digest);
      if (suspect === undefined || clock.now() < suspect.nextTrialAt) {
        return undefined;
      }
      // Equal requests are refused while this one claims the trial.
      suspect.nextTrialAt = Infinity;
      return suspect.trials;
    },
    trialSettled: (digest, isAnswered) => {
      const suspect = findCurrent(digest);
      if (suspect?.quarantinedAt === undefined) return;
      if (isAnswered) suspect.trials++;
      const afterMs = TRIAL_DELAYS_MS[suspect.trials] ?? Infinity;
      suspect.nextTrialAt = isAnswered
        ? suspect.quarantinedAt + afterMs
        : clock.now() + CLAIM_RETRY_MS;
    },
    merge: reports => reports.forEach(mergeOne),
    release: drop,
    nextReports: count => {
      const all = [...suspects].filter(([, suspect]) => !isExpired(suspect));
      const start = all.length === 0 ? 0 : nextIndex % all.length;
      const selected = [...all.slice(start), ...all.slice(0, start)].slice(
        0,
        count,
      );
      nextIndex = start + selected.length;
      return selected.map(([digest, suspect]) => reportOf(digest, suspect));
    },
    suspectCount: () => suspects.size,
    quarantinedCount: () =>
      [...suspects.values()].filter(it => it.quarantinedAt !== undefined)
        .length,
  };
}

function reachesThreshold({ended, good}: Suspect): boolean {
  const runs = [...good.values()].reduce((sum, count) => sum + count, 0);
  return ended.size >= QUARANTINE_THRESHOLD + THRESHOLD_PER_SUCCESS * runs;
}

/** Returns false when the replica is known or the report is full. */
function addEnded(suspect: Suspect, replicaId: string, at: number): boolean {
  const {ended} = suspect;
  if (ended.has(replicaId) || ended.size >= MAX_ENDED_REPLICAS) return false;
  ended.add(replicaId);
  suspect.endedAt = at;
  return true;
}

function reportOf(digest: string, {ended, good}: Suspect): CrashReport {
  return {digest, ended: [...ended], good: Object.fromEntries(good)};
}

function isPowerOfTwo(count: number): boolean {
  return (count & (count - 1)) === 0;
}

/** Counts successful runs of requests that are no suspects so far. */
function createSuccessCounts(clock: Clock) {
  /** Counts by digest, the newest last. */
  const runs = new Map<string, {readonly count: number; readonly at: number}>();
  const countOf = (digest: string): number => {
    const known = runs.get(digest);
    const isKept =
      known !== undefined && clock.now() - known.at <= SUCCESSES_KEPT_MS;
    return isKept ? known.count : 0;
  };
  const take = (digest: string): number => {
    const count = countOf(digest);
    runs.delete(digest);
    return count;
  };
  return {
    take,
    add: (digest: string): void => {
      const count = take(digest) + 1;
      runs.set(digest, {count, at: clock.now()});
      const [oldest] = runs.keys();
      if (runs.size > MAX_SUCCESSFUL_REQUESTS) runs.delete(oldest);
    },
  };
}
