/**
 * What an entry knows about upstreams that are reached without a side: the
 * configuration, the running replicas, and what a request states about itself.
 * The folder of a given platform decodes that platform's protocol into these
 * types, so that no other part of the product depends on the protocol.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Either} from 'purify-ts';
import type {ColdStart, StatedCold} from './cold/cold_types.js';
import type {StatedLimit, ReplicaNotices} from './gate/replica_statements.js';
import type {QuarantineRecord} from './crashes/crash_reports.js';
import type {Collection, StoreFault} from './followed/collection.js';
import type {StoreEra} from './store_position.js';

/**
 * How a request may be repeated after a failure: `idempotent` may be sent
 * again, `once` may not, and `resumable-stream` is continued after the last
 * event that arrived.
 */
export type RouteKind = 'idempotent' | 'once' | 'resumable-stream';

/** A service that receives a weighted share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests to one host under one path prefix, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether the response is a stream of events. */
  readonly streaming: boolean;
  readonly targets: readonly RouteTarget[];
  /** Longest time until the response is complete, in milliseconds. */
  readonly timeLimitMs: number;
  /**
   * Latency objective in milliseconds: until the response, or until the first
   * event of a stream.
   */
  readonly aimMs: number;
  /**
   * Longest pause between two events that still counts as on time, in
   * milliseconds.
   */
  readonly pauseAimMs: number;
  /** Priority of the route's requests; 0 is the most urgent. */
  readonly priority: number;
  /** Number of replicas to which one request may be sent, one after another. */
  readonly maxAttempts: number;
  /** Whether requests are served without a key. */
  readonly isPublic: boolean;
}

/**
 * Published performance figures of a pool's model engines. An engine first
 * prefills a prompt and then decodes the response token by token. It does both
 * in steps that all of its requests share.
 */
export interface EngineFigures {
  /** Slots: requests that one engine prefills or decodes at the same time. */
  readonly places: number;
  /** Size of the KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Number of steps in one pass while at least one request is decoding. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Milliseconds added to a step for each request that is decoding. */
  readonly stepMsPerWriter: number;
  readonly readTokensPerMs: number;
  /**
   * Milliseconds of prefill for each million pairs of a token and an earlier
   * token.
   */
  readonly pairsMsPerMillion: number;
  /** Largest number of prompt tokens that one step prefills. */
  readonly chunkTokens: number;
  /**
   * Milliseconds added to a step for each 1,000 tokens in the context of a
   * decoding request.
   */
  readonly contextMsPerThousand: number;
}

/**
 * A pool of replicas. A service without `engine` is a plain service, not a
 * model engine.
 */
export interface UpstreamService {
  readonly name: string;
  readonly engine: EngineFigures | undefined;
  /**
   * Undefined where replicas of the service take load at once after a start.
   */
  readonly coldStart?: ColdStart | undefined;
}

/** The organisation that owns a key. */
export interface KeyOwner {
  readonly organisation: string;
  /**
   * Replaces the route's priority; undefined where the route's priority
   * applies.
   */
  readonly priority: number | undefined;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration. */
export interface DirectConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, UpstreamService>;
  /** Undefined where requests carry no keys. */
  readonly keys: ReadonlyMap<string, KeyOwner> | undefined;
  readonly limits: CallerLimits;
}

/** One start of a replica, as the replica announced it. */
export interface DirectReplica {
  /**
   * Identifies this start of the replica. Load, suspicion and reports of peers
   * refer to this id, so that nothing known about an earlier start counts
   * against a later one.
   */
  readonly id: string;
  /**
   * Name of the replica on the platform; a later start may have the same name.
   */
  readonly name: string;
  /**
   * Time of day at which the replica started, in milliseconds; undefined where
   * the replica does not report it.
   */
  readonly startedAt: number | undefined;
  readonly service: string;
  /** Address as IP:PORT. */
  readonly address: string;
  readonly failureDomain: string;
  readonly places: number;
  /** Whether the replica is shutting down and takes no new work. */
  readonly leaving: boolean;
  /**
   * What the record states of the replica's coldness when it was written. It
   * changes every second while the replica is cold, so it is not part of the
   * digest of the known replicas. Undefined where the record comes from a peer.
   */
  readonly cold?: StatedCold;
}

