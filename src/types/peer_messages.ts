/**
 * Messages between the system's own processes: entry to side, and entry to
 * entry. Times are durations in milliseconds, never clock readings, since the
 * clocks of two hosts do not agree.
 */
import type {Ran} from './errors.js';
import type {
  Address,
  ConfigNumber,
  DispatchId,
  FailureDomain,
  FencingNumber,
  Incarnation,
  ModelId,
  NodeId,
  OrganisationId,
  PoolId,
  RequestId,
} from './ids.js';

/** Kind of a request: a model completion or a call to a plain service. */
export type WorkKind = 'completion' | 'call';

/** Offers a run to a side, without its prompt. */
export interface OfferReq {
  readonly dispatchId: DispatchId;
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
  /** Weight of the organisation in fair sharing. */
  readonly weight: number;
  readonly entry: NodeId;
  /** Incarnation of the side as last known to the entry. */
  readonly incarnation: Incarnation;
  readonly kind: WorkKind;
  /** Model of a completion; empty for a call. */
  readonly model: ModelId;
  readonly adapter: string;
  readonly priorityClass: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly timeLeftMs: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Whether the work may run more than once. */
  readonly repeatable: boolean;
  /** Hashes of the leading blocks of the prompt, in order. */
  readonly prefixHashes: readonly string[];
  /** Configuration version under which the request was admitted. */
  readonly configNumber: ConfigNumber;
  /**
   * Set for a member of a group of engines. A group runs a prompt that exceeds
   * the memory of one engine. A member either leads the run or only reserves
   * `holdTokens` of memory.
   */
  readonly group?: GroupRole;
}

/** Role of one engine in a run that needs several engines. */
export interface GroupRole {
  /** Whether this engine leads the run. */
  readonly lead: boolean;
  /** Number of engines in the group. */
  readonly size: number;
  /** Memory to reserve on this engine, in tokens. */
  readonly holdTokens: number;
}

/** A side's answer to an offer. */
export type OfferRes = OfferAccepted | OfferRefused;

/** The side reserves a position in its queue until the offer lapses. */
export interface OfferAccepted {
  readonly kind: 'accepted';
  readonly incarnation: Incarnation;
  /** Predicted time to first token, including the time in the queue. */
  readonly predictedFirstTokenMs: number;
  /** Time after which the offer lapses unless a `Go` frame arrives. */
  readonly lapseMs: number;
}

/** Refusal codes of a side. A refused run has not run and will not run. */
export type RefusalReason =
  | 'incarnation'
  | 'leaving'
  | 'no-model'
  | 'full'
  | 'queue-full'
  | 'too-late'
  | 'tombstoned'
  | 'engine-down';

/** The run was not started. With `retryAfterMs` 0, a retry will not help. */
export interface OfferRefused {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly incarnation: Incarnation;
  readonly retryAfterMs: number;
}

/** Frames from entry to side on a run's channel. */
export type RunUp = Go | Prompt | PromptEnd | Attach | Ack | Beat | CancelRun;

/** First frame of a new run. Prompt frames follow it. */
export interface Go {
  readonly kind: 'go';
  readonly dispatchId: DispatchId;
  readonly incarnation: Incarnation;
  readonly timeLeftMs: number;
  /** Set for a call: the HTTP request line and headers. */
  readonly call?: CallHead;
}

/** Request line and headers of a call to a plain service. */
export interface CallHead {
  readonly method: string;
  /** Path with query, as sent by the caller. */
  readonly path: string;
  readonly headers: readonly Header[];
}

/** One header line. A repeated header has one line per value. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A piece of the prompt, or of the body of a call. */
export interface Prompt {
  readonly kind: 'prompt';
  /** Sequence number of the piece, from 0. */
  readonly seq: number;
  readonly data: Uint8Array;
}

/** End of the prompt. `count` lets the side detect a lost frame. */
export interface PromptEnd {
  readonly kind: 'prompt-end';
  /** Number of prompt frames sent. */
  readonly count: number;
}

