/**
 * Keeps requests that crash replicas from being sent on: notes how each run
 * ended, and refuses what has ended too many replicas under whatever ids.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {CrashReport} from './crash_reports.js';
import type {ProbePort} from './port_probe.js';
import type {Exchange} from './exchange.js';
import {createLostRuns} from './lost_runs.js';
import {shortDigest} from './request_digest.js';
import {createSuspects} from './suspects.js';
import type {Suspects} from './suspects.js';
import type {DirectReplica} from './types.js';

/**
 * Larger bodies are digested only while there are suspects. Requests that are
 * asked again and again, whose good runs matter beforehand, are small.
 */
const DIGESTED_BYTES = 64 * 1024;

export interface CrashWatch extends Pick<
  Suspects,
  'merge' | 'release' | 'nextReports' | 'suspectCount' | 'quarantinedCount'
> {
  isQuarantined(exchange: Exchange): boolean;
  /** Whether it may be sent to a replica now; takes up its trial, if it has one. */
  maySend(exchange: Exchange): boolean;
  /** Makes a quarantined request the trial of its like, if one is due. */
  claimTrial(exchange: Exchange): Promise<boolean>;
  /** The run's connection broke, or fell silent. */
  runBroken(exchange: Exchange, replica: DirectReplica): void;
  /** The run was given up for another reason while it was under way. */
  runCancelled(exchange: Exchange, replica: DirectReplica): void;
  runSucceeded(exchange: Exchange): void;
  /** This start of a replica is known to have ended. */
  replicaEnded(replicaId: string): void;
  /** Its record was removed, and it was not told to leave. */
  recordRemoved(replicaId: string): void;
}

export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly probePort: ProbePort;
  /** Name of this entry. */
  readonly node: string;
  isLeaving(replicaId: string): boolean;
  /** The other entries should hear of it. */
  shareReport(report: CrashReport): void;
  /** It is to last; `isOwn` where this entry saw the last crash. */
  onQuarantined(report: CrashReport, isOwn: boolean): void;
  /** See `SuspectsOptions`. */
  onCleared(digest: string, isOwn: boolean): void;
  /**
   * True for one claim of all entries; undefined when nobody answered.
   */
  claimTrial(digest: string, trial: number): Promise<boolean | undefined>;
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
  const lost = createLostRuns({
    clock,
    probePort: options.probePort,
    isLeaving: options.isLeaving,
    onEnded: (digest, replica) => {
      log(DIRECT_EVENTS.replicaEnded, {digest: shortDigest(digest), replica});
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
      lost.runBroken(exchange.digest(), replica),
    runCancelled: (exchange, replica) => {
      const digest = exchange.digest();
      if (suspects.isSuspect(digest)) lost.suspectRunCancelled(digest, replica);
      else lost.runCancelled(digest, replica);
    },
    runSucceeded: exchange => {
      const isSmall = exchange.body.length <= DIGESTED_BYTES;
      if (isSmall || suspects.suspectCount() > 0)
        suspects.runSucceeded(exchange.digest());
    },
    replicaEnded: lost.replicaEnded,
    recordRemoved: lost.recordRemoved,
  };
}
