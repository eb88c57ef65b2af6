/**
 * Messages between the services of one process, by service name. A message
 * that wants an answer carries a reply function; see `ServiceContext.ask`.
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

/** A prompt or call body, kept in pieces so that no step handles it whole. */
export interface Body {
  readonly pieces: readonly Uint8Array[];
  readonly bytes: number;
}

/** An admitted request, with the rules it was admitted under. */
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
  /** Name of its length class, for metrics. */
  readonly lengthClass: string;
  /** On this process's clock: when its time limit ends. */
  readonly deadlineAt: number;
  readonly admittedAt: number;
  readonly body: Body;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly repeatable: boolean;
  /**
   * The caller is shown chunks as they come. Without it nothing is shown before
   * the end, so an answer cut short may be given up for that of another run.
   * @default true
   */
  readonly streamed?: boolean;
  readonly idempotencyKey: string | undefined;
  readonly prefixHashes: readonly string[];
  readonly config: NumberedDeclarations;
  readonly call: CallHead | undefined;
}

/**
 * What a request's caller is told, in order: `placed` any number of times,
 * then chunks from 0 without gaps, then exactly one `end` or `failed`. A
 * listener that is not streamed may be told `restarted` in between: the chunks
 * so far are void, and those of another run follow from 0.
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

/** Called for each event of one request, in order. */
export type RequestListener = (event: RequestEvent) => void;

/** State of a request as any entry can tell it. */
export interface RequestState {
  readonly id: RequestId;
  readonly state: 'none' | 'queued' | 'running' | 'ended' | 'failed';
  readonly kind: WorkKind;
  readonly side: Address;
  readonly dispatchId: DispatchId;
  readonly nextSeq: number;
  /** As in `LocateRes`. */
  readonly model?: string;
  readonly promptTokens?: number;
}

/** To `requests`: the service that owns requests from admission to end. */
export type RequestsMessage =
  | {
      readonly kind: 'submit';
      readonly spec: RequestSpec;
      readonly listener: RequestListener;
    }
  /**
   * The caller went away or asked to end it. With a reply, it is looked for at
   * the sides too when another entry owns it.
   */
  | {
      readonly kind: 'cancel';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly reply?: (found: boolean) => void;
    }
  /** Takes up a run, here or of an entry that is gone, from chunk `fromSeq`. */
  | {
      readonly kind: 'resume';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly fromSeq: number;
      /** Where the run was last seen, if the caller knows it. */
      readonly sideHint: Address;
      /** As in `RequestSpec`. @default true */
      readonly streamed?: boolean;
      readonly listener: RequestListener;
    }
  | {
      readonly kind: 'state';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly reply: (state: RequestState) => void;
    }
  /** Like `state`, from what is known here alone; for other entries. */
  | {
      readonly kind: 'local-state';
      readonly id: RequestId;
      readonly organisation: OrganisationId;
      readonly reply: (state: RequestState) => void;
    }
  | {
      readonly kind: 'explain';
      readonly id: RequestId;
      readonly reply: (decisions: readonly RoutingDecision[]) => void;
    }
  /** No new requests; replies when the last one has ended. */
  | {readonly kind: 'drain'; readonly reply: () => void}
  | {readonly kind: 'count'; readonly reply: (open: number) => void};

/** One routing decision, as logged and as shown by `explain`. */
export interface RoutingDecision {
  readonly requestId: RequestId;
  readonly attempt: number;
  readonly chosen: Address;
  readonly reason: string;
  readonly candidates: readonly RoutingCandidate[];
}

/** A replica with the figures that the decision went by. */
export interface RoutingCandidate {
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly predictedFirstTokenMs: number;
  readonly queued: number;
  readonly backlogTokens: number;
  readonly cachedTokens: number;
  readonly loadAgeMs: number;
}

/** A side that this entry follows. */
export interface Replica {
  readonly host: HostId;
  readonly node: NodeId;
  readonly address: Address;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  readonly incarnation: Incarnation;
  /** `live` takes work; `suspect` only when no live one is left. */
  readonly state: 'live' | 'suspect' | 'leaving' | 'gone';
  readonly load: SideLoad;
  /** On this process's clock: when the load was reported. */
  readonly loadAt: number;
  readonly models: readonly ModelState[];
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  /** Round trip of the last heartbeat. */
  readonly rttMs: number;
}

/** Another entry. */
export interface EntryPeer {
  readonly node: NodeId;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly incarnation: Incarnation;
  readonly state: 'live' | 'suspect' | 'leaving' | 'gone';
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
}

/** What an entry knows of the others. */
export interface MembershipView {
  readonly replicas: readonly Replica[];
  /** All hosts of the pools, followed or not, for locating runs. */
  readonly allSides: readonly Address[];
  readonly entries: readonly EntryPeer[];
}

