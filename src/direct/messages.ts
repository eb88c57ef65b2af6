/**
 * Messages between the services of a direct entry: an entry process that sends
 * callers' requests to replicas itself, without a side in between. The service
 * `direct`, the front, serves callers. `followed` follows the platform's store.
 * `sharing` exchanges datagrams with peers, the other entries. `handover` fetches
 * the store's content from peers and serves it to them.
 */
import type {CrashReport} from './crashes/crash_reports.js';
import type {
  LimitAudience,
  LimitReport,
  PermitAnswer,
  PermitAsk,
} from './limits/limit_messages.js';
import type {EvidenceOrigin} from './evidence.js';
import type {GrantingEntries} from './limits/granting_entries.js';
import type {LoadChanges} from './load_broadcast.js';
import type {PeerLoad, ReplicaLoad} from './replica_load.js';
import type {ShareReport} from './shares/share_messages.js';
import type {
  DirectConfig,
  DirectReplica,
  EntryAddress,
  PeerAnswer,
  StoreKnowledge,
} from './types.js';

/** The newest evidence from the store that an entry has. */
export interface EvidenceReport {
  /** In milliseconds; infinite without evidence. */
  readonly ageMs: number;
  /** Name of the entry whose call it is; undefined without evidence. */
  readonly source: string | undefined;
}

/** Messages to the service `direct`, the front, which serves callers. */
export type DirectMessage =
  /** A configuration that is newer than the front's, or the same again. */
  | {readonly kind: 'config'; readonly config: DirectConfig}
  /**
   * The last configuration that was sent includes every write that the store
   * acknowledged before `asOf`. See `StoreEvidence.confirm`.
   */
  | {
      readonly kind: 'confirmed';
      /** Time on this process's clock, in milliseconds. */
      readonly asOf: number;
      /**
       * When this entry sent the call or the query whose answer shows this, on
       * the same clock. For a peer's answer, `asOf` is earlier by the age of
       * the peer's evidence.
       */
      readonly askedAt: number;
      readonly origin: EvidenceOrigin;
    }
  /** A peer named a version that is newer than the newest one known here. */
  | {
      readonly kind: 'version-heard';
      readonly version: number;
      /** Name of the peer. */
      readonly from: string;
    }
  /** All known replicas, by name; they replace those known to the front. */
  | {
      readonly kind: 'replicas';
      readonly replicas: ReadonlyMap<string, DirectReplica>;
    }
  /** Replicas that changed, by name; an undefined value marks a removed one. */
  | {
      readonly kind: 'replica-changes';
      readonly replicas: ReadonlyMap<string, DirectReplica | undefined>;
    }
  /** All failure domains that are evacuated. */
  | {
      readonly kind: 'evacuations';
      readonly failureDomains: ReadonlySet<string>;
    }
  /**
   * Until `until`, in milliseconds on this process's clock, only a peer's
   * answer confirms that a key is valid; the store's answers do not. This entry
   * started, and the store may have been restored from an older copy, which may
   * still have callers' keys that were removed.
   */
  | {readonly kind: 'keys-unconfirmed'; readonly until: number}
  /**
   * A call to the store failed. Records of live replicas may expire while the
   * store fails, so the front does not drop at once a replica whose record
   * disappears.
   */
  | {readonly kind: 'store-failed'}
  /**
   * The store was restored from an older copy, which may lack records of live
   * replicas. The front does not drop at once a replica whose record disappears.
   */
  | {readonly kind: 'store-restored'}
  /**
   * Asks for the newest evidence that the configuration, and so the keys in it,
   * is up to date.
   */
  | {
      readonly kind: 'evidence';
      readonly reply: (evidence: EvidenceReport) => void;
    }
  /** Loads that a peer reported. */
  | {
      readonly kind: 'peer-load';
      /** Name of the peer. */
      readonly node: string;
      readonly loads: readonly PeerLoad[];
      /** Whether these replace all loads of the peer; see `ReportOptions`. */
      readonly isWhole: boolean;
      /**
       * How long the loads count unless newer ones arrive, in milliseconds.
       */
      readonly keepMs: number;
    }
  /** A peer reports requests, or parts of prompts, that may crash replicas. */
  | {
      readonly kind: 'crash-reports';
      readonly reports: readonly CrashReport[];
    }
  /** The store has records of what is refused because it crashes replicas. */
  | {
      readonly kind: 'quarantine-records';
      readonly reports: readonly CrashReport[];
    }
  /** The quarantine record with this digest was removed. */
  | {readonly kind: 'quarantine-released'; readonly digest: string}
  /** Number of live entries, including this one. */
  | {
      readonly kind: 'entries';
      readonly count: number;
      readonly granting: GrantingEntries;
    }
  /** A peer reports request limits that replicas named. */
  | {
      readonly kind: 'limit-reports';
      readonly reports: readonly LimitReport[];
    }
  /** A peer asks this entry, as the home of a replica, for permits. */
  | {
      readonly kind: 'permit-ask';
      /** Name of the peer. */
      readonly from: string;
      readonly ask: PermitAsk;
    }
  /** A home's answer to an ask of this entry. */
  | {readonly kind: 'permit-answer'; readonly answer: PermitAnswer}
  /** A peer reports the engine time of its organisations. */
  | {readonly kind: 'share-report'; readonly report: ShareReport}
  /** Asks whether this entry is ready to serve callers. */
  | {readonly kind: 'ready'; readonly reply: (ready: boolean) => void}
  /** Asks for the number of open requests. */
  | {readonly kind: 'count'; readonly reply: (open: number) => void}
  /**
   * Starts to drain: the entry is no longer ready, and it stops accepting
   * connections a little later. Replies when the open requests have ended, or
   * shortly before `graceS` of the settings has passed.
   */
  | {readonly kind: 'drain'; readonly reply: () => void};

