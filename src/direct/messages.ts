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

/** To the front. */
export type DirectMessage =
  | {readonly kind: 'config'; readonly config: DirectConfig}
  /** The configuration is known as of this time; see `Evidence.confirm`. */
  | {
      readonly kind: 'confirmed';
      readonly asOf: number;
      readonly askedAt: number;
    }
  | {
      readonly kind: 'replicas';
      readonly replicas: ReadonlyMap<string, DirectReplica>;
    }
  | {
      readonly kind: 'replica-changes';
      readonly replicas: ReadonlyMap<string, DirectReplica | undefined>;
    }
  /** No key can be confirmed before this time, but by another entry. */
  | {readonly kind: 'keys-unconfirmed'; readonly until: number}
  | {readonly kind: 'store-failed'}
  /** The store has come back from an older copy. */
  | {readonly kind: 'store-restored'}
  /** Age of the newest evidence for keys, in milliseconds. */
  | {readonly kind: 'evidence-age'; readonly reply: (ageMs: number) => void}
  | {
      readonly kind: 'peer-load';
      readonly node: string;
      readonly loads: readonly ReplicaLoad[];
      /** See `LoadBook.setOther`. */
      readonly keepMs: number;
    }
  /** Another entry, or the store, tells of requests that crash replicas. */
  | {
      readonly kind: 'crash-reports';
      readonly reports: readonly CrashReport[];
    }
  | {readonly kind: 'quarantine-released'; readonly digest: string}
  /** Entries that are there, with this one. */
  | {readonly kind: 'entries'; readonly count: number}
  | {readonly kind: 'ready'; readonly reply: (ready: boolean) => void}
  | {readonly kind: 'count'; readonly reply: (open: number) => void}
  | {readonly kind: 'drain'; readonly reply: () => void};

/** To the follower of the store. */
export type StoreFollowerMessage =
  /** Asks store and another entry at once whether the configuration holds. */
  | {readonly kind: 'confirm'}
  /** The front was started again and knows nothing. */
  | {readonly kind: 'resend-state'}
  /** Runs of it ended well; `isOwn` where the last one was here. */
  | {
      readonly kind: 'quarantine-cleared';
      readonly digest: string;
      readonly isOwn: boolean;
    }
  | {
      readonly kind: 'claim-trial';
      readonly digest: string;
      readonly trial: number;
      /** Undefined when the store did not answer. */
      readonly reply: (isClaimed: boolean | undefined) => void;
    }
  /** Entries that are there, with this one. */
  | {readonly kind: 'entries'; readonly count: number}
  /** The store is to have it; `isOwn` where this entry saw the last crash. */
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

/** What an entry has from the store, whole. */
export interface StoreState {
  readonly config: DirectConfig | undefined;
  /** By name. */
  readonly replicas: ReadonlyMap<string, DirectReplica>;
}

/** To the service that hands what is known of the store between entries. */
export type HandoverMessage =
  | {
      readonly kind: 'fetch-config';
      readonly from: Pick<EntryAddress, 'ip' | 'port'>;
      /** Undefined when nothing of use came. */
      readonly reply: (config: DirectConfig | undefined) => void;
    }
  | {
      readonly kind: 'fetch-replicas';
      readonly from: Pick<EntryAddress, 'ip' | 'port'>;
      readonly reply: (
        replicas: ReadonlyMap<string, DirectReplica> | undefined,
      ) => void;
    };

/** To the service that talks with the other entries. */
export type SharingMessage =
  | {
      readonly kind: 'load';
      readonly loads: readonly ReplicaLoad[];
      /** A long read was added. */
      readonly hasLongRead: boolean;
    }
  /** To all other entries, or to one of them in turn. */
  | {
      readonly kind: 'crash-reports';
      readonly reports: readonly CrashReport[];
      readonly toAll: boolean;
    }
  /** The store has come back from an older copy, without the own record. */
  | {readonly kind: 'store-restored'}
  /** The front was started again and knows nothing. */
  | {readonly kind: 'resend-state'}
  /** This entry takes no new work, and is not to be found any more. */
  | {readonly kind: 'draining'}
  /** Whether an entry is known to have this IP address. */
  | {
      readonly kind: 'is-entry';
      readonly ip: string;
      readonly reply: (is: boolean) => void;
    }
  /** Asks another entry what it knows; undefined when none answers. */
  | {
      readonly kind: 'query-peer';
      /**
       * Also one that may lean on this entry: the store turns this one away, and
       * no other that it would ask may be there.
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
