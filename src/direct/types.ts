/**
 * What an entry knows of upstreams that have no side: their configuration, the
 * replicas that are there, and what a request says of itself. The folder that
 * speaks a given platform's protocol decodes into these types, and nothing
 * else of the product sees that protocol.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Either} from 'purify-ts';
import type {QuarantineRecord} from './crash_reports.js';
import type {StoreEra, StorePosition} from './store_position.js';

/** What may be repeated: anything, nothing, or a stream from where it broke. */
export type RouteKind = 'idempotent' | 'once' | 'resumable-stream';

/** A share of a route's requests, by weight, for one service. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** The answer is a series of events. */
  readonly streaming: boolean;
  readonly targets: readonly RouteTarget[];
  /** Longest time to the final answer, in milliseconds. */
  readonly timeLimitMs: number;
  /** Latency objective: to the answer, or to a stream's first event. */
  readonly aimMs: number;
  /** Longest pause between events that still counts as on time. */
  readonly pauseAimMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Replicas to which one request may be sent. */
  readonly maxAttempts: number;
  /** Served without a key. */
  readonly isPublic: boolean;
}

/** Published figures of a pool's model engines. */
export interface EngineFigures {
  /** Requests that are read or written at once. */
  readonly places: number;
  /** KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Steps of one pass while any request is writing. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Added to a step for each request that is writing. */
  readonly stepMsPerWriter: number;
  readonly readTokensPerMs: number;
  /** For each million pairs of a token with an earlier one. */
  readonly pairsMsPerMillion: number;
  /** Most tokens of prompts that one step reads. */
  readonly chunkTokens: number;
  /** Added to a step for each 1,000 tokens of a writing request's context. */
  readonly contextMsPerThousand: number;
}

/** A pool of replicas; without `engine`, a plain service. */
export interface UpstreamService {
  readonly name: string;
  readonly engine: EngineFigures | undefined;
}

/** The organisation that a key belongs to. */
export interface KeyOwner {
  readonly organisation: string;
  /** Goes before the route's priority. */
  readonly priority: number | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration, whole. */
export interface DirectConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, UpstreamService>;
  /** Undefined where requests carry no keys. */
  readonly keys: ReadonlyMap<string, KeyOwner> | undefined;
  readonly limits: CallerLimits;
}

/** One start of a replica, as it has announced itself. */
export interface DirectReplica {
  /**
   * Names this start alone. Load, suspicion and what other entries tell go by
   * it, so that nothing of an earlier start is held against a later one.
   */
  readonly id: string;
  /** Its name on the platform, which a later start may bear again. */
  readonly name: string;
  /** Time of day at its start, in milliseconds; undefined when not told. */
  readonly startedAt: number | undefined;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly failureDomain: string;
  readonly places: number;
  /** Takes no new work. */
  readonly leaving: boolean;
}

/** Another entry, as it announced itself. */
export interface EntryAddress {
  readonly node: string;
  readonly incarnation: string;
  readonly ip: string;
  readonly port: number;
  /** Not told by earlier versions. */
  readonly failureDomain?: string;
}

/** What an entry knows of the store, as it tells other entries. */
export interface StoreKnowledge {
  /** Of the store's history; undefined where it is not told. */
  readonly era: StoreEra;
  /**
   * All that was acknowledged longer ago than this is in what follows;
   * undefined without any evidence.
   */
  readonly evidenceAgeMs: number | undefined;
  /** Undefined while there is no configuration. */
  readonly configVersion: number | undefined;
  /** Equal for equal replicas. */
  readonly replicasDigest: string;
}

/** Another entry's answer to a question that was sent at `askedAt`. */
export interface PeerAnswer extends StoreKnowledge {
  /** Node that answered, and where it hands over what it knows. */
  readonly node: string;
  readonly ip: string;
  readonly port: number;
  /** On this process's clock. */
  readonly askedAt: number;
}

/** A call to the platform's store that gave no usable answer. */
export interface StoreFault {
  readonly step: string;
  /** The history asked for is gone: read anew. */
  readonly historyGone: boolean;
  /** It was answered, with what cannot be read; a watch would be so again. */
  readonly unreadable: boolean;
  readonly message: string;
}

/** What there is, as of a position in the store's history. */
export interface Listing<T> {
  readonly position: StorePosition;
  readonly items: ReadonlyMap<string, T>;
  /** Part of it could not be read: what is missing here may be there. */
  readonly isPartial: boolean;
}

