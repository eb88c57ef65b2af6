/** Messages between the services of a direct entry. */
import type {CrashReport} from './crash_reports.js';
import type {ReplicaLoad} from './replica_load.js';
import type {
  DirectConfig,
  DirectReplica,
  EntryAddress,
  PeerAnswer,
  StoreKnowledge,
} from './types.js';

/** Messages to the front, which serves callers. */
export type DirectMessage =
  /** A newer configuration. */
  | {readonly kind: 'config'; readonly config: DirectConfig}
  /**
   * The configuration is known to be the newest as of `asOf`; see
   * `StoreEvidence.confirm`.
   */
  | {
      readonly kind: 'confirmed';
      readonly asOf: number;
      readonly askedAt: number;
    }
  /** All known replicas, by name. */
  | {
      readonly kind: 'replicas';
      readonly replicas: ReadonlyMap<string, DirectReplica>;
    }
  /** Replicas that changed, by name; an undefined value marks a removed one. */
  | {
      readonly kind: 'replica-changes';
      readonly replicas: ReadonlyMap<string, DirectReplica | undefined>;
    }
  /** Until this time only a peer's answer can confirm keys. */
  | {readonly kind: 'keys-unconfirmed'; readonly until: number}
  /** A call to the store failed, so records of replicas may have expired. */
  | {readonly kind: 'store-failed'}
  /** The store was restored from an older copy. */
  | {readonly kind: 'store-restored'}
  /** Asks for the age of the newest evidence for keys, in milliseconds. */
  | {readonly kind: 'evidence-age'; readonly reply: (ageMs: number) => void}
  /** The complete load that a peer reported. */
  | {
      readonly kind: 'peer-load';
      readonly node: string;
      readonly loads: readonly ReplicaLoad[];
      /** See `LoadTracker.setPeerLoad`. */
      readonly keepMs: number;
    }
  /** A peer or the store reports requests that crash replicas. */
  | {
      readonly kind: 'crash-reports';
      readonly reports: readonly CrashReport[];
    }
  /** The quarantine record with this digest was removed. */
  | {readonly kind: 'quarantine-released'; readonly digest: string}
  /** Number of live entries, including this one. */
  | {readonly kind: 'entries'; readonly count: number}
  /** Asks whether this entry is ready to serve callers. */
  | {readonly kind: 'ready'; readonly reply: (ready: boolean) => void}
  /** Asks for the number of open requests. */
  | {readonly kind: 'count'; readonly reply: (open: number) => void}
  /** Starts to drain; replies when requests have ended or the grace is over. */
  | {readonly kind: 'drain'; readonly reply: () => void};

/** Messages to the service that follows the store. */
export type StoreFollowerMessage =
  /**
   * Asks the store and a peer at once whether the configuration is still the
   * newest.
   */
  | {readonly kind: 'confirm'}
  /** The front restarted and needs the current state again. */
  | {readonly kind: 'resend-state'}
  /**
   * Trial runs of a quarantined request ended well. `isOwn` is true where this
   * entry saw the last of them.
   */
  | {
      readonly kind: 'quarantine-cleared';
      readonly digest: string;
      readonly isOwn: boolean;
    }
  | {
      readonly kind: 'claim-trial';
      readonly digest: string;
      readonly trial: number;
      /**
       * True where this entry got the claim; undefined when the store did not
       * answer.
       */
      readonly reply: (isClaimed: boolean | undefined) => void;
    }
  /** Number of live entries, including this one. */
  | {readonly kind: 'entries'; readonly count: number}
  /**
   * Asks to store a quarantine record. `isOwn` is true where this entry saw the
   * last crash.
   */
  | {
      readonly kind: 'quarantined';
      readonly report: CrashReport;
      readonly isOwn: boolean;
    }
  | {
      readonly kind: 'knowledge';
      readonly reply: (knowledge: StoreKnowledge) => void;
    }
  | {readonly kind: 'state'; readonly reply: (state: StoreState) => void};

/** All that an entry knows from the store. */
export interface StoreState {
  readonly config: DirectConfig | undefined;
  /** Replicas by name. */
  readonly replicas: ReadonlyMap<string, DirectReplica>;
}

/**
 * Messages to the service that hands knowledge of the store from one entry to
 * another.
 */
export type HandoverMessage =
  | {
      readonly kind: 'fetch-config';
      readonly from: Pick<EntryAddress, 'ip' | 'port'>;
      /** Called with undefined when no valid configuration was received. */
      readonly reply: (config: DirectConfig | undefined) => void;
    }
  | {
      readonly kind: 'fetch-replicas';
      readonly from: Pick<EntryAddress, 'ip' | 'port'>;
      readonly reply: (
        replicas: ReadonlyMap<string, DirectReplica> | undefined,
      ) => void;
    };

/** Messages to the service that exchanges datagrams with peers. */
export type SharingMessage =
  | {
      readonly kind: 'load';
      readonly loads: readonly ReplicaLoad[];
      /** Whether the change added a long prefill. */
      readonly hasLongPrefill: boolean;
    }
  /** Sends crash reports to all peers, or to one live peer chosen at random. */
  | {
      readonly kind: 'crash-reports';
      readonly reports: readonly CrashReport[];
      readonly toAll: boolean;
    }
  /**
   * The store was restored from an older copy that may lack this entry's own
   * record.
   */
  | {readonly kind: 'store-restored'}
  /** The front restarted and needs the current state again. */
  | {readonly kind: 'resend-state'}
  /** This entry takes no new work and must no longer be found by peers. */
  | {readonly kind: 'draining'}
  /** Asks whether a known peer has this IP address. */
  | {
      readonly kind: 'is-entry';
      readonly ip: string;
      readonly reply: (isEntry: boolean) => void;
    }
  /**
   * Queries a peer's knowledge of the store; replies with undefined when none
   * answers.
   */
  | {
      readonly kind: 'query-peer';
      /**
       * Whether peers may be queried that in turn rely on this entry's answers.
       * This is needed when the store refuses this entry, because the peers
       * that it usually queries may be gone.
       */
      readonly anyPeer: boolean;
      readonly reply: (answer: PeerAnswer | undefined) => void;
    };

declare module '../types/kernel.js' {
  interface ServiceMessages {
    direct: DirectMessage;
    followed: StoreFollowerMessage;
    handover: HandoverMessage;
    sharing: SharingMessage;
  }
}
