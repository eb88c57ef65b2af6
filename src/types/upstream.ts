/**
 * What stands behind a side: a model engine or a plain service. Another kind
 * takes its place by one module that implements these.
 */
import type {Either} from 'purify-ts';
import type {Stream} from 'most';
import type {OnyxError} from './errors.js';
import type {CallHead, CallResHead, ModelState} from './peer_messages.js';
import type {FencingNumber, ModelId} from './ids.js';

/** A run to be started on an engine. */
export interface EngineRunReq {
  /** The dispatch's id; an id is run once by an engine. */
  readonly runId: string;
  readonly model: ModelId;
  readonly adapter: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Memory to hold: prompt and answer, or a group member's part. */
  readonly memoryTokens: number;
  /** Engines that share the prefill; 1 for a run on one engine. */
  readonly groupSize: number;
  /** True: only holds memory for a group's lead. */
  readonly holdOnly: boolean;
  readonly prefixHashes: readonly string[];
}

/** Events of an engine's run, in order. */
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

/** One line of an engine's list of runs. */
export interface EngineRunInfo {
  readonly runId: string;
  readonly state: 'waiting' | 'prefill' | 'decode' | 'done' | 'hold';
  readonly memoryTokens: number;
  readonly tokens: number;
}

/** An engine's own load report; lags. */
export interface EngineReport {
  readonly capacityTokens: number;
  /** Held by runs; the prefix cache is not counted. */
  readonly usedTokens: number;
  readonly cacheTokens: number;
  readonly waiting: number;
  readonly running: number;
  readonly ageMs: number;
  readonly models: readonly ModelState[];
}

/** Cache event; late and with gaps (`seq` jumps). */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  readonly hash: string;
}

/** Order to an engine; see `OrderReq`. The engine may check `fence` or not. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fence: FencingNumber;
  readonly action: 'load' | 'unload' | 'load-adapter' | 'set-role';
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: string;
  readonly role: string;
}

/** A model engine, as its side drives it. */
export interface EngineClient {
  /**
   * Starts a run and streams its events; `prompt` is pulled as it is sent.
   * The stream errors with an `OnyxError` when the connection fails: the run
   * may go on and can be taken up by `resume`.
   */
  start(
    req: EngineRunReq,
    prompt: AsyncIterable<Uint8Array>,
  ): Stream<EngineEvent>;
  /** Takes up the events of a run from token `fromIndex`. */
  resume(runId: string, fromIndex: number): Stream<EngineEvent>;
  /** Ends a run and frees its memory. Right also when it is not there. */
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
  /** Left `stale` when the engine refused an old fencing number. */
  order(order: EngineOrder): Promise<Either<OnyxError, void>>;
}

/** Events of a call to a plain service, in order. */
export type CallEvent =
  | {readonly kind: 'head'; readonly head: CallResHead}
  | {readonly kind: 'data'; readonly data: Uint8Array}
  | {readonly kind: 'done'};

/** A plain service's own load report; lags. Counts are of calls. */
export interface ServiceReport {
  readonly running: number;
  readonly capacity: number;
  readonly ageMs: number;
}

/** A plain service, as its side drives it. */
export interface ServiceClient {
  /**
   * Makes the call once. The stream errors with an `OnyxError` whose `ran` is
   * `no` only when no byte of the request was sent.
   */
  call(
    runId: string,
    head: CallHead,
    body: AsyncIterable<Uint8Array>,
  ): Stream<CallEvent>;
  report(): Promise<Either<OnyxError, ServiceReport>>;
}
