/** Random orders of routing targets. */
import type {RoutingInput, RoutingTarget} from './routing.js';

/** The targets in uniformly random order. */
export function shuffled(input: RoutingInput): RoutingTarget[] {
  const targets = [...input.targets];
  for (let at = targets.length - 1; at > 0; at--) {
    const other = Math.floor(input.random.next() * (at + 1));
    [targets[at], targets[other]] = [targets[other], targets[at]];
  }
  return targets;
}

/** Orders each two consecutive targets by `compare`, the lesser first. */
export function orderPairs(
  shuffledTargets: readonly RoutingTarget[],
  compare: (a: RoutingTarget, b: RoutingTarget) => number,
): RoutingTarget[] {
  const ordered = [...shuffledTargets];
  for (let at = 0; at + 1 < ordered.length; at += 2) {
    const [a, b] = [ordered[at], ordered[at + 1]];
    if (compare(b, a) < 0) {
      ordered[at] = b;
      ordered[at + 1] = a;
    }
  }
  return ordered;
}
