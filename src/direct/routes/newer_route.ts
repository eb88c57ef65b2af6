/**
 * Lets a request that no replica has begun follow a newer configuration to
 * another service. The load that it answers: requests that wait or are refused
 * at a service from which an operator has moved the traffic, often because it is
 * full or about to end.
 *
 * Whatever a replica may have run stays with the version that it came with, so
 * that its repeats are at the same service. A request also stays if the newer
 * version still leads it to its service, or would not admit it: it was sent
 * while the earlier one was in force.
 */
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {AdmittedRequest, Exchange} from '../exchange.js';
import {findRoute, pickService} from '../route_table.js';
import type {ServeContext} from '../serve_context.js';
import type {DirectConfig, KeyOwner, RequestFacts, Route} from '../types.js';

/** Where a version of the configuration leads a request. */
export type Destination = Pick<
  AdmittedRequest,
  'config' | 'route' | 'service' | 'owner'
>;

/** Whether the newest configuration leads the request to another service. */
export function hasNewerRoute(ctx: ServeContext, exchange: Exchange): boolean {
  return newerRoute(ctx, exchange) !== undefined;
}

/**
 * Moves the request to the service to which the newest configuration leads it.
 * Returns false where it stays.
 */
export function followNewerRoute(
  ctx: ServeContext,
  exchange: Exchange,
): boolean {
  const found = newerRoute(ctx, exchange);
  if (found === undefined) return false;
  const {config, route, owner} = found;
  const service = pickService(route, ctx.random.next());
  if (service === undefined) return false;
  ctx.log(DIRECT_EVENTS.requestMoved, {
    requestId: exchange.id,
    from: exchange.service,
    to: service,
    before: exchange.config.version,
    config: config.version,
    elapsedMs: Math.round(exchange.elapsedMs()),
  });
  exchange.moveTo({config, route, service, owner});
  return true;
}

/** The newest versions under which requests stay, as many requests ask often. */
const staysUnder = new WeakMap<Exchange, DirectConfig>();

function newerRoute(
  {newestConfig}: ServeContext,
  exchange: Exchange,
): Omit<Destination, 'service'> | undefined {
  const config = newestConfig();
  if (exchange.mayHaveRun || config === undefined) return undefined;
  if (config.version <= exchange.config.version) return undefined;
  if (staysUnder.get(exchange) === config) return undefined;
  const found = routeUnder(config, exchange);
  if (found === undefined) staysUnder.set(exchange, config);
  return found;
}

function routeUnder(
  config: DirectConfig,
  exchange: Exchange,
): Omit<Destination, 'service'> | undefined {
  const {req, facts, service} = exchange;
  const route = findRoute(config, req.headers.host ?? '', req.url ?? '');
  if (route === undefined || !isAlike(route, exchange.route)) return undefined;
  if (leadsTo(route, service)) return undefined;
  const {owner, isAdmitted} = admit(config, route, facts);
  return isAdmitted ? {config, route, owner} : undefined;
}

/** Whether requests of both are served and repeated in the same way. */
function isAlike(a: Route, b: Route): boolean {
  return a.kind === b.kind && a.streaming === b.streaming;
}

function leadsTo({targets}: Route, service: string): boolean {
  return targets.some(it => it.service === service && it.weight > 0);
}

function admit(
  {keys}: DirectConfig,
  {isPublic}: Route,
  {key = ''}: RequestFacts,
): {readonly owner: KeyOwner | undefined; readonly isAdmitted: boolean} {
  if (isPublic || keys === undefined) {
    return {owner: undefined, isAdmitted: true};
  }
  const owner = keys.get(key);
  return {owner, isAdmitted: owner !== undefined};
}
