/**
 * Weights of requests: what they are worth to their callers relative to each
 * other. No header states the weight, so it is estimated from the requests that
 * arrive. The usual request size of a route determines the weight of its
 * requests, and a part of the weight follows the size of each request.
 */
import type {RequestFacts} from '../types.js';

/** Weight of the newest request in the moving average of its route's size. */
const ROUTE_NEWEST_WEIGHT = 0.05;
/** The same for the averages over all routes, whose sizes vary more. */
const MIX_NEWEST_WEIGHT = 0.02;
/** Most routes with a mean; the least recently used one is dropped beyond it. */
const MAX_ROUTES = 500;
/** An output token is worth and costs about as much as ten prompt tokens. */
const OUTPUT_TOKEN_SIZE = 10;
/** Weights of a route grow with this power of its usual size. */
const WEIGHT_EXPONENT = 1.2;
/** Share of a request's weight that does not depend on its own size. */
const FIXED_SHARE = 0.3;

/** Weights of requests, learned from those that were recorded. */
export interface RequestWeights {
  /**
   * Records a request and returns its weight. `size` is a `weightedSize`, and
   * `prefillMs` the prefill time on one engine in milliseconds.
   */
  weigh(route: string, size: number, prefillMs: number): number;
  /** Mean weight of requests divided by their mean prefill milliseconds. */
  weightPerPrefillMs(): number;
}

/** Creates weights without any recorded request. */
export function createRequestWeights(): RequestWeights {
  const means = new Map<string, number>();
  let mixWeight = 0;
  let mixPrefillMs = 0;
  return {
    weigh: (route, size, prefillMs) => {
      const previousMean = means.get(route) ?? size;
      const mean = previousMean + ROUTE_NEWEST_WEIGHT * (size - previousMean);
      means.delete(route);
      means.set(route, mean);
      const oldest = means.keys().next().value;
      if (means.size > MAX_ROUTES && oldest !== undefined) {
        means.delete(oldest);
      }
      const weight = weightOf(size, mean);
      mixWeight += MIX_NEWEST_WEIGHT * (weight - mixWeight);
      mixPrefillMs += MIX_NEWEST_WEIGHT * (prefillMs - mixPrefillMs);
      return weight;
    },
    weightPerPrefillMs: () => mixWeight / Math.max(1, mixPrefillMs),
  };
}

/**
 * Size of a request in prompt tokens; an output token counts as several. The
 * caller's estimate of the output takes precedence over its limit, which is the
 * same for all requests of a kind. By the limit, long prompts would get half of
 * the weight that their usual output gives them.
 */
export function weightedSize({
  promptTokens,
  expectedTokens,
  maxTokens,
}: RequestFacts): number {
  return promptTokens + OUTPUT_TOKEN_SIZE * (expectedTokens ?? maxTokens);
}

/**
 * Cost of a request being late, relative to other requests. `size` is its
 * `weightedSize`, and `usualSize` the mean of its route.
 */
export function weightOf(size: number, usualSize: number): number {
  const usual = Math.max(1, usualSize);
  const sizeFactor = FIXED_SHARE + (1 - FIXED_SHARE) * (size / usual);
  return usual ** WEIGHT_EXPONENT * sizeFactor;
}
