/**
 * Declarations that operators hold in version control and apply as patches
 * against a numbered version. Checked as a whole before acceptance.
 */
import type {ConfigNumber, ModelId, OrganisationId, PoolId} from './ids.js';

/** One accepted version of all declarations. */
export interface Declarations {
  readonly organisations: readonly Organisation[];
  readonly models: readonly Model[];
  readonly priorityClasses: readonly PriorityClass[];
  /** In growing order of `maxTokens`; the last one holds any length. */
  readonly lengthClasses: readonly LengthClass[];
  readonly services: readonly PlainService[];
  readonly placement: readonly PlacementWish[];
  readonly policy: PolicyWeights;
}

/** A customer. */
export interface Organisation {
  readonly id: OrganisationId;
  /** Salted hashes of its keys; see `utils/keys.ts`. */
  readonly keyHashes: readonly string[];
  /** Share in contention, relative to other organisations. @default 1 */
  readonly weight: number;
  /** Requests at once over all entries. @default 256 */
  readonly maxRunning: number;
  /** Prompt and answer tokens a second over all entries. @default 2000000 */
  readonly tokensPerSec: number;
}

/** A model that placement loads and callers may name. */
export interface Model {
  readonly id: ModelId;
  readonly version: string;
  readonly adapters: readonly string[];
  /** The model of a request that names none; one at most. */
  readonly isDefault: boolean;
  /** Size of the weights, for pacing loads. */
  readonly weightBytes: number;
  /** Longest prompt taken, in tokens. @default 1000000 */
  readonly maxPromptTokens: number;
}

/** How urgent a request is; callers name the class. */
export interface PriorityClass {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isDefault: boolean;
}

/** Requests of like prompt length. */
export interface LengthClass {
  readonly name: string;
  /** Longest prompt of this class, in tokens. */
  readonly maxTokens: number;
  /** Share of an engine's memory kept free for this class. @default 0 */
  readonly memoryFloor: number;
  /** Most runs of this class at once on one engine; 0 for no limit. */
  readonly maxRunning: number;
  /** Time limit of a request that names none, in milliseconds. */
  readonly defaultTimeLimitMs: number;
}

/** A plain service to which calls are routed. */
export interface PlainService {
  readonly pool: PoolId;
  /** Methods that may be repeated. @default ["GET", "HEAD"] */
  readonly repeatableMethods: readonly string[];
  /** Calls at once per upstream. @default 32 */
  readonly maxRunning: number;
  readonly defaultTimeLimitMs: number;
}

/** How many replicas of a model a pool should serve. */
export interface PlacementWish {
  readonly pool: PoolId;
  readonly model: ModelId;
  readonly minReplicas: number;
  /** Each failure domain should have at least so many. @default 0 */
  readonly minPerFailureDomain: number;
}

/** Weights and switches of the routing and queueing policy. */
export interface PolicyWeights {
  /** Routing policy by name. @default "predicted-first-token" */
  readonly routing: string;
  /** Replicas to which an entry offers a request at most. @default 3 */
  readonly maxOffers: number;
  /** Retries as a share of first attempts, over all requests. @default 0.2 */
  readonly retryRatio: number;
  /** Worth of a cached prompt token, 0 to 1, when choosing. @default 1 */
  readonly prefixWeight: number;
  /** Load over the mean at which affinity yields. @default 1.25 */
  readonly boundedLoadFactor: number;
  /** Share of engines that long prompts may use at once. @default 0.5 */
  readonly longShare: number;
  /** Waiting time that lifts a request by one priority. @default 10000 */
  readonly ageingMs: number;
  /** Weight of short requests' slowdown in scores. @default 0.5 */
  readonly shortSlowdownWeight: number;
  /** Weight of long prompts' first token in scores. @default 0.5 */
  readonly longFirstTokenWeight: number;
}

/** Declarations with the number under which they were accepted. */
export interface NumberedDeclarations {
  readonly number: ConfigNumber;
  readonly declarations: Declarations;
}
