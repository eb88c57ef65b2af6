/**
 * Stops requests that crash replicas from being dispatched again. It records
 * how each run ended, and quarantines a request, or a part of prompts, whose
 * runs ended too many replicas, whatever ids the requests had.
 */
import type {Clock, Log, Random} from '../../types/runtime.js';
import {
  createGuard,
  guardClock,
  toProcess,
} from '../../utils/callback_guard.js';
import type {StepOwner} from '../../utils/callback_guard.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {Exchange} from '../exchange.js';
import type {DirectReplica} from '../types.js';
import type {CrashReport} from './crash_reports.js';
import type {PartRun, RunReplica} from './good_runs.js';
import {createLostRuns} from './lost_runs.js';
import type {ProbePort} from './port_probe.js';
import {loggedParts, shortDigest} from './request_digest.js';
import {partSubjects, requestSubject, subjectsOf} from './subjects.js';
import type {RunSubjects, Subject} from './subjects.js';
import {QUARANTINE_MS} from './suspect_table.js';
import {createSuspects} from './suspects.js';
import type {Suspects} from './suspects.js';

/**
 * Largest body, in bytes, whose successful runs are counted while no request is
 * suspect. Larger bodies are hashed only while there are suspects, which saves
 * the time. The count matters for requests that are repeated often, and those
 * are small.
 */
const MAX_ALWAYS_DIGESTED_BYTES = 64 * 1024;
/**
 * A run that ended well may count for its parts after this time, in
 * milliseconds, if its replica has not ended until then. A short answer may be
 * complete before its replica crashes.
 */
const PROOF_GRACE_MS = 1_000;
/**
 * A trial that ended well is looked at again after this time, in milliseconds:
 * the grace, and time for reports of what else ran at its replica.
 */
const TRIAL_REVIEW_MS = PROOF_GRACE_MS + 300;
/** Most parts of one run that are counted as suspects. */
const MAX_PARTS_COUNTED = 16;
/**
 * Time from the end of an answer without framing until its replica is looked
 * for, in milliseconds. A process that ends closes its connections a moment
 * before its port.
 */
const ENDED_PROBE_DELAY_MS = 20;
/**
 * An entry tells its peers that a suspect of theirs ran well after a random
 * part of this time, in milliseconds, so that few of them answer.
 */
const MAX_REPLY_DELAY_MS = 150;
/** Time for which a trial waits for a request that shows more, in milliseconds. */
const BETTER_TRIAL_WAIT_MS = 1_000;
/**
 * The same for the last trial of a subject, which stays refused if that one
 * shows nothing. Requests with parts that crash replicas may come far more often
 * than those without.
 */
const BETTER_LAST_TRIAL_WAIT_MS = 30_000;
/** Length of the random part of a claimant's name, in bytes. */
const CLAIMANT_BYTES = 6;
/** Shortest time after which a caller may ask again for a part on trial. */
const MIN_TRIAL_RETRY_MS = 1_000;

/** A quarantine that a request is refused for. */
export interface Refusal {
  readonly subject: Subject;
  /** Time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

export interface CrashWatch extends Pick<
  Suspects,
  | 'merge'
  | 'mergeRecords'
  | 'release'
  | 'nextReports'
  | 'suspectCount'
  | 'quarantinedCount'
> {
  /**
   * Resolves when it is decided whether the request's parts crash replicas, if
   * that is about to be decided.
   */
  settled(exchange: Exchange): Promise<void>;
  isQuarantined(exchange: Exchange): boolean;
  /** Why the request is refused; undefined when it is not quarantined. */
  refusalOf(exchange: Exchange): Refusal | undefined;
  /**
   * Whether the request may be sent to a replica now. A quarantined request may
   * be sent once as a trial; the call uses that trial up.
   */
  maySend(exchange: Exchange): boolean;
  /**
   * Claims the trial of a quarantined request, if one is due. Resolves with
   * whether this request may run as the trial.
   */
  claimTrial(exchange: Exchange): Promise<boolean>;
  /**
   * The request has ended. A trial that no replica has run shows nothing, so it
   * is left to another request.
   */
  requestEnded(exchange: Exchange): void;
  /** The connection of the run broke, or no more data came on it. */
  runBroken(exchange: Exchange, replica: DirectReplica): void;
  /** This entry cancelled the run before its end. */
  runCancelled(exchange: Exchange, replica: DirectReplica): void;
  /** The replica answered the request. */
  runSucceeded(exchange: Exchange): void;
  /** The replica wrote a whole successful answer to the request. */
  answerWritten(exchange: Exchange, replica: DirectReplica): void;
  /**
   * Whether the replica still listens. An answer without framing ends like this
   * too when its replica crashes.
   */
  hasSurvived(replica: DirectReplica): Promise<boolean>;
  /** The replica with this id has ended. */
  replicaEnded(replicaId: string): void;
  /** The record of a replica that was not shutting down was removed. */
  recordRemoved(replica: DirectReplica): void;
}

