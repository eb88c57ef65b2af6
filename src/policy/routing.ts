/**
 * The interface of routing policies. A policy orders the candidates for a
 * request by preference. It has no other effect, so several policies can be
 * compared on the same arrivals.
 */
import type {PolicyWeights} from '../types/config.js';
import type {FailureDomain} from '../types/ids.js';
import type {WorkKind} from '../types/peer_messages.js';
import type {Random} from '../types/runtime.js';
import type {Replica} from '../types/services.js';

/** Properties of the request that a policy may use. */
export interface RoutingRequest {
  readonly kind: WorkKind;
  readonly promptTokens: number;
  /** Limit on output tokens. */
  readonly maxTokens: number;
  /** Hashes of the prompt's leading blocks, the first block first. */
  readonly prefixHashes: readonly string[];
  /** The prompt belongs to the shortest length class. */
  readonly short: boolean;
}

/** A replica, and this entry's assignments to it since its last load report. */
export interface RoutingTarget {
  readonly replica: Replica;
  /** Requests assigned since the report. */
  readonly unreportedRequests: number;
  /** Prompt tokens assigned since the report. */
  readonly unreportedTokens: number;
}

/** All that a policy decides on. */
export interface RoutingInput {
  readonly request: RoutingRequest;
  readonly targets: readonly RoutingTarget[];
  readonly ownFailureDomain: FailureDomain;
  /** Current time on this process's clock, in milliseconds. */
  readonly now: number;
  readonly random: Random;
  readonly weights: PolicyWeights;
  /** Share of expected prefix cache hits that engines confirmed, 0 to 1. */
  readonly prefixHitRatio: number;
  /** Leading prompt tokens that this entry has routed before. */
  readonly knownPrefixTokens: number;
}

/** A target with the prediction it was ranked by. */
export interface RankedTarget {
  readonly target: RoutingTarget;
  /** Time to first token from now, with queueing, in milliseconds. */
  readonly predictedFirstTokenMs: number;
  /** Prompt tokens expected in the engine's prefix cache. */
  readonly cachedTokens: number;
  /** Reason for its rank, for the decision's log line. */
  readonly reason: string;
}

/** Orders all targets, the best first; each occurs once in the result. */
export type RoutingPolicy = (input: RoutingInput) => readonly RankedTarget[];
