/**
 * Lets a request that no replica has begun follow a newer configuration to
 * another service, or to other figures of its service. The load that it answers:
 * requests that wait or are refused at a service from which an operator has moved
 * the traffic, often because it is full or about to end, or that has become
 * larger.
 *
 * Whatever a replica may have run stays with the version that it came with, so
 * that its repeats are at the same service; an idempotent call does so until
 * none of its replicas is left. A request also stays if the newer
 * version would not admit it: it was sent while the earlier one was in force; and
 * as long as no replica of the services there is known.
 * Where nothing is different for it, it stays too, since its wait for room would
 * begin anew with each version.
 */
import {isDeepStrictEqual} from 'node:util';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {AdmittedRequest, Exchange} from '../exchange.js';
import {findRoute, pickService} from '../route_table.js';
import type {ServeContext} from '../serve_context.js';
import type {DirectConfig, KeyOwner, RequestFacts, Route} from '../types.js';

/** Where a version of the configuration leads a request. */
interface Destination extends Pick<
  AdmittedRequest,
  'config' | 'route' | 'owner'
> {
  /** Undefined where one of the route's services is to be picked. */
  readonly service: string | undefined;
}

/** Whether the newest configuration leads the request elsewhere. */
export function hasNewerRoute(ctx: ServeContext, exchange: Exchange): boolean {
  return !exchange.mayHaveRun && newerRoute(ctx, exchange) !== undefined;
}

/**
 * Moves the request there; returns false where it stays. `isLast` tells that its
 * service has nothing left for it.
 */
export function followNewerRoute(
  ctx: ServeContext,
  exchange: Exchange,
  isLast = false,
): boolean {
  const mayRepeat = isLast && exchange.route.kind === 'idempotent';
  if (exchange.mayHaveRun && !mayRepeat) return false;
  const found = newerRoute(ctx, exchange);
  if (found === undefined) return false;
  const {config, route, owner} = found;
  const service = found.service ?? pickService(route, ctx.random.next());
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
  ctx: ServeContext,
  exchange: Exchange,
): Destination | undefined {
  const config = ctx.newestConfig();
  const before = exchange.config.version;
  if (config === undefined || config.version <= before) return undefined;
  if (staysUnder.get(exchange) === config) return undefined;
  const found = routeUnder(config, exchange);
  if (found === undefined) staysUnder.set(exchange, config);
  return found !== undefined && hasReplica(ctx, found) ? found : undefined;
}

/** A version may come before the records of a new service's replicas. */
function hasReplica(
  {replicas}: ServeContext,
  {service, route}: Destination,
): boolean {
  return (
    service !== undefined ||
    route.targets.some(
      it => it.weight > 0 && replicas.availableFor(it.service).length > 0,
    )
  );
}

function routeUnder(
  config: DirectConfig,
  exchange: Exchange,
): Destination | undefined {
  const {req, facts, service} = exchange;
  const route = findRoute(config, req.headers.host ?? '', req.url ?? '');
  if (route === undefined || !isAlike(route, exchange.route)) return undefined;
  const keeps = leadsTo(route, service);
  if (keeps && hasSameFigures(config, exchange)) return undefined;
  const {owner, isAdmitted} = admit(config, route, facts);
  if (!isAdmitted || !hasService(route)) return undefined;
  const found = {config, route, owner, service: keeps ? service : undefined};
  return exchange.mayHaveRun ? forRepeat(found, exchange) : found;
}

/** Two runs of one request name one organisation, and share its attempts. */
function forRepeat(
  found: Destination,
  {route, owner}: Exchange,
): Destination | undefined {
  if (found.owner?.organisation !== owner?.organisation) return undefined;
  const maxAttempts = Math.min(found.route.maxAttempts, route.maxAttempts);
  return {...found, route: {...found.route, maxAttempts}};
}

function hasSameFigures(
  {services}: DirectConfig,
  {config, service}: Exchange,
): boolean {
  const figuresIn = (known: DirectConfig['services']) =>
    known.get(service)?.engine;
  return isDeepStrictEqual(figuresIn(services), figuresIn(config.services));
}

/** Whether requests of both are served and repeated in the same way. */
function isAlike(a: Route, b: Route): boolean {
  return a.kind === b.kind && a.streaming === b.streaming;
}

function hasService({targets}: Route): boolean {
  return targets.some(({weight}) => weight > 0);
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
