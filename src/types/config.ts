/**
 * The configuration that operators declare. They keep it in version control
 * and apply patches to a numbered version. A patched configuration is validated
 * as a whole before it is accepted.
 */
import type {ConfigNumber, ModelId, OrganisationId, PoolId} from './ids.js';

/** All declarations of one configuration version. */
export interface Declarations {
  readonly organisations: readonly Organisation[];
  readonly models: readonly Model[];
  readonly priorityClasses: readonly PriorityClass[];
  /** Sorted by rising `maxTokens`; the last class has no upper bound. */
  readonly lengthClasses: readonly LengthClass[];
  readonly services: readonly PlainService[];
  readonly placement: readonly PlacementWish[];
  readonly policy: PolicyWeights;
}

/** A customer: its keys, its weight and its limits. */
export interface Organisation {
  readonly id: OrganisationId;
  /** Salted hashes of the organisation's keys; see `utils/keys.ts`. */
  readonly keyHashes: readonly string[];
  /** Share under contention, relative to other organisations. @default 1 */
  readonly weight: number;
  /** Maximum concurrent requests over all entries. @default 256 */
  readonly maxRunning: number;
  /**
   * Maximum prompt and answer tokens per second over all entries.
   * @default 2000000
   */
  readonly tokensPerSec: number;
}

/** A model that placement loads and that callers can request. */
export interface Model {
  readonly id: ModelId;
  readonly version: string;
  readonly adapters: readonly string[];
  /** Whether requests without a model use this one; true for at most one. */
  readonly isDefault: boolean;
  /** Size of the weights in bytes; used to limit the rate of loads. */
  readonly weightBytes: number;
  /** Longest accepted prompt, in tokens. @default 1000000 */
  readonly maxPromptTokens: number;
}

/** Urgency of requests. Callers select a class by name. */
export interface PriorityClass {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isDefault: boolean;
}

/** A range of prompt lengths with limits of its own. */
export interface LengthClass {
  readonly name: string;
  /** Longest prompt of this class, in tokens. */
  readonly maxTokens: number;
  /** Share of an engine's memory reserved for this class. @default 0 */
  readonly memoryFloor: number;
  /** Maximum concurrent runs of this class on one engine; 0 for no limit. */
  readonly maxRunning: number;
  /** Time limit of a request without one of its own, in milliseconds. */
  readonly defaultTimeLimitMs: number;
}

/** A plain (non-model) HTTP service to which calls are routed. */
export interface PlainService {
  readonly pool: PoolId;
  /** HTTP methods that are safe to retry. @default ["GET", "HEAD"] */
  readonly repeatableMethods: readonly string[];
  /** Maximum concurrent calls per upstream. @default 32 */
  readonly maxRunning: number;
  /** Time limit of a call without one of its own, in milliseconds. */
  readonly defaultTimeLimitMs: number;
}

/** The number of replicas of a model that a pool should serve. */
export interface PlacementWish {
  readonly pool: PoolId;
  readonly model: ModelId;
  readonly minReplicas: number;
  /** Minimum number of replicas in each failure domain. @default 0 */
  readonly minPerFailureDomain: number;
}

/** Parameters of the routing and queueing policy. */
export interface PolicyWeights {
  /** Name of the routing policy. @default "predicted-first-token" */
  readonly routing: string;
  /** Maximum number of replicas to which a request is offered. @default 3 */
  readonly maxOffers: number;
  /** Maximum retries per first attempt, over all requests. @default 0.2 */
  readonly retryRatio: number;
  /** Weight of a cached prompt token in routing, 0 to 1. @default 1 */
  readonly prefixWeight: number;
  /**
   * Load of a replica, relative to the mean, above which prefix affinity is
   * ignored. @default 1.25
   */
  readonly boundedLoadFactor: number;
  /** Share of engines that long prompts may occupy at once. @default 0.5 */
  readonly longShare: number;
  /**
   * Waiting time in milliseconds after which a request's priority rises by one
   * level. @default 10000
   */
  readonly ageingMs: number;
  /** Weight of the slowdown of short requests in scores. @default 0.5 */
  readonly shortSlowdownWeight: number;
  /** Weight of long prompts' time to first token in scores. @default 0.5 */
  readonly longFirstTokenWeight: number;
}

/** Declarations with the version number under which they were accepted. */
export interface NumberedDeclarations {
  readonly number: ConfigNumber;
  readonly declarations: Declarations;
}
