/**
 * Messages between the system's own processes: entry to side, and entry to
 * entry. Times are durations in milliseconds of time left, never clock
 * readings, since clocks of two hosts do not agree.
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

/** What is asked for: a completion by a model, or a call to a plain service. */
export type WorkKind = 'completion' | 'call';

/** Offer of a run, without its prompt. */
export interface OfferReq {
  readonly dispatchId: DispatchId;
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
  /** Weight of the organisation for fair shares. */
  readonly weight: number;
  readonly entry: NodeId;
  /** Incarnation of the side that the entry believes in. */
  readonly incarnation: Incarnation;
  readonly kind: WorkKind;
  /** Model for a completion, empty for a call. */
  readonly model: ModelId;
  readonly adapter: string;
  readonly priorityClass: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly timeLeftMs: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly repeatable: boolean;
  /** Hashes of the leading prompt blocks, first block first. */
  readonly prefixHashes: readonly string[];
  /** Rules the request was admitted under. */
  readonly configNumber: ConfigNumber;
  /**
   * Set for a member of a group: a prompt over one engine's memory. The
   * member only holds `holdTokens` of memory, or leads the run.
   */
  readonly group?: GroupRole;
}

/** Part of one engine in a run that needs several. */
export interface GroupRole {
  readonly lead: boolean;
  /** Engines in the group. */
  readonly size: number;
  /** Memory to hold on this engine, in tokens. */
  readonly holdTokens: number;
}

/** A side's answer to an offer. */
export type OfferRes = OfferAccepted | OfferRefused;

/** The side keeps a place in its queue until the offer lapses. */
export interface OfferAccepted {
  readonly kind: 'accepted';
  readonly incarnation: Incarnation;
  /** Predicted time to first token from now, queue included. */
  readonly predictedFirstTokenMs: number;
  /** The offer lapses after this long without a go. */
  readonly lapseMs: number;
}

/** Refusal codes of a side. Each of them means: not run, and will not run. */
export type RefusalReason =
  | 'incarnation'
  | 'leaving'
  | 'no-model'
  | 'full'
  | 'queue-full'
  | 'too-late'
  | 'tombstoned'
  | 'engine-down';

/** The run was not started. `retryAfterMs` 0: coming back does not help. */
export interface OfferRefused {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly incarnation: Incarnation;
  readonly retryAfterMs: number;
}

/** Frames from entry to side on a run's channel. */
export type RunUp = Go | Prompt | PromptEnd | Attach | Ack | Beat | CancelRun;

/** First frame of a new run; prompt frames follow. */
export interface Go {
  readonly kind: 'go';
  readonly dispatchId: DispatchId;
  readonly incarnation: Incarnation;
  readonly timeLeftMs: number;
  /** For a call: the HTTP request line and headers. */
  readonly call?: CallHead;
}

/** Request line and headers of a call to a plain service. */
export interface CallHead {
  readonly method: string;
  /** Path with query, as the caller gave it. */
  readonly path: string;
  readonly headers: readonly Header[];
}

/** One header line; a repeated name has a line for each value. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A piece of the prompt, or of the body of a call. */
export interface Prompt {
  readonly kind: 'prompt';
  /** Counts from 0. */
  readonly seq: number;
  readonly data: Uint8Array;
}

/** The prompt is whole; `count` shows a lost frame. */
export interface PromptEnd {
  readonly kind: 'prompt-end';
  /** Number of prompt frames sent. */
  readonly count: number;
}

/** First frame of a channel that takes up an existing run. */
export interface Attach {
  readonly kind: 'attach';
  readonly dispatchId: DispatchId;
  readonly organisation: OrganisationId;
  /** The entry that now owns the run. */
  readonly entry: NodeId;
  /** First chunk wanted. */
  readonly fromSeq: number;
  /**
   * The caller resumes at this entry: it takes the run from its owner. Without
   * it, an entry that is no longer the owner is told `superseded`, so that it
   * cannot take the run back while it renews a channel. @default false
   */
  readonly takeOver?: boolean;
}

/** Chunks below `nextSeq` have arrived. */
export interface Ack {
  readonly kind: 'ack';
  readonly nextSeq: number;
}

/** Keeps a quiet channel known to be alive; sent both ways. */
export interface Beat {
  readonly kind: 'beat';
}

/** Ends the run and frees its memory. */
export interface CancelRun {
  readonly kind: 'cancel';
}

/** Frames from side to entry on a run's channel. */
export type RunDown = Started | Chunk | RunEnd | RunFailed | Beat;

/** The run was handed to the upstream; from here on it may have run. */
export interface Started {
  readonly kind: 'started';
}

/** A piece of the answer. */
export interface Chunk {
  readonly kind: 'chunk';
  readonly dispatchId: DispatchId;
  /** Counts from 0 without gaps. */
  readonly seq: number;
  readonly data: Uint8Array;
  /** Tokens in this chunk; 0 for a call. */
  readonly tokens: number;
  /** For a call, on chunk 0. */
  readonly callHead?: CallResHead;
}

