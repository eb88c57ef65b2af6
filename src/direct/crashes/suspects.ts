/**
 * Finds requests, and parts of prompts, that crash the replicas which run them
 * ("queries of death"). Such a request is repeated under new ids and at any
 * entry, and such a part comes in requests of which no two are alike.
 * Undetected, they crash one replica after another, with all requests that run
 * there.
 *
 * A replica that ends during a run counts against the request and against the
 * parts that have not run well lately, and a successful run counts for them.
 * Replicas also crash for other reasons, and a frequent request runs at many of
 * them. The merge of the entries' reports is commutative, so all entries reach
 * the same result.
 */
import type {Clock} from '../../types/runtime.js';
import {typeOf} from './crash_reports.js';
import type {CrashReport} from './crash_reports.js';
import {createGoodRuns} from './good_runs.js';
import type {PartRun, RunReplica} from './good_runs.js';
import {createPartJudgement} from './part_judgement.js';
import {isExplained} from './part_verdict.js';
import {createRecentEnds} from './recent_ends.js';
import {createReplies} from './replies.js';
import {REQUEST} from './subjects.js';
import {
  ENOUGH_SUCCESSES,
  earlierOf,
  reachesThreshold,
  reportOf,
  successesElsewhere,
  successesOf,
} from './suspect.js';
import type {Suspect} from './suspect.js';
import {createSuspectTable} from './suspect_table.js';
import type {SubjectKind, SubjectType} from './subjects.js';

/**
 * Reports of a released subject are ignored for this long, so that one that was
 * on its way does not undo the release.
 */
const RELEASE_GRACE_MS = 5_000;

export interface SuspectsOptions {
  readonly clock: Clock;
  /** Name of this entry. */
  readonly self: string;
  /**
   * Delay before peers are told that a suspect of theirs ran well here. Drawn
   * apart, one entry answers for many. @default no delay
   */
  replyDelayMs?(): number;
  /**
   * A peer suspects a part whose last runs here seemed to end well. `partRanWell`
   * is to be called if one of their replicas is alive. @default nothing
   */
  confirmRuns?(digest: string): void;
  /** Called with a report that the peers should get. */
  onChanged(report: CrashReport): void;
  /**
   * A subject is refused from now on. `isOwn` is true when this entry observed
   * the last crash.
   */
  onQuarantined(report: CrashReport, isOwn: boolean): void;
  /**
   * A subject is no longer refused. `isOwn` is true when the last successful
   * run was at this entry.
   */
  onCleared(digest: string, isOwn: boolean): void;
}

export interface Suspects {
  /** Records that a replica ended while it ran the subject. */
  replicaEnded(digest: string, replicaId: string, type?: SubjectType): void;
  /** Records a successful run of the request. */
  runSucceeded(digest: string): void;
  /**
   * Records that a run with the part ended well, as it seems. Only a replica
   * that is alive afterwards shows it.
   */
  partSeemedToRunWell(digest: string, replica: RunReplica): void;
  /** The last runs with the part that seemed to end well, one a replica. */
  lastPartRuns(digest: string): readonly PartRun[];
  /** None of the replicas is known to have survived these runs. */
  forgetPartRuns(digest: string, runs: readonly PartRun[]): void;
  /** Records that a run with the part ended well and its replica survived. */
  partRanWell(digest: string): void;
  /** Whether a run with the part ended well lately, and its replica survived. */
  isProven(digest: string): boolean;
  /** Whether a replica has ended during a run of the subject. */
  isSuspect(digest: string): boolean;
  isQuarantined(digest: string): boolean;
  /**
   * Whether the part may crash replicas by itself: not if a refused part that is
   * none of `beside` also ran at each replica that ended under it.
   */
  isUnexplained(digest: string, beside: readonly string[]): boolean;
  /** Whether a refused part that is none of `beside` ran where the replica ended. */
  endedUnderRefused(replicaId: string, beside: readonly string[]): boolean;
  /** Time until the part is judged, in milliseconds; 0 when it is not due. */
  judgedInMs(digest: string): number;
  /** Whether the replica is known to have ended in the last seconds. */
  hasEnded(replicaId: string): boolean;
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
  /**
   * The trial that this entry has claimed did not run, so that another request
   * may run as it; see `takeUnusedTrial`.
   */
  trialUnused(digest: string): void;
  /** Takes a trial that is due again after `trialUnused`, if there is one. */
  takeUnusedTrial(digest: string): boolean;
  /**
   * Time until the next trial, in milliseconds; negative when it is overdue,
   * infinite when none is planned.
   */
  nextTrialInMs(digest: string): number;
  /** Whether no further trial follows the next one. */
  isOnLastTrial(digest: string): boolean;
  /** Merges reports of a peer. */
  merge(reports: readonly CrashReport[]): void;
  /**
   * Merges what the store has recorded as refused. Another entry has judged it,
   * so it is refused here as well, unless it ran well.
   */
  mergeRecords(reports: readonly CrashReport[]): void;
  /** Ends the quarantine that an operator has released. */
  release(digest: string): void;
  /** The next `count` reports, in rotation, to send to a peer. */
  nextReports(count: number): readonly CrashReport[];
  suspectCount(): number;
  quarantinedCount(kind?: SubjectKind): number;
}

