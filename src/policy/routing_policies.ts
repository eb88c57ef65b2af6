/** The routing policies, by the names that the configuration uses. */
import {predictedFirstToken} from './predicted_first_token.js';
import {orderPairs, shuffled} from './random_order.js';
import type {RankedTarget, RoutingPolicy, RoutingTarget} from './routing.js';

/** Cycles through the targets in order of address. */
export function createRoundRobin(): RoutingPolicy {
  let nextTurn = 0;
  return input => {
    const sorted = [...input.targets].sort(byAddress);
    const startIndex = sorted.length === 0 ? 0 : nextTurn++ % sorted.length;
    const order = [...sorted.slice(startIndex), ...sorted.slice(0, startIndex)];
    return order.map(target => withoutPrediction(target, 'next in turn'));
  };
}

/** Fewest running, queued and unreported requests; ties in random order. */
export const leastRequests: RoutingPolicy = input =>
  shuffled(input)
    .sort((a, b) => requestCount(a) - requestCount(b))
    .map(target =>
      withoutPrediction(target, `${requestCount(target)} requests`),
    );

/** Random pairs of targets, in each the one with fewer requests first. */
export const randomPairs: RoutingPolicy = input => {
  const fewerRequestsFirst = (a: RoutingTarget, b: RoutingTarget) =>
    requestCount(a) - requestCount(b);
  const paired = orderPairs(shuffled(input), fewerRequestsFirst);
  return paired.map(target =>
    withoutPrediction(target, 'lesser of a random pair'),
  );
};

/**
 * Creates a lookup by name with its own round-robin counter. An unknown name
 * gives `predictedFirstToken`.
 */
export function createRoutingPolicies(): (name: string) => RoutingPolicy {
  const byName = new Map<string, RoutingPolicy>([
    ['predicted-first-token', predictedFirstToken],
    ['round-robin', createRoundRobin()],
    ['least-requests', leastRequests],
    ['random-pairs', randomPairs],
  ]);
  return name => byName.get(name) ?? predictedFirstToken;
}

function withoutPrediction(
  target: RoutingTarget,
  reason: string,
): RankedTarget {
  return {target, predictedFirstTokenMs: 0, cachedTokens: 0, reason};
}

function requestCount(target: RoutingTarget): number {
  const {running, queued} = target.replica.load;
  return running + queued + target.unreportedRequests;
}

function byAddress(a: RoutingTarget, b: RoutingTarget): number {
  return a.replica.address < b.replica.address ? -1 : 1;
}
