/**
 * What a routing policy is: a function from the request and the candidates to
 * the candidates in order of preference. A policy decides nothing else, so
 * that several can be measured on the same arrivals.
 */
import type {PolicyWeights} from '../types/config.js';
import type {FailureDomain} from '../types/ids.js';
import type {WorkKind} from '../types/peer_messages.js';
import type {Random} from '../types/runtime.js';
import type {Replica} from '../types/services.js';

/** What a policy may know of the request. */
export interface RoutingRequest {
  readonly kind: WorkKind;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHashes: readonly string[];
  /** The prompt is in the shortest length class. */
  readonly short: boolean;
}

/** A replica with what this entry sent to it since its last load report. */
export interface RoutingTarget {
  readonly replica: Replica;
  /** Requests assigned since the report. */
  readonly unreportedRequests: number;
  /** Prompt tokens assigned since the report. */
  readonly unreportedTokens: number;
}

export interface RoutingInput {
  readonly request: RoutingRequest;
  readonly targets: readonly RoutingTarget[];
  readonly ownFailureDomain: FailureDomain;
  /** On this process's clock, in milliseconds. */
  readonly now: number;
  readonly random: Random;
  readonly weights: PolicyWeights;
  /** Share of the expected prefix hits that engines confirmed, 0 to 1. */
  readonly prefixHitRatio: number;
  /** Prompt tokens whose prefix this entry has routed before. */
  readonly knownPrefixTokens: number;
}

export interface RankedTarget {
  readonly target: RoutingTarget;
  /** Time to first token from now, queue included, in milliseconds. */
  readonly predictedFirstTokenMs: number;
  /** Prompt tokens expected in the engine's prefix cache. */
  readonly cachedTokens: number;
  /** Why it stands where it stands, for the decision's log line. */
  readonly reason: string;
}

/** Best first. Every target given is in the result once. */
export type RoutingPolicy = (input: RoutingInput) => readonly RankedTarget[];
