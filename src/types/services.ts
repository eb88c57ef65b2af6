/**
 * Messages between the services of one process, by service name. A message
 * that expects an answer carries a reply function; see `ServiceContext.ask`.
 */
import type {Either} from 'purify-ts';
import type {NumberedDeclarations} from './config.js';
import type {OnyxError} from './errors.js';
import type {
  Address,
  ConfigNumber,
  DispatchId,
  FailureDomain,
  FencingNumber,
  HostId,
  Incarnation,
  ModelId,
  NodeId,
  OrganisationId,
  PoolId,
  RequestId,
} from './ids.js';
import type {
  CallHead,
  CallResHead,
  FetchConfigReq,
  FetchConfigRes,
  GrantReq,
  GrantRes,
  EntryHeartbeatReq,
  ModelState,
  SideLoad,
  WorkKind,
} from './peer_messages.js';

/**
 * The body of a prompt or call. It is stored in pieces, so that no step has to
 * copy the complete body.
 */
export interface Body {
  readonly pieces: readonly Uint8Array[];
  /** Total length in bytes. */
  readonly bytes: number;
}

/** An admitted request, with the configuration under which it was admitted. */
export interface RequestSpec {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly weight: number;
  readonly kind: WorkKind;
  /** Pool of a plain service for a call; empty for a completion. */
  readonly pool: PoolId;
  readonly model: ModelId;
  readonly adapter: string;
  readonly priorityClass: string;
  readonly priority: number;
  /** Name of the request's length class, for metrics. */
  readonly lengthClass: string;
  /** Deadline of the request, in milliseconds on this process's clock. */
  readonly deadlineAt: number;
  /** Time of admission, in milliseconds on this process's clock. */
  readonly admittedAt: number;
  readonly body: Body;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly repeatable: boolean;
  /**
   * Whether the caller receives chunks as they arrive. When false, the caller
   * receives nothing before the end, so an incomplete answer may be discarded
   * and replaced by the answer of another run. @default true
   */
  readonly streamed?: boolean;
  readonly idempotencyKey: string | undefined;
  readonly prefixHashes: readonly string[];
  readonly config: NumberedDeclarations;
  readonly call: CallHead | undefined;
}

/**
 * An event of a request, for its caller. The order is: `placed` any number of
 * times, chunks from 0 without gaps, then exactly one `end` or `failed`. A
 * listener of a request that is not streamed may also get `restarted`. The
 * chunks before it are then invalid, and chunks of another run follow from 0.
 */
export type RequestEvent =
  | {
      readonly kind: 'placed';
      readonly dispatchId: DispatchId;
      readonly side: Address;
    }
  | {
      readonly kind: 'chunk';
      readonly seq: number;
      readonly data: Uint8Array;
      readonly tokens: number;
      readonly callHead: CallResHead | undefined;
    }
  | {readonly kind: 'restarted'}
  | {
      readonly kind: 'end';
      readonly count: number;
      readonly tokens: number;
      readonly finishReason: string;
      readonly cachedTokens: number;
    }
  | {readonly kind: 'failed'; readonly error: OnyxError};

/** Receives the events of one request, in order. */
export type RequestListener = (event: RequestEvent) => void;

/** State of a request, as reported by any entry. */
export interface RequestState {
  readonly id: RequestId;
  readonly state: 'none' | 'queued' | 'running' | 'ended' | 'failed';
  readonly kind: WorkKind;
  readonly side: Address;
  readonly dispatchId: DispatchId;
  readonly nextSeq: number;
  /** See `LocateRes`. */
  readonly model?: string;
  /** See `LocateRes`. */
  readonly promptTokens?: number;
}