/** First frame of a channel that continues an existing run. */
export interface Attach {
  readonly kind: 'attach';
  readonly dispatchId: DispatchId;
  readonly organisation: OrganisationId;
  /** The entry that now owns the run. */
  readonly entry: NodeId;
  /** Sequence number of the first chunk to send. */
  readonly fromSeq: number;
  /**
   * True when the caller resumes its request at this entry, which takes the run
   * over from its owner. When false, an entry that no longer owns the run gets
   * `superseded`. This prevents it from taking the run back when it only renews
   * a channel. @default false
   */
  readonly takeOver?: boolean;
}

/** Acknowledges all chunks below `nextSeq`. */
export interface Ack {
  readonly kind: 'ack';
  readonly nextSeq: number;
}

/** Shows that an idle channel is alive; sent in both directions. */
export interface Beat {
  readonly kind: 'beat';
}

/** Ends the run and frees its memory. */
export interface CancelRun {
  readonly kind: 'cancel';
}

/** Frames from side to entry on a run's channel. */
export type RunDown = Started | Chunk | RunEnd | RunFailed | Beat;

/** The run was passed to the upstream. From then on it may have run. */
export interface Started {
  readonly kind: 'started';
}

/** A piece of the answer. */
export interface Chunk {
  readonly kind: 'chunk';
  readonly dispatchId: DispatchId;
  /** Sequence number of the chunk, from 0 without gaps. */
  readonly seq: number;
  readonly data: Uint8Array;
  /** Number of tokens in this chunk; 0 for a call. */
  readonly tokens: number;
  /** Set on chunk 0 of a call. */
  readonly callHead?: CallResHead;
}

/** Status line and headers of the answer to a call. */
export interface CallResHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/**
 * Last frame of a complete answer. The entry checks with `count` and `digest`
 * that it received the complete answer.
 */
export interface RunEnd {
  readonly kind: 'end';
  readonly dispatchId: DispatchId;
  /** Number of chunks in the complete answer. */
  readonly count: number;
  /** Hash over all chunk bytes in order; see `utils/digest.ts`. */
  readonly digest: string;
  readonly finishReason: string;
  /** Prompt tokens that the engine found in its prefix cache. */
  readonly cachedTokens: number;
}

/** Last frame of a run without a complete answer. */
export interface RunFailed {
  readonly kind: 'failed';
  readonly dispatchId: DispatchId;
  readonly ran: Ran;
  readonly code: string;
  readonly message: string;
  readonly retryAfterMs: number;
}

/**
 * Abandons a dispatch. The side keeps a tombstone, so that a late offer or `Go`
 * does not start the run.
 */
export interface AbandonReq {
  readonly dispatchId: DispatchId;
  readonly entry: NodeId;
  /** Incarnation of the side. With `organisation` set, empty means any. */
  readonly incarnation: Incarnation;
  /**
   * Set when the caller cancels its request at an entry that does not own the
   * run. The run must belong to this organisation. It ends regardless of its
   * owner, and the owner is notified. @default ''
   */
  readonly organisation?: OrganisationId;
}

/**
 * Outcome of an abandon request. `never-started`: the side stored a tombstone
 * before it answered, and the run will not start. `started`: the run had
 * started and is now cancelled. `unknown`: the side has another incarnation.
 */
export interface AbandonRes {
  readonly state: 'never-started' | 'started' | 'unknown';
  readonly incarnation: Incarnation;
}

/** Asks a side for the run of a request, in order to resume it. */
export interface LocateReq {
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
}

/** State `none`, with an empty dispatch id, when there is no such run. */
export interface LocateRes {
  readonly state: 'none' | 'queued' | 'running' | 'ended' | 'failed';
  readonly dispatchId: DispatchId;
  readonly nextSeq: number;
  readonly kind: WorkKind;
  /** Model with its adapter, as in the answer; empty for a call. @default '' */
  readonly model?: string;
  /** Estimated prompt length; 0 for a call. @default 0 */
  readonly promptTokens?: number;
}

/** Heartbeat of an entry to a side, sent every heartbeat period. */
export interface SideHeartbeatReq {
  readonly entry: NodeId;
  readonly entryIncarnation: Incarnation;
  /** Address at which the entry listens for peers. */
  readonly entryAddress: Address;
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  /** Dispatches at this side that are owned by the entry. */
  readonly owned: readonly DispatchId[];
}