/** Messages to the service `followed`, which follows the platform's store. */
export type StoreFollowerMessage =
  /**
   * Asks the store and a peer, without waiting for the next regular call,
   * whether the configuration is still the newest. The store is not asked while
   * its answers cannot prove that.
   */
  | {readonly kind: 'confirm'}
  /**
   * The front restarted and needs the configuration, the replicas and the
   * quarantine records again.
   */
  | {readonly kind: 'resend-state'}
  /**
   * Trial runs of a quarantined request ended well, so it is no longer
   * quarantined. If `isOwn` is true, this entry saw the last trial, and the
   * service removes the record from the store. A request is quarantined, which
   * means that it is refused, because equal requests crashed replicas. A trial
   * is a single run of it that shows whether it still does.
   */
  | {
      readonly kind: 'quarantine-cleared';
      readonly digest: string;
      readonly isOwn: boolean;
    }
  /** Asks to claim a trial of a quarantined request for this entry. */
  | {
      readonly kind: 'claim-trial';
      readonly digest: string;
      /** Number of the trial. Each one can be claimed once among all entries. */
      readonly trial: number;
      /** Name of this process, by which it knows its own claim again. */
      readonly claimant: string;
      /**
       * Called with true if this entry got the claim, with false if the trial
       * had been claimed before, and with undefined if the call to the store
       * failed.
       */
      readonly reply: (isClaimed: boolean | undefined) => void;
    }
  /** Number of live entries, including this one. */
  | {readonly kind: 'entries'; readonly count: number}
  /**
   * Asks to make sure that the store has a quarantine record of the report. If
   * `isOwn` is true, this entry saw the last crash, and the service writes the
   * record at once. Otherwise it waits and writes the record if no other entry
   * has.
   */
  | {
      readonly kind: 'quarantined';
      readonly report: CrashReport;
      readonly isOwn: boolean;
    }
  /**
   * Asks for a summary of what this entry knows from the store: version, digest
   * and age. The service `sharing` sends it to peers that query this entry.
   */
  | {
      readonly kind: 'knowledge';
      readonly reply: (knowledge: StoreKnowledge) => void;
    }
  /**
   * Asks for the configuration and the replicas themselves. The service
   * `handover` serves them to peers that fetch them.
   */
  | {readonly kind: 'state'; readonly reply: (state: StoreState) => void};