/** Messages to `requests`, which owns requests from admission to their end. */
export type RequestsMessage =
  /** Submits an admitted request; the listener receives its events. */
  | {
      readonly kind: 'submit';
      readonly spec: RequestSpec;
      readonly listener: RequestListener;
    }
  /**
   * The caller disconnected or cancelled the request. With `reply`, the request
   * is also searched for at the sides if another entry owns it.
   */
  | {
      readonly kind: 'cancel';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly reply?: (found: boolean) => void;
    }
  /**
   * Resumes a run from chunk `fromSeq`. The run may belong to this entry or to
   * one that has left.
   */
  | {
      readonly kind: 'resume';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly fromSeq: number;
      /** Address of the side that had the run, if the caller knows it. */
      readonly sideHint: Address;
      /** See `RequestSpec`. @default true */
      readonly streamed?: boolean;
      readonly listener: RequestListener;
    }
  /** Asks for the state of a request that any entry may own. */
  | {
      readonly kind: 'state';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly reply: (state: RequestState) => void;
    }
  /** Like `state`, but from local knowledge only. Other entries use it. */
  | {
      readonly kind: 'local-state';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly reply: (state: RequestState) => void;
    }
  /** Asks for the routing decisions of a request. */
  | {
      readonly kind: 'explain';
      readonly id: RequestId;
      readonly reply: (decisions: readonly RoutingDecision[]) => void;
    }
  /** Stops accepting requests; replies when the last one has ended. */
  | {readonly kind: 'drain'; readonly reply: () => void}
  /** Asks for the number of open requests. */
  | {readonly kind: 'count'; readonly reply: (open: number) => void};

/** A routing decision, as logged and as shown by `explain`. */
export interface RoutingDecision {
  readonly requestId: RequestId;
  readonly attempt: number;
  readonly chosen: Address;
  readonly reason: string;
  readonly candidates: readonly RoutingCandidate[];
}

/** A candidate replica with the values on which the decision was based. */
export interface RoutingCandidate {
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly predictedFirstTokenMs: number;
  readonly queued: number;
  readonly backlogTokens: number;
  readonly cachedTokens: number;
  readonly loadAgeMs: number;
}

/** A side whose state this entry follows. */
export interface Replica {
  readonly host: HostId;
  readonly node: NodeId;
  readonly address: Address;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  readonly incarnation: Incarnation;
  /** `live` gets work; `suspect` only gets work when no replica is live. */
  readonly state: 'live' | 'suspect' | 'leaving' | 'gone';
  readonly load: SideLoad;
  /** Time of the load report, in milliseconds on this process's clock. */
  readonly loadAt: number;
  readonly models: readonly ModelState[];
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  /** Round-trip time of the last heartbeat, in milliseconds. */
  readonly rttMs: number;
}

/** Another entry, as this entry knows it. */
export interface EntryPeer {
  readonly node: NodeId;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly incarnation: Incarnation;
  readonly state: 'live' | 'suspect' | 'leaving' | 'gone';
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
}

/** What an entry knows about sides and other entries. */
export interface MembershipView {
  readonly replicas: readonly Replica[];
  /** Addresses of all sides, followed or not; used to locate runs. */
  readonly allSides: readonly Address[];
  readonly entries: readonly EntryPeer[];
}

/** Messages to `membership`. */
export type MembershipMessage =
  /** The listener is called immediately and on each change of the view. */
  | {
      readonly kind: 'subscribe';
      readonly listener: (view: MembershipView) => void;
    }
  /** Evidence about a side's state, observed while handling a request. */
  | {
      readonly kind: 'evidence';
      readonly address: Address;
      readonly what: 'unreachable' | 'leaving' | 'incarnation' | 'answered';
      /** The new incarnation, when `what` is `incarnation`. */
      readonly incarnation: Incarnation;
    }
  /** Adds an owned dispatch to the heartbeats sent to a side. */
  | {
      readonly kind: 'own';
      readonly address: Address;
      readonly dispatchId: DispatchId;
    }
  /** Removes an owned dispatch from those heartbeats. */
  | {
      readonly kind: 'disown';
      readonly address: Address;
      readonly dispatchId: DispatchId;
    }
  /** A heartbeat of another entry arrived; replies with this entry's state. */
  | {
      readonly kind: 'entry-heartbeat';
      readonly req: EntryHeartbeatReq;
      readonly reply: (res: EntryHeartbeatReq) => void;
    }
  /** This entry is leaving. */
  | {readonly kind: 'leave'};

/** Message to `entryPeers`: asks for the address at which it listens. */
export interface EntryPeersMessage {
  readonly kind: 'address';
  readonly reply: (address: Address) => void;
}