/** What has changed since a position; an undefined value was removed. */
export interface Changes<T> {
  readonly position: StorePosition;
  readonly items: ReadonlyMap<string, T | undefined>;
}

/** Objects of one kind in the platform's store. */
export interface Collection<T> {
  list(): Promise<Either<StoreFault, Listing<T>>>;
  /** Answers at the first change after `from`, or after `waitMs`. */
  watch(
    from: StorePosition,
    waitMs: number,
  ): Promise<Either<StoreFault, Changes<T>>>;
}

/** The platform's store, as far as the direct path asks it. */
export interface DirectStore {
  readonly configs: Collection<DirectConfig>;
  readonly replicas: Collection<DirectReplica>;
  /** By digest; entries write a record, and operators may remove it. */
  readonly quarantine: Collection<QuarantineRecord>;
  writeQuarantine(record: QuarantineRecord): Promise<Either<StoreFault, void>>;
  /** With the trials that were claimed under it. */
  removeQuarantine(digest: string): Promise<Either<StoreFault, void>>;
  /** True for the first claim of all entries. */
  claimTrial(
    digest: string,
    trial: number,
  ): Promise<Either<StoreFault, boolean>>;
  /** The newest era that was recorded as settled; no era without a record. */
  settledEra(): Promise<Either<StoreFault, {readonly era: StoreEra}>>;
  recordSettledEra(era: number): Promise<Either<StoreFault, void>>;
  /** Calls `onEra` with the era of each answer, whatever was asked. */
  watchEra(onEra: (era: StoreEra) => void): void;
  listEntries(): Promise<Either<StoreFault, readonly EntryAddress[]>>;
  announceEntry(entry: EntryAddress): Promise<Either<StoreFault, void>>;
  removeEntry(node: string): Promise<Either<StoreFault, void>>;
}

/** What a caller's headers say. */
export interface RequestFacts {
  readonly id: string | undefined;
  readonly key: string | undefined;
  /** Time the caller waits, in milliseconds; undefined when not told. */
  readonly timeLeftMs: number | undefined;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Estimate of the answer's tokens; undefined when not told. */
  readonly expectedTokens: number | undefined;
  /** Last event that the caller has of a stream it resumes. */
  readonly lastEventId: string | undefined;
}

/** What an entry tells a replica beside the caller's own headers. */
export interface DispatchFacts {
  /** Any other replica is to refuse. */
  readonly replicaName: string;
  readonly organisation: string | undefined;
  readonly timeLeftMs: number;
  readonly priority: number;
  readonly lastEventId: string | undefined;
  /** Members that read parts of the prompt, with their reservations. */
  readonly helpers: readonly GroupMember[];
}

/** A replica that takes a part of a prompt, under a reservation or without. */
export interface GroupMember {
  readonly address: string;
  readonly reservation: string | undefined;
}

/** What a replica's headers say. */
export interface AnswerFacts {
  readonly requestId: string | undefined;
  /** The answer bears a replica's signature. */
  readonly signed: boolean;
  /** The replica says that it did not run the request and never will. */
  readonly notRun: boolean;
  /** Address of the replica at fault, where the answer names one. */
  readonly faultAt: string | undefined;
  readonly encoded: boolean;
}

/** Flat list of header names and values. */
export type HeaderList = readonly string[];

/** Header names and forms between callers, entries and replicas. */
export interface HeaderCodec {
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Headers for the replica, as a flat list of names and values. */
  dispatchHeaders(
    rawHeaders: readonly string[],
    facts: DispatchFacts,
  ): readonly string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
}

/** State of memory that a replica was asked to set aside. */
export type ReservationState = 'waiting' | 'unused' | 'used';

/** What a replica says of itself when asked. */
export interface ReplicaReport {
  /** As in `DirectReplica`. */
  readonly startedAt: number | undefined;
  /** By the reservation's id; undefined where the replica tells of none. */
  readonly reservations: ReadonlyMap<string, ReservationState> | undefined;
}

/** Asks the replica at an address; undefined when no answer comes in time. */
export type ReadReport = (
  address: string,
) => Promise<ReplicaReport | undefined>;

/** Answer of a replica to an order about its memory. */
export type ReservationAnswer = 'done' | 'refused' | 'unknown';

/** Orders about memory that a replica sets aside for a group. */
export interface Reservations {
  reserve(
    address: string,
    id: string,
    tokens: number,
    holdMs: number,
  ): Promise<ReservationAnswer>;
  release(address: string, id: string): Promise<ReservationAnswer>;
}