/** The configuration and the replicas that an entry knows from the store. */
export interface StoreState {
  /** The newest known configuration; undefined while there is none. */
  readonly config: DirectConfig | undefined;
  /** Replicas by name. */
  readonly replicas: ReadonlyMap<string, DirectReplica>;
  /**
   * Evacuated failure domains; undefined where they are not followed or not
   * known yet.
   */
  readonly evacuations?: ReadonlySet<string>;
}

/**
 * Messages to the service `handover`, which fetches the configuration and the
 * replicas from a peer and serves this entry's to peers.
 */
export type HandoverMessage =
  /** Fetches the configuration of the peer at `from`. */
  | {
      readonly kind: 'fetch-config';
      readonly from: Pick<EntryAddress, 'ip' | 'port'>;
      /** Called with undefined when no valid configuration was received. */
      readonly reply: (config: DirectConfig | undefined) => void;
    }
  /** Fetches the replicas that the peer at `from` knows. */
  | {
      readonly kind: 'fetch-replicas';
      readonly from: Pick<EntryAddress, 'ip' | 'port'>;
      /** Called with undefined when no valid list was received. */
      readonly reply: (
        replicas: ReadonlyMap<string, DirectReplica> | undefined,
      ) => void;
    }
  /** Fetches the evacuated failure domains that the peer at `from` knows. */
  | {
      readonly kind: 'fetch-evacuations';
      readonly from: Pick<EntryAddress, 'ip' | 'port'>;
      /** Called with undefined when no valid set was received. */
      readonly reply: (domains: ReadonlySet<string> | undefined) => void;
    };

/**
 * Messages to the service `sharing`, which exchanges datagrams with peers and
 * keeps this entry's address in the store for them.
 */
export type SharingMessage =
  /** This entry's own load changed. The service sends the new load to peers. */
  | {
      readonly kind: 'load';
      /** The complete own load, with one item for each replica. */
      readonly loads: readonly ReplicaLoad[];
      /** What changed since the last such message. */
      readonly changes: LoadChanges;
    }
  /**
   * Sends crash reports to all peers if `toAll` is true, and otherwise to one
   * live peer chosen at random.
   */
  | {
      readonly kind: 'crash-reports';
      readonly reports: readonly CrashReport[];
      readonly toAll: boolean;
    }
  /** Sends reports of request limits to peers. */
  | {
      readonly kind: 'limit-reports';
      readonly reports: readonly LimitReport[];
      readonly to: LimitAudience;
    }
  /** Sends a report of the engine time of organisations to a few peers. */
  | {readonly kind: 'share-report'; readonly report: ShareReport}
  /** Asks the peer `to` for permits. */
  | {readonly kind: 'permit-ask'; readonly to: string; readonly ask: PermitAsk}
  /** Answers an ask of the peer `to`. */
  | {
      readonly kind: 'permit-answer';
      readonly to: string;
      readonly answer: PermitAnswer;
    }
  /**
   * The store was restored from an older copy. The copy may lack the record with
   * this entry's address, so the record is written again.
   */
  | {readonly kind: 'store-restored'}
  /** The front restarted and needs the number of live entries again. */
  | {readonly kind: 'resend-state'}
  /** This entry has started to drain, and peers must no longer find it. */
  | {readonly kind: 'draining'}
  /** Asks whether a known peer has this IP address. */
  | {
      readonly kind: 'is-entry';
      readonly ip: string;
      readonly reply: (isEntry: boolean) => void;
    }
  /**
   * Asks one peer for a summary of what it knows from the store. Replies with
   * undefined when no peer may be asked or it does not answer in time.
   */
  | {
      readonly kind: 'query-peer';
      /**
       * Whether any peer may be queried. Otherwise only peers with earlier names
       * are, so that no two entries rely on each other's answers. Any peer is
       * needed when the store refuses this entry, because the peers with earlier
       * names may be gone.
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