export function createSuspects(options: SuspectsOptions): Suspects {
  const {clock, self} = options;
  const suspects = createSuspectTable(clock, self);
  /** End of the grace after a release, by digest. */
  const released = new Map<string, number>();
  const recentEnds = createRecentEnds(clock);
  const goodRuns = createGoodRuns(clock);
  const replies = createReplies(clock, options.replyDelayMs ?? (() => 0));

  const quarantine = (
    digest: string,
    suspect: Suspect,
    isOwn: boolean,
  ): void => {
    suspects.quarantine(digest, suspect);
    options.onQuarantined(reportOf(digest, suspect), isOwn);
  };
  const judgement = createPartJudgement(clock, suspects, (digest, suspect) =>
    quarantine(digest, suspect, suspect.isOwn),
  );

  const findOrAdd = (digest: string, type: SubjectType): Suspect =>
    suspects.find(digest) ??
    suspects.add(digest, type, goodRuns.takeRequest(digest));
  const drop = (digest: string): void => {
    suspects.forget(digest);
    released.set(digest, clock.now() + RELEASE_GRACE_MS);
    for (const [key, until] of released) {
      if (until <= clock.now()) released.delete(key);
    }
  };

  const updateRequest = (
    digest: string,
    suspect: Suspect,
    isOwn: boolean,
  ): void => {
    const wasQuarantined = suspect.trials !== undefined;
    if (reachesThreshold(suspect) === wasQuarantined) return;
    if (!wasQuarantined) return quarantine(digest, suspect, isOwn);
    suspects.endRequestQuarantine(digest, suspect);
    options.onCleared(digest, isOwn);
  };

  /** The part ran well, so what it seemed to explain is judged anew. */
  const clearPart = (
    digest: string,
    {trials}: Suspect,
    isOwn: boolean,
  ): void => {
    suspects.forget(digest);
    judgement.judgeSoon();
    if (trials !== undefined) options.onCleared(digest, isOwn);
  };

  const mergePart = (
    report: CrashReport,
    type: SubjectType & {readonly kind: 'part'},
  ): void => {
    const {digest, ended} = report;
    const known = suspects.find(digest);
    if (successesOf(Object.values(report.good)) > 0) {
      goodRuns.provePart(digest);
      replies.heard(digest);
      if (known !== undefined) clearPart(digest, known, false);
      return;
    }
    if (goodRuns.isProven(digest)) {
      replies.schedule(digest, () =>
        options.onChanged({...report, good: {[self]: 1}}),
      );
      return;
    }
    const suspect = findOrAdd(digest, type);
    // Different prompts may have the part at different places.
    suspect.type = earlierOf(suspect.type, type);
    for (const id of ended) suspects.addEnded(digest, suspect, id, false);
    judgement.judgeIfDue(suspect);
    if (goodRuns.lastPartRuns(digest).length === 0) return;
    replies.schedule(digest, () => options.confirmRuns?.(digest));
  };
  const mergeRequest = (report: CrashReport): void => {
    const {digest} = report;
    const known = suspects.find(digest);
    const suspect = findOrAdd(digest, REQUEST);
    for (const id of report.ended) {
      suspects.addEnded(digest, suspect, id, false);
    }
    for (const [node, count] of Object.entries(report.good)) {
      suspect.good.set(node, Math.max(suspect.good.get(node) ?? 0, count));
    }
    // The sender of the report does not know of successful runs at this entry.
    const isNewHere = known === undefined && suspect.good.has(self);
    if (isNewHere) {
      replies.schedule(digest, () => {
        if (successesElsewhere(suspect, self) >= ENOUGH_SUCCESSES) return;
        options.onChanged(reportOf(digest, suspect));
      });
    }
    updateRequest(digest, suspect, false);
  };
  const mergeOne = (report: CrashReport): void => {
    report.ended.forEach(recentEnds.add);
    if ((released.get(report.digest) ?? -Infinity) > clock.now()) return;
    if (report.ended.length === 0) return;
    // Entries of earlier versions pass reports of parts on without their type.
    const stated = typeOf(report);
    const type =
      stated.kind === 'part'
        ? stated
        : (suspects.find(report.digest)?.type ?? stated);
    if (type.kind === 'part') mergePart(report, type);
    else mergeRequest(report);
  };
  const mergeRecord = (record: CrashReport): void => {
    mergeOne(record);
    const suspect = suspects.find(record.digest);
    const isRefused = suspect === undefined || suspect.trials !== undefined;
    // A request is refused by its ends, which the record names.
    if (isRefused || suspect.type.kind === 'request') return;
    quarantine(record.digest, suspect, false);
  };

  return {
    replicaEnded: (digest, replicaId, type = REQUEST) => {
      recentEnds.add(replicaId);
      const isPart = type.kind === 'part';
      if (isPart && goodRuns.isProven(digest)) return;
      const suspect = findOrAdd(digest, type);
      suspect.type = earlierOf(suspect.type, type);
      if (!suspects.addEnded(digest, suspect, replicaId, true)) return;
      options.onChanged(reportOf(digest, suspect));
      if (isPart) judgement.judgeIfDue(suspect);
      else updateRequest(digest, suspect, true);
    },
    runSucceeded: digest => {
      const suspect = suspects.find(digest);
      if (suspect === undefined) {
        goodRuns.addRequest(digest);
        return;
      }
      // The run was a trial, and a crashing request would have failed it.
      if (suspect.trials !== undefined) {
        drop(digest);
        options.onCleared(digest, true);
        return;
      }
      const count = (suspect.good.get(self) ?? 0) + 1;
      suspect.good.set(self, count);
      // Limits the reports of a frequent request: not one for each run.
      const isNews =
        isPowerOfTwo(count) &&
        successesElsewhere(suspect, self) < ENOUGH_SUCCESSES;
      if (isNews) options.onChanged(reportOf(digest, suspect));
      updateRequest(digest, suspect, true);
    },
    partSeemedToRunWell: goodRuns.addPartRun,
    lastPartRuns: goodRuns.lastPartRuns,
    forgetPartRuns: goodRuns.forgetPartRuns,
    partRanWell: digest => {
      goodRuns.provePart(digest);
      const suspect = suspects.find(digest);
      if (suspect === undefined) return;
      suspect.good.set(self, 1);
      options.onChanged(reportOf(digest, suspect));
      clearPart(digest, suspect, true);
    },
    isProven: goodRuns.isProven,
    isSuspect: digest => suspects.find(digest) !== undefined,
    isQuarantined: digest => suspects.find(digest)?.trials !== undefined,
    isUnexplained: (digest, beside) => {
      const suspect = suspects.find(digest);
      if (suspect === undefined) return false;
      return !isExplained(suspect.ended, suspects.endedUnderParts(beside));
    },
    endedUnderRefused: (replicaId, beside) =>
      suspects.endedUnderParts(beside).some(ended => ended.has(replicaId)),
    judgedInMs: judgement.judgedInMs,
    hasEnded: recentEnds.has,
    dueTrial: digest =>
      suspects.find(digest)?.trials?.claim(suspects.rankOf(digest)),
    trialSettled: (digest, isAnswered) =>
      suspects.find(digest)?.trials?.settled(isAnswered),
    trialUnused: digest => suspects.find(digest)?.trials?.unused(),
    takeUnusedTrial: digest =>
      suspects.find(digest)?.trials?.takeUnused(suspects.rankOf(digest)) ??
      false,
    nextTrialInMs: digest =>
      suspects.find(digest)?.trials?.dueInMs(suspects.rankOf(digest)) ??
      Infinity,
    isOnLastTrial: digest => suspects.find(digest)?.trials?.isOnLast() ?? false,
    merge: reports => reports.forEach(mergeOne),
    mergeRecords: reports => reports.forEach(mergeRecord),
    release: drop,
    nextReports: suspects.nextReports,
    suspectCount: suspects.size,
    quarantinedCount: suspects.quarantinedCount,
  };
}

function isPowerOfTwo(count: number): boolean {
  return (count & (count - 1)) === 0;
}
