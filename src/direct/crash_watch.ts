/**
 * Keeps requests that crash replicas from being sent on: notes how each run
 * ended, and refuses what has ended too many replicas under whatever ids.
 */
import type {Clock, Log} from '../types/runtime.js';
import {DIRECT_EVENTS} from '../utils/events.js';
import type {CrashReport} from './crash_reports.js';
import type {Dial} from './port_probe.js';
import type {Exchange} from './exchange.js';
import {createLostRuns} from './lost_runs.js';
import {shownDigest} from './request_digest.js';
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
  'merge' | 'release' | 'next' | 'size' | 'quarantined'
> {
  isQuarantined(exchange: Exchange): boolean;
  /** Whether it may be sent to a replica now; takes up its trial, if it has one. */
  maySend(exchange: Exchange): boolean;
  /** Makes a quarantined request the trial of its like, if one is due. */
  claimTrial(exchange: Exchange): Promise<boolean>;
  /** The run's connection broke, or fell silent. */
  broke(exchange: Exchange, replica: DirectReplica): void;
  /** The run was given up for another reason while it was under way. */
  left(exchange: Exchange, replica: DirectReplica): void;
  ranWell(exchange: Exchange): void;
  /** This start of a replica is known to have ended. */
  replicaEnded(replicaId: string): void;
  /** Its record was removed, and it was not told to leave. */
  recordGone(replicaId: string): void;
}

export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly dial: Dial;
  /** Name of this entry. */
  readonly node: string;
  isLeaving(replicaId: string): boolean;
  /** The other entries should hear of it. */
  tell(report: CrashReport): void;
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
    onNews: options.tell,
    onQuarantined: (report, isOwn) => {
      const {digest, ended, good} = report;
      const shown = shownDigest(digest);
      log(DIRECT_EVENTS.quarantined, {digest: shown, ended, good, isOwn});
      options.onQuarantined(report, isOwn);
    },
    onCleared: (digest, isOwn) => {
      log(DIRECT_EVENTS.quarantineEnded, {
        digest: shownDigest(digest),
        reason: 'runs of it ended well',
      });
      options.onCleared(digest, isOwn);
    },
  });
  const lost = createLostRuns({
    clock,
    dial: options.dial,
    isLeaving: options.isLeaving,
    onEnded: (digest, replica) => {
      log(DIRECT_EVENTS.replicaEnded, {digest: shownDigest(digest), replica});
      suspects.ended(digest, replica);
    },
  });
  const isQuarantined = (exchange: Exchange) =>
    suspects.size() > 0 && suspects.isQuarantined(exchange.digest());
  return {
    merge: suspects.merge,
    next: suspects.next,
    size: suspects.size,
    quarantined: suspects.quarantined,
    release: digest => {
      suspects.release(digest);
      log(DIRECT_EVENTS.quarantineEnded, {
        digest: shownDigest(digest),
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
        const shown = shownDigest(digest);
        log(DIRECT_EVENTS.trial, {
          requestId: exchange.id,
          digest: shown,
          trial,
        });
      }
      return exchange.isTrial;
    },
    broke: (exchange, replica) => lost.broke(exchange.digest(), replica),
    left: (exchange, replica) => {
      const digest = exchange.digest();
      if (suspects.isKnown(digest)) lost.leftSuspect(digest, replica);
      else lost.left(digest, replica);
    },
    ranWell: exchange => {
      const isSmall = exchange.body.length <= DIGESTED_BYTES;
      if (isSmall || suspects.size() > 0) suspects.ranWell(exchange.digest());
    },
    replicaEnded: lost.replicaEnded,
    recordGone: lost.recordGone,
  };
}
