/**
 * What requests are worth to their callers relative to each other, learned from
 * those that come: a route's usual size says what its requests are worth, and
 * part of that goes by the size of each. Nothing on the wire tells the worth.
 */
import type {RequestFacts} from '../types.js';

/** Share of a new request in the running means. */
const NEWEST_SHARE = 0.05;
/** The same in the mix of all routes, which comes in more unlike sizes. */
const NEWEST_SHARE_OF_MIX = 0.02;
/** Routes that are remembered; the oldest goes first. */
const MOST_ROUTES = 500;
/** An answer's token is worth and costs about as much as ten of a prompt. */
const WRITTEN_TOKEN_SIZE = 10;
/** Worth of a route's requests grows a little more than their usual size. */
const WEIGHT_EXPONENT = 1.2;
/** Share of a request's worth that does not depend on its size. */
const FIXED_SHARE = 0.3;

export interface RequestWeights {
  /** Enters a request that takes an engine so long to read; tells its weight. */
  weigh(route: string, size: number, readMs: number): number;
  /** Weight of what is asked for, for each millisecond of reading. */
  weightPerReadMs(): number;
}

export function createRequestWeights(): RequestWeights {
  const means = new Map<string, number>();
  let mixWeight = 0;
  let mixReadMs = 0;
  return {
    weigh: (route, size, readMs) => {
      const before = means.get(route) ?? size;
      const mean = before + NEWEST_SHARE * (size - before);
      means.delete(route);
      means.set(route, mean);
      const oldest = means.keys().next().value;
      if (means.size > MOST_ROUTES && oldest !== undefined) {
        means.delete(oldest);
      }
      const weight = weightOf(size, mean);
      mixWeight += NEWEST_SHARE_OF_MIX * (weight - mixWeight);
      mixReadMs += NEWEST_SHARE_OF_MIX * (readMs - mixReadMs);
      return weight;
    },
    weightPerReadMs: () => mixWeight / Math.max(1, mixReadMs),
  };
}

/**
 * Size of a request: a token that is written counts for several read ones. The
 * caller's estimate of its answer goes before the most that it allows, which is
 * the same for all requests of a kind: sized by that, long prompts would weigh
 * half of what they do by their usual answers.
 */
export function weightedSize({
  promptTokens,
  expectedTokens,
  maxTokens,
}: RequestFacts): number {
  return promptTokens + WRITTEN_TOKEN_SIZE * (expectedTokens ?? maxTokens);
}

/** What a request's lateness costs, relative to others. */
export function weightOf(size: number, usualSize: number): number {
  const usual = Math.max(1, usualSize);
  const bySize = FIXED_SHARE + (1 - FIXED_SHARE) * (size / usual);
  return usual ** WEIGHT_EXPONENT * bySize;
}
