/**
 * Interfaces to the upstream of a side: a model engine or a plain service.
 * Support for another upstream needs one module that implements an interface.
 */
import type {Either} from 'purify-ts';
import type {Stream} from 'most';
import type {OnyxError} from './errors.js';
import type {CallHead, CallResHead, ModelState} from './peer_messages.js';
import type {FencingNumber, ModelId} from './ids.js';

/** A run to start on an engine. */
export interface EngineRunReq {
  /** Id of the dispatch. An engine runs an id at most once. */
  readonly runId: string;
  readonly model: ModelId;
  readonly adapter: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /**
   * Memory to reserve, in tokens: for prompt and answer, or for a group
   * member's part.
   */
  readonly memoryTokens: number;
  /** Number of engines that share the prefill; 1 for a single engine. */
  readonly groupSize: number;
  /** Whether the run only reserves memory for a group's lead. */
  readonly holdOnly: boolean;
  readonly prefixHashes: readonly string[];
}

/** An event of an engine's run; events arrive in order. */
export type EngineEvent =
  | {readonly kind: 'prefill'; readonly doneTokens: number}
  | {
      readonly kind: 'tokens';
      /** Index of the first token in `data`, from 0. */
      readonly index: number;
      readonly count: number;
      readonly data: Uint8Array;
    }
  | {
      readonly kind: 'done';
      readonly tokens: number;
      readonly finishReason: string;
      readonly cachedTokens: number;
    }
  | {readonly kind: 'beat'}
  | {readonly kind: 'failed'; readonly message: string};

/** One run in an engine's list of runs. */
export interface EngineRunInfo {
  readonly runId: string;
  readonly state: 'waiting' | 'prefill' | 'decode' | 'done' | 'hold';
  readonly memoryTokens: number;
  readonly tokens: number;
}

/** An engine's own load report, which lags by `ageMs`. */
export interface EngineReport {
  readonly capacityTokens: number;
  /** Memory that runs use, in tokens; excludes the prefix cache. */
  readonly usedTokens: number;
  readonly cacheTokens: number;
  readonly waiting: number;
  readonly running: number;
  readonly ageMs: number;
  readonly models: readonly ModelState[];
}

/** Prefix cache event. Events may be late or missing (gaps in `seq`). */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  readonly hash: string;
}

/** Order to an engine; see `OrderReq`. Not every engine checks `fence`. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fence: FencingNumber;
  readonly action: 'load' | 'unload' | 'load-adapter' | 'set-role';
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string;
  readonly role: string;
}

/** Client of a model engine, used by its side. */
export interface EngineClient {
  /**
   * Starts a run and streams its events. `prompt` is read as it is sent. When
   * the connection fails, the stream errors with an `OnyxError`; the run may
   * continue, and `resume` can continue its events.
   */
  start(
    req: EngineRunReq,
    prompt: AsyncIterable<Uint8Array>,
  ): Stream<EngineEvent>;
  /** Streams the events of a run again from token `fromIndex`. */
  resume(runId: string, fromIndex: number): Stream<EngineEvent>;
  /** Ends a run and frees its memory. `Right` also for an unknown run. */
  cancel(runId: string): Promise<Either<OnyxError, void>>;
  list(): Promise<Either<OnyxError, readonly EngineRunInfo[]>>;
  report(): Promise<Either<OnyxError, EngineReport>>;
  setPriority(
    runId: string,
    priority: number,
  ): Promise<Either<OnyxError, void>>;
  cacheEvents(
    afterSeq: number,
  ): Promise<Either<OnyxError, readonly CacheEvent[]>>;
  /** Sends an order; `Left` with `stale` if the engine refused its fence. */
  order(order: EngineOrder): Promise<Either<OnyxError, void>>;
}

/** An event of a call to a plain service; events arrive in order. */
export type CallEvent =
  | {readonly kind: 'head'; readonly head: CallResHead}
  | {readonly kind: 'data'; readonly data: Uint8Array}
  | {readonly kind: 'done'};

/** A plain service's own load report, which lags by `ageMs`. Counts calls. */
export interface ServiceReport {
  readonly running: number;
  readonly capacity: number;
  readonly ageMs: number;
}

/** Client of a plain service, used by its side. */
export interface ServiceClient {
  /**
   * Makes the call once. On failure the stream errors with an `OnyxError`. Its
   * `ran` is `no` only if no byte of the request was sent.
   */
  call(
    runId: string,
    head: CallHead,
    body: AsyncIterable<Uint8Array>,
  ): Stream<CallEvent>;
  report(): Promise<Either<OnyxError, ServiceReport>>;
}