/** Address of an entry, as the entry announced it. */
export interface EntryAddress {
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  readonly port: number;
  /** Undefined for entries of earlier versions, which do not announce it. */
  readonly failureDomain?: string;
  /**
   * Whether the entry grants permits for replicas that name a request limit.
   * Entries of earlier versions and draining ones do not.
   */
  readonly grantsPermits?: boolean;
  /**
   * Newest version of the compact format of loads that the entry reads; see
   * `peers/compact_load.ts`. Undefined for entries that read only JSON.
   */
  readonly loadFormat?: number;
  /**
   * Whether the entry reads reports of the engine time of organisations.
   * Entries of earlier versions and those without shares do not.
   */
  readonly readsShares?: boolean;
}

/**
 * An operator's statement that nothing more is to be sent to a failure domain.
 */
export interface Evacuation {
  readonly failureDomain: string;
}

/** What an entry knows about the store, as it reports it to peers. */
export interface StoreKnowledge {
  /**
   * Era of the store's history; undefined where the store does not report it.
   */
  readonly era: StoreEra;
  /**
   * Age of the evidence in milliseconds: the values below include every write
   * that was acknowledged longer ago than this. Undefined without any evidence.
   */
  readonly evidenceAgeMs: number | undefined;
  /**
   * Name of the entry whose own call to the store that evidence is. Undefined
   * without any evidence, and from entries of earlier versions.
   */
  readonly evidenceSource?: string;
  /**
   * Version of the newest known configuration; undefined while there is none.
   */
  readonly configVersion: number | undefined;
  /** Digest of the known replicas; equal for equal sets of replicas. */
  readonly replicasDigest: string;
  /**
   * Digest of the evacuated failure domains; undefined from entries that do not
   * follow them or do not know them yet.
   */
  readonly evacuationsDigest?: string;
}

/**
 * A peer's answer to a query. A peer is another entry of the same deployment.
 */
export interface PeerAnswer extends StoreKnowledge {
  /**
   * Name of the entry that answered. `ip` and `port` are where it serves what
   * it knows.
   */
  readonly node: string;
  readonly ip: string;
  readonly port: number;
  /** When the query was sent, on this process's clock. */
  readonly askedAt: number;
}

/** The calls that the direct path makes to the platform's store. */
export interface DirectStore {
  readonly configs: Collection<DirectConfig>;
  readonly replicas: Collection<DirectReplica>;
  /** By failure domain. Operators write and remove them; entries only read. */
  readonly evacuations: Collection<Evacuation>;
  /**
   * Quarantine records by request digest. Entries write them, and operators may
   * remove them.
   */
  readonly quarantine: Collection<QuarantineRecord>;
  writeQuarantine(record: QuarantineRecord): Promise<Either<StoreFault, void>>;
  /** Also removes the trials that were claimed under the record. */
  removeQuarantine(digest: string): Promise<Either<StoreFault, void>>;
  /**
   * Resolves to true for the first claimant, also when it repeats its claim,
   * since the answer to the first one may have been lost.
   */
  claimTrial(
    digest: string,
    trial: number,
    claimant: string,
  ): Promise<Either<StoreFault, boolean>>;
  /**
   * Reads the newest era that was recorded as settled; `era` is undefined
   * without a record.
   */
  settledEra(): Promise<Either<StoreFault, {readonly era: StoreEra}>>;
  recordSettledEra(era: number): Promise<Either<StoreFault, void>>;
  /**
   * Calls `onEra` with the era in each answer of the store, whichever call it
   * answers.
   */
  watchEra(onEra: (era: StoreEra) => void): void;
  /**
   * Closes the idle connections, so that the next calls are made over new ones.
   * @default nothing is closed
   */
  closeIdle?(): void;
  listEntries(): Promise<Either<StoreFault, readonly EntryAddress[]>>;
  announceEntry(entry: EntryAddress): Promise<Either<StoreFault, void>>;
  removeEntry(node: string): Promise<Either<StoreFault, void>>;
}

