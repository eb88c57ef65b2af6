/** The routing policies by name, as the configuration names them. */
import {predictedFirstToken} from './predicted_first_token.js';
import {orderPairs, shuffled} from './random_order.js';
import type {RankedTarget, RoutingPolicy, RoutingTarget} from './routing.js';

/** Cycles through the targets in order of address. */
export function createRoundRobin(): RoutingPolicy {
  let turn = 0;
  return input => {
    const sorted = [...input.targets].sort(byAddress);
    const first = sorted.length === 0 ? 0 : turn++ % sorted.length;
    const order = [...sorted.slice(first), ...sorted.slice(0, first)];
    return order.map(target => plain(target, 'next in turn'));
  };
}

/** Fewest requests, running, queued and unreported; ties by chance. */
export const leastRequests: RoutingPolicy = input =>
  shuffled(input)
    .sort((a, b) => requestsOf(a) - requestsOf(b))
    .map(target => plain(target, `${requestsOf(target)} requests`));

/** The lesser of two drawn by chance, then two others, and so on. */
export const randomPairs: RoutingPolicy = input => {
  const fewerFirst = (a: RoutingTarget, b: RoutingTarget) =>
    requestsOf(a) - requestsOf(b);
  const drawn = orderPairs(shuffled(input), fewerFirst);
  return drawn.map(target => plain(target, 'lesser of a random pair'));
};

/** Makes a lookup with its own turn counter for round robin. */
export function createRoutingPolicies(): (name: string) => RoutingPolicy {
  const byName = new Map<string, RoutingPolicy>([
    ['predicted-first-token', predictedFirstToken],
    ['round-robin', createRoundRobin()],
    ['least-requests', leastRequests],
    ['random-pairs', randomPairs],
  ]);
  return name => byName.get(name) ?? predictedFirstToken;
}

function plain(target: RoutingTarget, reason: string): RankedTarget {
  return {target, predictedFirstTokenMs: 0, cachedTokens: 0, reason};
}

function requestsOf(target: RoutingTarget): number {
  const {running, queued} = target.replica.load;
  return running + queued + target.unreportedRequests;
}

function byAddress(a: RoutingTarget, b: RoutingTarget): number {
  return a.replica.address < b.replica.address ? -1 : 1;
}