/** Status line and headers of the answer to a call. */
export interface CallResHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** Last frame of a whole answer; `count` and `digest` prove it whole. */
export interface RunEnd {
  readonly kind: 'end';
  readonly dispatchId: DispatchId;
  /** Number of chunks of the whole answer. */
  readonly count: number;
  /** Hash over all chunk bytes in order; see `utils/digest.ts`. */
  readonly digest: string;
  readonly finishReason: string;
  /** Prompt tokens that the engine found in its prefix cache. */
  readonly cachedTokens: number;
}

/** Last frame of a run that gives no whole answer. */
export interface RunFailed {
  readonly kind: 'failed';
  readonly dispatchId: DispatchId;
  readonly ran: Ran;
  readonly code: string;
  readonly message: string;
  readonly retryAfterMs: number;
}

/** Gives a dispatch up; leaves a tombstone at the side. */
export interface AbandonReq {
  readonly dispatchId: DispatchId;
  readonly entry: NodeId;
  /** Empty, with an organisation, for whichever incarnation has the run. */
  readonly incarnation: Incarnation;
  /**
   * Set when the caller itself asks for the end at another entry than the
   * run's owner: a run of this organisation ends whoever owns it, and the
   * owner is told. @default ''
   */
  readonly organisation?: OrganisationId;
}

/**
 * `never-started`: tombstoned before answering, will not run. `started`: it
 * ran or runs; it is cancelled now. `unknown`: other incarnation.
 */
export interface AbandonRes {
  readonly state: 'never-started' | 'started' | 'unknown';
  readonly incarnation: Incarnation;
}

/** Asks a side for the run of a request, for resuming it. */
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
  /** As the answer names it, with its adapter; empty for a call. @default '' */
  readonly model?: string;
  /** Estimated; 0 for a call. @default 0 */
  readonly promptTokens?: number;
}

/** Entry to side, each heartbeat period. */
export interface SideHeartbeatReq {
  readonly entry: NodeId;
  readonly entryIncarnation: Incarnation;
  /** Where the entry listens for peers. */
  readonly entryAddress: Address;
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  /** Dispatches at this side that the entry owns. */
  readonly owned: readonly DispatchId[];
}

/** The side's state, as routing and placement see it. */
export interface SideHeartbeatRes {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  readonly leaving: boolean;
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
  readonly load: SideLoad;
  /** Models (with version) ready on the engine. */
  readonly models: readonly ModelState[];
}

/** One version of a model on an engine. */
export interface ModelState {
  readonly model: ModelId;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly ready: boolean;
  /** Kind of work the engine is set aside for. */
  readonly role: EngineRole;
}

/** Kind of prompts that an engine is set aside for. */
export type EngineRole = 'mixed' | 'short' | 'long';

/** Load of one side, with the rates it has learned. */
export interface SideLoad {
  /** Memory of the engine, in tokens; 0 for a plain service. */
  readonly capacityTokens: number;
  readonly freeTokens: number;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens still to prefill, running and queued. */
  readonly prefillBacklogTokens: number;
  /** The same, of prompts in the shortest length class. */
  readonly shortBacklogTokens: number;
  /** Learned: prompt tokens prefilled per second. */
  readonly prefillTokensPerSec: number;
  /** Learned: time of one decode step. */
  readonly stepMs: number;
  /** Age of the engine's own report when this was sent. */
  readonly reportAgeMs: number;
}

/** Entry to entry. */
export interface EntryHeartbeatReq {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly leaving: boolean;
  readonly configNumber: ConfigNumber;
  readonly fence: FencingNumber;
}

/** The peer's own state, in the same form. */
export type EntryHeartbeatRes = EntryHeartbeatReq;

/** Asks a peer for the configuration after `haveNumber`. */
export interface FetchConfigReq {
  readonly haveNumber: ConfigNumber;
  /** Hashes of documents the asker lacks; empty on the first call. */
  readonly wantHashes: readonly string[];
}

/** A manifest first; its documents on the second call. */
export interface FetchConfigRes {
  readonly number: ConfigNumber;
  /** The manifest as JSON; empty when the peer has none newer. */
  readonly manifest: string;
  readonly documents: readonly ConfigDocument[];
}

/** One document of the configuration under its content hash. */
export interface ConfigDocument {
  readonly hash: string;
  readonly json: string;
}

/** Asks an organisation's home for places and tokens. */
export interface GrantReq {
  readonly organisation: OrganisationId;
  readonly entry: NodeId;
  readonly wantPlaces: number;
  readonly wantTokens: number;
  /** Places still in use from earlier grants. */
  readonly usedPlaces: number;
}

/** What the home grants; it may be less than was wanted. */
export interface GrantRes {
  readonly places: number;
  readonly tokens: number;
  /** The grant lapses after this long. */
  readonly ttlMs: number;
  /** False when the asked entry does not hold itself to be the home. */
  readonly home: boolean;
}

/** Order to a side to change what its engine serves. */
export interface OrderReq {
  readonly orderId: string;
  readonly fence: FencingNumber;
  readonly action: 'load' | 'unload' | 'load-adapter' | 'set-role';
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string;
  readonly role: EngineRole;
}

/** Outcome of an order; `reason` tells why it was refused. */
export interface OrderRes {
  readonly state: 'done' | 'started' | 'refused';
  readonly reason: string;
  /** Highest fencing number that the side has seen. */
  readonly fence: FencingNumber;
}

/** Unary calls between processes: request and response by method. */
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
