/**
 * Stops requests that crash replicas from being dispatched again. It records
 * how each run ended, and quarantines a request whose runs ended too many
 * replicas, whatever request ids it had.
 */
import type {Clock, Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {CrashReport} from './crash_reports.js';
import type {ProbePort} from './port_probe.js';
import type {Exchange} from '../exchange.js';
import {createLostRuns} from './lost_runs.js';
import {loggedParts, shortDigest} from './request_digest.js';
import {createSuspects} from './suspects.js';
import type {Suspects} from './suspects.js';
import type {DirectReplica} from '../types.js';

/**
 * Largest body, in bytes, whose successful runs are counted while no request is
 * suspect. Larger bodies are hashed only while there are suspects, which saves
 * the time. The count matters for requests that are repeated often, and those
 * are small.
 */
const MAX_ALWAYS_DIGESTED_BYTES = 64 * 1024;
/**
 * Time from the end of an answer without framing until its replica is looked
 * for, in milliseconds. A process that ends closes its connections a moment
 * before its port.
 */
const ENDED_PROBE_DELAY_MS = 20;

export interface CrashWatch extends Pick<
  Suspects,
  'merge' | 'release' | 'nextReports' | 'suspectCount' | 'quarantinedCount'
> {
  isQuarantined(exchange: Exchange): boolean;
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
  /** The connection of the run broke, or no more data came on it. */
  runBroken(exchange: Exchange, replica: DirectReplica): void;
  /** This entry cancelled the run before its end. */
  runCancelled(exchange: Exchange, replica: DirectReplica): void;
  runSucceeded(exchange: Exchange): void;
  /**
   * Whether the replica still listens. An answer without framing ends like this
   * too when its replica crashes.
   */
  hasSurvived(replica: DirectReplica): Promise<boolean>;
  /** The replica with this id has ended. */
  replicaEnded(replicaId: string): void;
  /** The record of a replica that was not shutting down was removed. */
  recordRemoved(replicaId: string): void;
}

export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly probePort: ProbePort;
  /** Name of this entry. */
  readonly node: string;
  /** Whether the replica is shutting down, so that its end is not a crash. */
  isLeaving(replicaId: string): boolean;
  /** Sends a report to the peers, which are the other entries. */
  shareReport(report: CrashReport): void;
  /**
   * Called when a request is quarantined, to store it. `isOwn` is true when
   * this entry observed the last crash.
   */
  onQuarantined(report: CrashReport, isOwn: boolean): void;
  /** See `SuspectsOptions`. */
  onCleared(digest: string, isOwn: boolean): void;
  /**
   * Claims a trial in the store. Resolves with true for one entry only, and
   * with undefined when the store did not answer.
   */
  claimTrial(digest: string, trial: number): Promise<boolean | undefined>;
}

/** What a run holds that may have crashed its replica. */
interface RunSubjects {
  readonly requestId: string;
  /** Digest of the request. */
  readonly digest: string;
  /** Digests of the shared parts of its prompt. */
  readonly parts: readonly string[];
}

function subjectsOf(exchange: Exchange): RunSubjects {
  return {
    requestId: exchange.id,
    digest: exchange.digest(),
    parts: exchange.partDigests(),
  };
}

export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const {clock, log} = options;
  const suspects = createSuspects({
    clock,
    self: options.node,
    onChanged: options.shareReport,
    onQuarantined: (report, isOwn) => {
      const {digest, ended, good} = report;
      const shown = shortDigest(digest);
      log(DIRECT_EVENTS.quarantined, {digest: shown, ended, good, isOwn});
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
  const lost = createLostRuns<RunSubjects>({
    clock,
    probePort: options.probePort,
    isLeaving: options.isLeaving,
    onEnded: ({requestId, digest, parts}, replica) => {
      log(DIRECT_EVENTS.replicaEnded, {
        requestId,
        digest: shortDigest(digest),
        parts: loggedParts(parts),
        replica,
      });
      suspects.replicaEnded(digest, replica);
    },
  });
  const isQuarantined = (exchange: Exchange) =>
    suspects.suspectCount() > 0 && suspects.isQuarantined(exchange.digest());
  return {
    merge: suspects.merge,
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
    isQuarantined,
    maySend: exchange => {
      if (!isQuarantined(exchange)) return true;
      const {isTrial} = exchange;
      exchange.isTrial = false;
      return isTrial;
    },
    claimTrial: async exchange => {
      const digest = exchange.digest();
      const trial = suspects.dueTrial(digest);
      if (trial === undefined) return false;
      const isGained = await options.claimTrial(digest, trial);
      suspects.trialSettled(digest, isGained !== undefined);
      exchange.isTrial = isGained === true;
      if (exchange.isTrial) {
        const shown = shortDigest(digest);
        log(DIRECT_EVENTS.trial, {
          requestId: exchange.id,
          digest: shown,
          trial,
        });
      }
      return exchange.isTrial;
    },
    runBroken: (exchange, replica) =>
      lost.runBroken(subjectsOf(exchange), replica),
    runCancelled: (exchange, replica) => {
      const digest = exchange.digest();
      if (suspects.isSuspect(digest)) {
        lost.suspectRunCancelled(subjectsOf(exchange), replica);
      } else {
        lost.runCancelled(subjectsOf(exchange), replica);
      }
    },
    runSucceeded: exchange => {
      const isSmall = exchange.body.length <= MAX_ALWAYS_DIGESTED_BYTES;
      if (isSmall || suspects.suspectCount() > 0)
        suspects.runSucceeded(exchange.digest());
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