export interface CrashWatchOptions extends StepOwner {
  readonly clock: Clock;
  readonly log: Log;
  readonly probePort: ProbePort;
  /** Name of this entry. */
  readonly node: string;
  readonly random: Random;
  /** Whether the replica is shutting down, so that its end is not a crash. */
  isLeaving(replicaId: string): boolean;
  /** Whether the newest known start at the replica's address is this one. */
  isCurrent(replica: RunReplica): boolean;
  /** Id of the replica that is known at the address; undefined without one. */
  replicaAt(address: string): string | undefined;
  /** Sends a report to the peers, which are the other entries. */
  shareReport(report: CrashReport): void;
  /**
   * Called when a subject is quarantined, to store it. `isOwn` is true when
   * this entry observed the last crash.
   */
  onQuarantined(report: CrashReport, isOwn: boolean): void;
  /** See `SuspectsOptions`. */
  onCleared(digest: string, isOwn: boolean): void;
  /**
   * Claims a trial in the store. Resolves with true for one claimant only, also
   * when it repeats its claim, and with undefined when the store did not answer.
   */
  claimTrial(
    digest: string,
    trial: number,
    claimant: string,
  ): Promise<boolean | undefined>;
}

export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const {log, onError = toProcess} = options;
  const guard = createGuard(onError);
  const clock = guardClock(options.clock, guard, 'crashes');
  let claimant: string | undefined;
  const suspects = createSuspects({
    clock,
    self: options.node,
    replyDelayMs: () => options.random.next() * MAX_REPLY_DELAY_MS,
    confirmRuns: digest => startConfirming(digest),
    onChanged: options.shareReport,
    onQuarantined: (report, isOwn) => {
      const {digest, position, ended, good} = report;
      const shown = shortDigest(digest);
      log(DIRECT_EVENTS.quarantined, {
        digest: shown,
        position,
        ended,
        good,
        isOwn,
      });
      options.onQuarantined(report, isOwn);
    },
    onCleared: (digest, isOwn) => {
      log(DIRECT_EVENTS.quarantineEnded, {
        digest: shortDigest(digest),
        reason: 'runs of it ended well',
      });
      options.onCleared(digest, isOwn);
    },
  });

  /** What the requests that run as trials are trials of. */
  const trialDigests = new WeakMap<Exchange, string>();
  const isAlive = async (replica: RunReplica): Promise<boolean> =>
    options.isCurrent(replica) &&
    !hasEnded(replica.id) &&
    (await options.probePort(replica.address)) === 'open';
  const hasAliveOne = async (runs: readonly PartRun[]): Promise<boolean> => {
    for (const {replica} of runs) if (await isAlive(replica)) return true;
    return false;
  };
  /** Resolves with whether a run with the part ended well and is confirmed. */
  const confirmRuns = async (digest: string): Promise<boolean> => {
    const runs = suspects.lastPartRuns(digest);
    const isConfirmed = await hasAliveOne(runs);
    if (isConfirmed) suspects.partRanWell(digest);
    // Runs that ended in the meantime have not been looked up.
    else suspects.forgetPartRuns(digest, runs);
    return isConfirmed;
  };
  const startConfirming = guard('runs of a part', async (digest: string) => {
    await confirmRuns(digest);
  });
  /** Counts the end against the part, unless the part ran well elsewhere. */
  const partEnded = async (
    {digest, type}: Subject,
    replicaId: string,
  ): Promise<void> => {
    const isProven = await confirmRuns(digest);
    if (!isProven) suspects.replicaEnded(digest, replicaId, type);
  };
  /** The parts that may have crashed the replica, known suspects first. */
  const unprovenParts = ({parts}: RunSubjects): readonly Subject[] => {
    const unproven = parts.filter(({digest}) => !suspects.isProven(digest));
    const known = unproven.filter(({digest}) => suspects.isSuspect(digest));
    const others = unproven.filter(({digest}) => !suspects.isSuspect(digest));
    return [...known, ...others].slice(0, MAX_PARTS_COUNTED);
  };
  const lost = createLostRuns<RunSubjects>({
    clock,
    onError,
    probePort: options.probePort,
    isLeaving: options.isLeaving,
    replicaAt: options.replicaAt,
    onEnded: (run, replica) => {
      const {requestId, request, parts} = run;
      const unproven = unprovenParts(run);
      log(DIRECT_EVENTS.replicaEnded, {
        requestId,
        digest: shortDigest(request.digest),
        parts: loggedParts(parts.map(({digest}) => digest)),
        unproven: loggedParts(unproven.map(({digest}) => digest)),
        replica,
      });
      suspects.replicaEnded(request.digest, replica, request.type);
      for (const part of unproven)
        guard('end of a part', partEnded)(part, replica);
    },
  });

  const quarantinedSubjects = (exchange: Exchange): readonly Subject[] => {
    const requests =
      suspects.quarantinedCount('request') > 0
        ? [requestSubject(exchange)]
        : [];
    // Of what entries of earlier versions pass on, the type is not known.
    return [...requests, ...partSubjects(exchange)].filter(({digest}) =>
      suspects.isQuarantined(digest),
    );
  };
  const isQuarantined = (exchange: Exchange) =>
    quarantinedSubjects(exchange).length > 0;
  /**
   * The subject that a run of the request would be a trial of. Beside a part
   * that may be guilty instead, a crash would show nothing of the subject: any
   * part that has crashed a replica and has not run well since, unless refused
   * parts of other requests explain its crashes. Such a request is taken where
   * no better one came for a while.
   */
  const trialSubject = (exchange: Exchange): Subject | undefined => {
    const [subject, ...others] = quarantinedSubjects(exchange);
    if (subject === undefined || others.length > 0) return undefined;
    const waitMs = suspects.isOnLastTrial(subject.digest)
      ? BETTER_LAST_TRIAL_WAIT_MS
      : BETTER_TRIAL_WAIT_MS;
    const isOverdue = suspects.nextTrialInMs(subject.digest) <= -waitMs;
    const parts = exchange.partDigests();
    const isClear = parts.every(
      it => it === subject.digest || !suspects.isUnexplained(it, parts),
    );
    return isClear || isOverdue ? subject : undefined;
  };
  const isSuspect = (exchange: Exchange): boolean => {
    if (suspects.suspectCount() === 0) return false;
    const {request, parts} = subjectsOf(exchange);
    return [request, ...parts].some(({digest}) => suspects.isSuspect(digest));
  };
  /** `trial` is undefined for one that another request left unused. */
  const startTrial = (exchange: Exchange, digest: string, trial?: number) => {
    exchange.isTrial = true;
    trialDigests.set(exchange, digest);
    const shown = shortDigest(digest);
    log(DIRECT_EVENTS.trial, {requestId: exchange.id, digest: shown, trial});
  };
  /**
   * The trial ended well. If its replica ended soon after, that shows nothing
   * where a refused part of another request ran there, so the trial is repeated.
   * The trials of that part bound how often.
   */
  const reviewTrial = (exchange: Exchange, replicaId: string): void => {
    const digest = trialDigests.get(exchange);
    if (digest === undefined) return;
    const parts = exchange.partDigests();
    clock.after(TRIAL_REVIEW_MS, () => {
      if (suspects.endedUnderRefused(replicaId, parts))
        suspects.trialUnused(digest);
    });
  };
  const hasEnded = (replicaId: string): boolean =>
    suspects.hasEnded(replicaId) || lost.hasEnded(replicaId);

  return {
    merge: suspects.merge,
    mergeRecords: suspects.mergeRecords,
    nextReports: suspects.nextReports,
    suspectCount: suspects.suspectCount,
    quarantinedCount: suspects.quarantinedCount,
    release: digest => {
      suspects.release(digest);
      log(DIRECT_EVENTS.quarantineEnded, {
        digest: shortDigest(digest),
        reason: 'released',
      });
    },
    settled: async exchange => {
      if (suspects.suspectCount() === 0) return;
      const waits = exchange.partDigests().map(suspects.judgedInMs);
      const waitMs = Math.max(0, ...waits);
      if (waitMs === 0) return;
      await new Promise<void>(resolve => void clock.after(waitMs, resolve));
    },
    isQuarantined,
    refusalOf: exchange => {
      const [subject] = quarantinedSubjects(exchange);
      if (subject === undefined) return undefined;
      const trialInMs = suspects.nextTrialInMs(subject.digest);
      const isPartOnTrial =
        subject.type.kind === 'part' && Number.isFinite(trialInMs);
      const retryAfterMs = isPartOnTrial
        ? Math.max(MIN_TRIAL_RETRY_MS, trialInMs)
        : QUARANTINE_MS;
      return {subject, retryAfterMs};
    },
    maySend: exchange => {
      if (!isQuarantined(exchange)) return true;
      const {isTrial} = exchange;
      exchange.isTrial = false;
      return isTrial;
    },
    claimTrial: async exchange => {
      const subject = trialSubject(exchange);
      if (subject === undefined) return false;
      const {digest} = subject;
      if (suspects.takeUnusedTrial(digest)) {
        startTrial(exchange, digest);
        return true;
      }
      const trial = suspects.dueTrial(digest);
      if (trial === undefined) return false;
      claimant ??= `${options.node}-${options.random.hex(CLAIMANT_BYTES)}`;
      const isGained = await options
        .claimTrial(digest, trial, claimant)
        .catch((err: unknown) => {
          onError(err, 'claim for a trial');
          return undefined;
        });
      suspects.trialSettled(digest, isGained !== undefined);
      if (isGained !== true) return false;
      startTrial(exchange, digest, trial);
      return true;
    },
    requestEnded: exchange => {
      const digest = trialDigests.get(exchange);
      if (digest !== undefined && exchange.isTrial) {
        suspects.trialUnused(digest);
      }
    },
    runBroken: (exchange, replica) =>
      lost.runBroken(subjectsOf(exchange), replica),
    runCancelled: (exchange, replica) => {
      const run = subjectsOf(exchange);
      if (isSuspect(exchange)) lost.suspectRunCancelled(run, replica);
      else lost.runCancelled(run, replica);
    },
    runSucceeded: exchange => {
      const isSmall = exchange.body.length <= MAX_ALWAYS_DIGESTED_BYTES;
      if (isSmall || suspects.suspectCount() > 0)
        suspects.runSucceeded(exchange.digest());
    },
    answerWritten: (exchange, {id, address}) => {
      const parts = exchange.partDigests();
      if (parts.length === 0) return;
      const replica = {id, address};
      reviewTrial(exchange, id);
      clock.after(PROOF_GRACE_MS, () => {
        if (hasEnded(id)) return;
        for (const digest of parts) {
          suspects.partSeemedToRunWell(digest, replica);
          if (suspects.isSuspect(digest)) startConfirming(digest);
        }
      });
    },
    hasSurvived: async ({id, address}) => {
      await new Promise<void>(
        resolve => void clock.after(ENDED_PROBE_DELAY_MS, resolve),
      );
      if (options.isLeaving(id)) return true;
      return (await options.probePort(address)) !== 'refused';
    },
    replicaEnded: lost.replicaEnded,
    recordRemoved: lost.recordRemoved,
  };
}