/** To `membership`. */
export type MembershipMessage =
  /** The listener is called at once and at each change of the view. */
  | {
      readonly kind: 'subscribe';
      readonly listener: (view: MembershipView) => void;
    }
  /** Direct evidence about a side from the path of a request. */
  | {
      readonly kind: 'evidence';
      readonly address: Address;
      readonly what: 'unreachable' | 'leaving' | 'incarnation' | 'answered';
      /** For `incarnation`: the new one. */
      readonly incarnation: Incarnation;
    }
  /** Dispatches owned at a side; sent with the next heartbeats to it. */
  | {
      readonly kind: 'own';
      readonly address: Address;
      readonly dispatchId: DispatchId;
    }
  | {
      readonly kind: 'disown';
      readonly address: Address;
      readonly dispatchId: DispatchId;
    }
  /** A heartbeat of another entry came in; replies with our own state. */
  | {
      readonly kind: 'entry-heartbeat';
      readonly req: EntryHeartbeatReq;
      readonly reply: (res: EntryHeartbeatReq) => void;
    }
  /** This entry is leaving. */
  | {readonly kind: 'leave'};

/** To `entryPeers`: where it listens for other processes. */
export interface EntryPeersMessage {
  readonly kind: 'address';
  readonly reply: (address: Address) => void;
}

/** To `config`: holds the newest accepted declarations. */
export type ConfigMessage =
  /** The listener is called at once, if there is any, and at each number. */
  | {
      readonly kind: 'subscribe';
      readonly listener: (config: NumberedDeclarations) => void;
    }
  /** A peer said that it holds this number. */
  | {
      readonly kind: 'peer-number';
      readonly peer: Address;
      readonly number: ConfigNumber;
    }
  /** A peer asks for what it lacks. */
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
      /** 0 for the newest. */
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

/** A change that an operator asks for. */
export interface ConfigPatch {
  /** Made by the client; a repeat with the same id is the same patch. */
  readonly patchId: string;
  /** The number that the patch is based on. */
  readonly base: ConfigNumber;
  readonly form: 'json-patch' | 'merge-patch';
  /** The patch as JSON text. */
  readonly patch: string;
  /** Only tells what would change. */
  readonly dryRun: boolean;
  readonly operator: string;
}

/** A patch that is in force; with `dryRun`, that would be accepted. */
export interface ConfigAccepted {
  readonly number: ConfigNumber;
  /** Paths that the patch changes, as JSON pointers. */
  readonly changedPaths: readonly string[];
  readonly dryRun: boolean;
}

/** One fault that a patch would bring into the declarations. */
export interface ConfigFault {
  /** JSON pointer into the declarations. */
  readonly path: string;
  readonly message: string;
  /** What to write instead. */
  readonly mend: string;
}

/** Why a patch was not accepted; nothing changed. */
export interface ConfigRejection {
  readonly error: OnyxError;
  /** The number at the head. */
  readonly head: ConfigNumber;
  readonly faults: readonly ConfigFault[];
}

/** One accepted patch. */
export interface ConfigHistoryLine {
  readonly number: ConfigNumber;
  readonly patchId: string;
  readonly operator: string;
  readonly changedPaths: readonly string[];
}

/** To `limits`: organisation limits over all entries. */
export type LimitsMessage =
  | {
      readonly kind: 'acquire';
      readonly organisation: OrganisationId;
      readonly tokens: number;
      readonly reply: (outcome: Either<OnyxError, void>) => void;
    }
  | {readonly kind: 'release'; readonly organisation: OrganisationId}
  /** Another entry asks this one, as the organisation's home, for a grant. */
  | {
      readonly kind: 'grant';
      readonly req: GrantReq;
      readonly reply: (res: GrantRes) => void;
    };

/** To `claims`: at-most-once records of idempotency keys. */
export type ClaimsMessage = {
  readonly kind: 'claim';
  readonly organisation: OrganisationId;
  readonly key: string;
  readonly requestId: RequestId;
  readonly reply: (outcome: Either<OnyxError, ClaimOutcome>) => void;
};

/** Ours to run, or taken before by the request named. */
export type ClaimOutcome =
  | {readonly kind: 'ours'}
  | {readonly kind: 'taken'; readonly requestId: RequestId};

/** To `placement`: what each engine serves. */
export type PlacementMessage =
  | {
      readonly kind: 'status';
      readonly reply: (status: PlacementStatus) => void;
    }
  /** A peer has seen this fencing number. */
  | {readonly kind: 'fence-seen'; readonly fence: FencingNumber};

/** Placement as this entry sees it. `placer`: it holds the lease. */
export interface PlacementStatus {
  readonly placer: boolean;
  readonly holder: NodeId;
  readonly fence: FencingNumber;
  readonly decisions: readonly PlacementDecision[];
}

/** One placement decision, as logged and as shown by `status`. */
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