/** The side's state, as used by routing and placement. */
export interface SideHeartbeatRes {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  readonly leaving: boolean;
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  readonly load: SideLoad;
  /** Models on the engine, with version and readiness. */
  readonly models: readonly ModelState[];
}

/** One version of a model on an engine. */
export interface ModelState {
  readonly model: ModelId;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly ready: boolean;
  /** Kind of prompts for which the engine is reserved. */
  readonly role: EngineRole;
}

/** Kind of prompts for which an engine is reserved. */
export type EngineRole = 'mixed' | 'short' | 'long';

/** Load of one side, with the rates that the side has measured. */
export interface SideLoad {
  /** Memory of the engine, in tokens; 0 for a plain service. */
  readonly capacityTokens: number;
  readonly freeTokens: number;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens left to prefill, over running and queued runs. */
  readonly prefillBacklogTokens: number;
  /** Prompt tokens left to prefill in the shortest length class. */
  readonly shortBacklogTokens: number;
  /** Learned rate: prompt tokens prefilled per second. */
  readonly prefillTokensPerSec: number;
  /** Learned duration of one decode step. */
  readonly stepMs: number;
  /** Age of the engine's own report when this load was sent. */
  readonly reportAgeMs: number;
}

/** Heartbeat of an entry to another entry, with the sender's state. */
export interface EntryHeartbeatReq {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly leaving: boolean;
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
}

/** The receiver's own state, in the same format. */
export type EntryHeartbeatRes = EntryHeartbeatReq;

/** Asks a peer for a configuration newer than `haveNumber`. */
export interface FetchConfigReq {
  readonly haveNumber: ConfigNumber;
  /** Hashes of the documents that the caller lacks; empty on the first call. */
  readonly wantHashes: readonly string[];
}

/** The manifest on the first call, its documents on the second. */
export interface FetchConfigRes {
  readonly number: ConfigNumber;
  /** The manifest as JSON; empty when the peer has no newer one. */
  readonly manifest: string;
  readonly documents: readonly ConfigDocument[];
}

/** One document of the configuration with its content hash. */
export interface ConfigDocument {
  readonly hash: string;
  readonly json: string;
}

/** Asks an organisation's home entry for slots (`Places`) and tokens. */
export interface GrantReq {
  readonly organisation: OrganisationId;
  readonly entry: NodeId;
  readonly wantPlaces: number;
  readonly wantTokens: number;
  /** Slots of earlier grants that are still in use. */
  readonly usedPlaces: number;
}

/** The home entry's grant; it may be less than requested. */
export interface GrantRes {
  readonly places: number;
  readonly tokens: number;
  /** Time after which the grant expires. */
  readonly ttlMs: number;
  /** False when the asked entry does not consider itself the home. */
  readonly home: boolean;
}

/** Orders a side to change what its engine serves. */
export interface OrderReq {
  readonly orderId: string;
  readonly fence: FencingNumber;
  readonly action: 'load' | 'unload' | 'load-adapter' | 'set-role';
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string;
  readonly role: EngineRole;
}

/** Outcome of an order; `reason` says why the side refused it. */
export interface OrderRes {
  readonly state: 'done' | 'started' | 'refused';
  readonly reason: string;
  /** Highest fencing number known to the side. */
  readonly fence: FencingNumber;
}

/** Request and response of each unary call between processes. */
export interface PeerCalls {
  readonly offer: {readonly req: OfferReq; readonly res: OfferRes};
  readonly abandon: {readonly req: AbandonReq; readonly res: AbandonRes};
  readonly locate: {readonly req: LocateReq; readonly res: LocateRes};
  readonly sideHeartbeat: {
    readonly req: SideHeartbeatReq;
    readonly res: SideHeartbeatRes;
  };
  readonly entryHeartbeat: {
    readonly req: EntryHeartbeatReq;
    readonly res: EntryHeartbeatRes;
  };
  readonly fetchConfig: {
    readonly req: FetchConfigReq;
    readonly res: FetchConfigRes;
  };
  readonly grant: {readonly req: GrantReq; readonly res: GrantRes};
  readonly order: {readonly req: OrderReq; readonly res: OrderRes};
}

/** Name of a unary call. */
export type PeerMethod = keyof PeerCalls;
