/** Finds the route of a request, and picks one of the route's services. */
import type {DirectConfig, Route} from './types.js';

/**
 * Returns the host's route with the longest path prefix that matches, or
 * undefined when none matches.
 */
export function findRoute(
  config: DirectConfig,
  hostHeader: string,
  url: string,
): Route | undefined {
  const host = hostOf(hostHeader);
  const path = pathOf(url);
  let best: Route | undefined;
  for (const route of config.routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue;
    if (best === undefined || hasLongerPrefix(route, best)) best = route;
  }
  return best;
}

function hasLongerPrefix(a: Route, b: Route): boolean {
  return a.pathPrefix.length > b.pathPrefix.length;
}

function hostOf(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

function pathOf(url: string): string {
  const end = url.indexOf('?');
  return end < 0 ? url : url.slice(0, end);
}

/** Picks a service at random by the weights; `drawn` is uniform in [0, 1). */
export function pickService(route: Route, drawn: number): string | undefined {
  const totalWeight = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = drawn * totalWeight;
  for (const {service, weight} of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return undefined;
}