/** What a caller's headers state about a request. */
export interface RequestFacts {
  readonly id: string | undefined;
  readonly key: string | undefined;
  /**
   * How long the caller will wait, in milliseconds; undefined where the caller
   * does not say.
   */
  readonly timeLeftMs: number | undefined;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /**
   * The caller's estimate of the response length in tokens; undefined where the
   * caller gives none.
   */
  readonly expectedTokens: number | undefined;
  /**
   * Id of the last event that the caller received from the stream it resumes.
   */
  readonly lastEventId: string | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share, in order;
   * empty where the caller names none.
   */
  readonly sharedParts: readonly string[];
}

/**
 * Values that an entry sends to a replica in headers, in addition to the
 * caller's own headers.
 */
export interface DispatchFacts {
  /**
   * Name of the replica that the request is meant for; any other replica has to
   * refuse it.
   */
  readonly replicaName: string;
  readonly organisation: string | undefined;
  readonly timeLeftMs: number;
  readonly priority: number;
  readonly lastEventId: string | undefined;
  /** Replicas that prefill parts of the prompt, with their reservations. */
  readonly helpers: readonly GroupMember[];
}

/**
 * A replica that prefills a part of a prompt, with or without a reservation.
 */
export interface GroupMember {
  readonly address: string;
  readonly reservation: string | undefined;
}

/** What a replica's response headers state. */
export interface AnswerFacts {
  readonly requestId: string | undefined;
  /** Whether the response carries a replica's signature. */
  readonly signed: boolean;
  /** The replica states that it did not run the request and never will. */
  readonly notRun: boolean;
  /**
   * Address of the replica that caused the failure, where the response names
   * one.
   */
  readonly faultAt: string | undefined;
  readonly encoded: boolean;
  /** Undefined where another replica than the expected one answered. */
  readonly requestLimit: StatedLimit | undefined;
  /** Undefined where another replica than the expected one answered. */
  readonly notices: ReplicaNotices | undefined;
}

/** Header names and values, alternating. */
export type HeaderList = readonly string[];

/** Translates headers between callers, entries and replicas. */
export interface HeaderCodec {
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Whether a replica can be told this organisation's name. */
  canName(organisation: string): boolean;
  /** Builds the headers that are sent to the replica. */
  dispatchHeaders(
    rawHeaders: readonly string[],
    facts: DispatchFacts,
  ): readonly string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
}

/** State of memory that a replica was asked to reserve. */
export type ReservationState = 'waiting' | 'unused' | 'used';

/** What a replica reports about itself when asked. */
export interface ReplicaReport {
  /** See `DirectReplica.startedAt`. */
  readonly startedAt: number | undefined;
  /**
   * Reservations by id; undefined where the replica does not report
   * reservations.
   */
  readonly reservations: ReadonlyMap<string, ReservationState> | undefined;
}

/**
 * Asks the replica at an address for its report; resolves to undefined when no
 * answer comes in time.
 */
export type ReadReport = (
  address: string,
) => Promise<ReplicaReport | undefined>;

/**
 * A replica's answer to a request to reserve or release memory. Without an
 * answer it is `unreachable` where no connection was established, so that the
 * replica cannot have the order, and `unknown` otherwise.
 */
export type ReservationAnswer = 'done' | 'refused' | 'unreachable' | 'unknown';

/** Reserves and releases memory of replicas that serve a request as a group. */
export interface Reservations {
  reserve(
    address: string,
    id: string,
    tokens: number,
    holdMs: number,
  ): Promise<ReservationAnswer>;
  release(address: string, id: string): Promise<ReservationAnswer>;
}
