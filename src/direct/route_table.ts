/** Finds the route of a request, and the service that its split gives it. */
import type {DirectConfig, Route} from './types.js';

/**
 * The route with the longest prefix that begins the path, among those of the
 * host. Undefined when there is none.
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
    if (best === undefined || longer(route, best)) best = route;
  }
  return best;
}

function longer(a: Route, b: Route): boolean {
  return a.pathPrefix.length > b.pathPrefix.length;
}

function hostOf(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

function pathOf(url: string): string {
  const end = url.indexOf('?');
  return end < 0 ? url : url.slice(0, end);
}

/** Draws a service by the weights; `drawn` is uniform in [0, 1). */
export function pickService(route: Route, drawn: number): string | undefined {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = drawn * total;
  for (const {service, weight} of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return undefined;
}