/** Messages to `config`, which holds the newest accepted declarations. */
export type ConfigMessage =
  /**
   * The listener is called immediately if there is a configuration, and then
   * for each new version.
   */
  | {
      readonly kind: 'subscribe';
      readonly listener: (config: NumberedDeclarations) => void;
    }
  /** A peer reported its configuration version. */
  | {
      readonly kind: 'peer-number';
      readonly peer: Address;
      readonly number: ConfigNumber;
    }
  /** A peer asks for a newer configuration. */
  | {
      readonly kind: 'fetch';
      readonly req: FetchConfigReq;
      readonly reply: (res: FetchConfigRes) => void;
    }
  | {
      readonly kind: 'apply';
      readonly patch: ConfigPatch;
      readonly reply: (
        outcome: Either<ConfigRejection, ConfigAccepted>,
      ) => void;
    }
  | {
      readonly kind: 'show';
      /** Version to show; 0 selects the newest. */
      readonly number: ConfigNumber;
      readonly reply: (
        outcome: Either<OnyxError, NumberedDeclarations>,
      ) => void;
    }
  | {
      readonly kind: 'history';
      readonly limit: number;
      readonly reply: (
        outcome: Either<OnyxError, readonly ConfigHistoryLine[]>,
      ) => void;
    };

/** A configuration change requested by an operator. */
export interface ConfigPatch {
  /** Generated by the client. A repeat with the same id is the same patch. */
  readonly patchId: string;
  /** Configuration version on which the patch is based. */
  readonly base: ConfigNumber;
  readonly form: 'json-patch' | 'merge-patch';
  /** The patch as JSON text. */
  readonly patch: string;
  /** Whether to only report what the patch would change. */
  readonly dryRun: boolean;
  readonly operator: string;
}

/** An accepted patch. With `dryRun`, the patch was only validated. */
export interface ConfigAccepted {
  readonly number: ConfigNumber;
  /** JSON pointers to the values that the patch changes. */
  readonly changedPaths: readonly string[];
  readonly dryRun: boolean;
}

/** An error that a patch would introduce into the declarations. */
export interface ConfigFault {
  /** JSON pointer into the declarations. */
  readonly path: string;
  readonly message: string;
  /** Suggested correction. */
  readonly mend: string;
}

/** Why a patch was rejected. The configuration is unchanged. */
export interface ConfigRejection {
  readonly error: OnyxError;
  /** Newest configuration version. */
  readonly head: ConfigNumber;
  readonly faults: readonly ConfigFault[];
}

/** An accepted patch in the configuration's history. */
export interface ConfigHistoryLine {
  readonly number: ConfigNumber;
  readonly patchId: string;
  readonly operator: string;
  readonly changedPaths: readonly string[];
}

/** Messages to `limits`, which enforces limits over all entries. */
export type LimitsMessage =
  | {
      readonly kind: 'acquire';
      readonly organisation: OrganisationId;
      readonly tokens: number;
      readonly reply: (outcome: Either<OnyxError, void>) => void;
    }
  | {readonly kind: 'release'; readonly organisation: OrganisationId}
  /** Another entry asks this one, as the home entry, for a grant. */
  | {
      readonly kind: 'grant';
      readonly req: GrantReq;
      readonly reply: (res: GrantRes) => void;
    };

/** Message to `claims`, which records idempotency keys at most once. */
export type ClaimsMessage = {
  readonly kind: 'claim';
  readonly organisation: OrganisationId;
  readonly key: string;
  readonly requestId: RequestId;
  readonly reply: (outcome: Either<OnyxError, ClaimOutcome>) => void;
};

/**
 * `ours`: this request may run. `taken`: the request `requestId` claimed the
 * key before.
 */
export type ClaimOutcome =
  | {readonly kind: 'ours'}
  | {readonly kind: 'taken'; readonly requestId: RequestId};

/** Messages to `placement`, which decides what each engine serves. */
export type PlacementMessage =
  | {
      readonly kind: 'status';
      readonly reply: (status: PlacementStatus) => void;
    }
  /** A peer reported this fencing number. */
  | {readonly kind: 'fence-seen'; readonly fence: FencingNumber};

/** Placement as known to this entry. */
export interface PlacementStatus {
  /** Whether this entry holds the placer's lease. */
  readonly placer: boolean;
  readonly holder: NodeId;
  readonly fence: FencingNumber;
  readonly decisions: readonly PlacementDecision[];
}

/** A placement decision, as logged and as shown by `status`. */
export interface PlacementDecision {
  readonly orderId: string;
  readonly fence: FencingNumber;
  readonly address: Address;
  readonly action: string;
  readonly model: ModelId;
  readonly version: string;
  readonly reason: string;
  readonly outcome: string;
}

declare module './kernel.js' {
  interface ServiceMessages {
    requests: RequestsMessage;
    membership: MembershipMessage;
    entryPeers: EntryPeersMessage;
    config: ConfigMessage;
    limits: LimitsMessage;
    claims: ClaimsMessage;
    placement: PlacementMessage;
  }
}
