/**
 * Service `callers`: the HTTP server for the clients of organisations. It reads
 * and validates what they send, admits requests, submits them to the `requests`
 * service, and writes the responses. Invalid input is refused here and never
 * reaches an upstream.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Address} from '../../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../../types/kernel.js';
import {FRONT_EVENTS} from '../../utils/events.js';
import type {YieldLoop} from '../../utils/event_loop.js';
import {createAuthenticator} from './authenticator.js';
import type {VerifyKey} from './authenticator.js';
import {refuse} from './callers_exchange.js';
import type {Exchange, CallersDeps} from './callers_exchange.js';
import {cancelRequest, showRequest} from './existing_request_routes.js';
import {createCallersState} from './callers_state.js';
import {submitCall, submitCompletion} from './new_request_routes.js';
import {asOnyxError, badRequest} from '../faults.js';
import {followConfig} from '../../config/follow_config.js';
import {followMembership} from '../../membership/follow_membership.js';
import {createFirstTokenMetrics} from '../run/first_token_metrics.js';
import {createBodyReader} from './http_body.js';
import {sendJson} from './http_errors.js';
import {openHttpServer} from './http_server.js';

/** Limits on the memory that callers can use. */
export interface CallersLimits {
  /**
   * Largest request body, in bytes. A larger one is answered 413.
   * @default 8388608
   */
  readonly maxBodyBytes?: number;
  /**
   * Largest request line and headers together, in bytes. Larger ones are
   * answered 431.
   * @default 16384
   */
  readonly maxHeaderBytes?: number;
  /**
   * Number of open requests at this entry. Further ones are refused as
   * `overloaded`.
   * @default 4096
   */
  readonly maxOpenRequests?: number;
  /**
   * Total size of the bodies of all open requests, in bytes. Requests beyond it
   * are refused as `overloaded`.
   * @default 536870912
   */
  readonly maxHeldBodyBytes?: number;
  /**
   * Bytes of one response that may wait in memory for a slow caller. The
   * connection is closed when more are waiting.
   * @default 8388608
   */
  readonly maxUnsentResponseBytes?: number;
}

/** Times in milliseconds. */
export interface CallersTiming {
  /**
   * Time limit for a whole body to arrive. A slower one is answered 408.
   * @default 30000
   */
  readonly bodyTimeoutMs?: number;
  /**
   * Time limit for the headers to arrive. Slower ones are answered 408.
   * @default 10000
   */
  readonly headersTimeoutMs?: number;
  /** Interval of keep-alive comments on an event stream. @default 5000 */
  readonly keepAliveIntervalMs?: number;
  /**
   * How long after a disconnect the caller may reconnect for its answer. The
   * run is cancelled after that.
   * @default 2000
   */
  readonly disconnectGraceMs?: number;
  /**
   * Time limit for finding an existing request. The caller gets `timeout` after
   * that.
   * @default 5000
   */
  readonly lookupTimeoutMs?: number;
  /**
   * How long after the deadline of a request the service that owns it may still
   * end it. After that, this service ends it with `deadline-exceeded`.
   * @default 500
   */
  readonly deadlineGraceMs?: number;
}

export interface CallersOptions {
  /** Port 0 means any free port; the message `status` gets the address. */
  readonly listen: Address;
  readonly limits?: CallersLimits;
  readonly timing?: CallersTiming;
  readonly verifyKey: VerifyKey;
  /** Returns the Unix time in milliseconds. */
  readonly wallTimeMs: () => number;
  readonly yieldLoop: YieldLoop;
  /** Returns the longest event-loop delay since its last call, in ms. */
  readonly loopDelayMs: () => number;
}

/** Messages to the `callers` service. */
export type CallersMessage =
  /** Refuses new requests from now on; replies when none is open. */
  | {readonly kind: 'drain'; readonly reply: () => void}
  | {
      readonly kind: 'status';
      readonly reply: (status: CallersStatus) => void;
    };

/** Reply to the message `status`. */
export interface CallersStatus {
  /** Address that the HTTP server listens on. */
  readonly address: Address;
  /** Whether `/readyz` answers 200. */
  readonly ready: boolean;
  /** Number of open requests, including those whose body is arriving. */
  readonly openRequests: number;
}

declare module '../../types/kernel.js' {
  interface ServiceMessages {
    callers: CallersMessage;
  }
}

const MIB = 1024 * 1024;
const DEFAULT_LIMITS = {
  maxBodyBytes: 8 * MIB,
  maxHeaderBytes: 16 * 1024,
  maxOpenRequests: 4096,
  maxHeldBodyBytes: 512 * MIB,
  maxUnsentResponseBytes: 8 * MIB,
} as const;
const DEFAULT_TIMING = {
  bodyTimeoutMs: 30_000,
  headersTimeoutMs: 10_000,
  keepAliveIntervalMs: 5_000,
  disconnectGraceMs: 2_000,
  lookupTimeoutMs: 5_000,
  deadlineGraceMs: 500,
} as const;
const METHOD_NOT_ALLOWED = 405;
/** Interval at which the gauges of the service are updated. */
const GAUGE_INTERVAL_MS = 1_000;
/** Matches the pool, path and query of a call to a plain service. */
const SERVICES_PATH = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const REQUEST_PATH = /^\/v1\/requests\/([^/?]+)$/;

/** Creates the service. */
export function createCallersService(
  options: CallersOptions,
): ServiceSpec<'callers'> {
  return {name: 'callers', start: ctx => startCallersService(ctx, options)};
}

async function startCallersService(
  ctx: ServiceContext<'callers'>,
  options: CallersOptions,
): Promise<void> {
  const deps = createDeps(ctx, options);
  const {state} = deps;
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  const timing = {...DEFAULT_TIMING, ...options.timing};
  const server = await openHttpServer({
    listen: options.listen,
    maxHeaderBytes: limits.maxHeaderBytes,
    headersTimeoutMs: timing.headersTimeoutMs,
    handler: (req, res) => handleRequest(deps, req, res),
  });
  ctx.own(() => server.close());
  ctx.own(() => state.dropAllLinks());
  ctx.own(
    ctx.clock.every(GAUGE_INTERVAL_MS, () => {
      const delayMs = options.loopDelayMs();
      ctx.metrics.gauge('onyxloft_event_loop_delay_ms', {}, delayMs);
      ctx.metrics.gauge('onyxloft_open_callers', {}, state.openRequests());
    }),
  );
  followConfig(ctx, state.updateConfig);
  followMembership(ctx, state.updateMembership);
  void ctx.mailbox.observe(message => {
    if (message.kind === 'drain') {
      state.drain(message.reply);
    } else {
      const {address} = server;
      message.reply({
        address,
        ready: state.isReady(),
        openRequests: state.openRequests(),
      });
    }
  });
  ctx.log(FRONT_EVENTS.frontListening, {
    service: ctx.name,
    address: server.address,
  });
}

function createDeps(
  ctx: ServiceContext<'callers'>,
  options: CallersOptions,
): CallersDeps {
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  const timing = {...DEFAULT_TIMING, ...options.timing};
  const {maxBodyBytes, maxUnsentResponseBytes} = limits;
  const {bodyTimeoutMs} = timing;
  return {
    ctx,
    state: createCallersState(limits),
    authenticator: createAuthenticator(options.verifyKey, options.yieldLoop),
    bodyReader: createBodyReader(
      {maxBodyBytes, bodyTimeoutMs},
      ctx.clock,
      options.yieldLoop,
    ),
    firstTokenMetrics: createFirstTokenMetrics(ctx.metrics, ctx.clock),
    timing,
    maxUnsentResponseBytes,
    maxBodyBytes,
    wallTimeMs: options.wallTimeMs,
  };
}

function handleRequest(
  deps: CallersDeps,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const {ctx} = deps;
  const arrivedAt = ctx.clock.now();
  const path = req.url ?? '/';
  const requestId = REQUEST_PATH.exec(path.split('?', 1)[0] ?? '')?.[1];
  const id = requestId ?? ctx.random.hex(16);
  const exchange: Exchange = {id, req, res, arrivedAt};
  // Without an `error` listener, an error on one connection would be thrown as
  // an uncaught exception and end the process.
  res.on('error', () => undefined);
  req.on('error', () => undefined);
  res.setHeader('X-Request-Id', id);
  route(deps, exchange, path, requestId !== undefined).catch(thrown => {
    const error = asOnyxError(thrown, 'read');
    if (error !== thrown) {
      const cause = thrown instanceof Error ? thrown.stack : String(thrown);
      ctx.log(FRONT_EVENTS.frontFailed, {requestId: id, cause});
    }
    refuse(deps, exchange, error);
  });
}

async function route(
  deps: CallersDeps,
  exchange: Exchange,
  target: string,
  isRequestPath: boolean,
): Promise<void> {
  const {req, res} = exchange;
  const [path = '/', search = ''] = target.split('?', 2);
  const serviceMatch = SERVICES_PATH.exec(target);
  if (serviceMatch !== null) {
    const [, pool = '', rest = '/', query = ''] = serviceMatch;
    await submitCall(deps, exchange, pool, rest + query);
  } else if (path === '/v1/completions') {
    if (!checkMethod(deps, exchange, ['POST'])) return;
    await submitCompletion(deps, exchange);
  } else if (isRequestPath) {
    if (!checkMethod(deps, exchange, ['GET', 'DELETE'])) return;
    await (req.method === 'GET'
      ? showRequest(deps, exchange, new URLSearchParams(search))
      : cancelRequest(deps, exchange));
  } else if (path === '/healthz') {
    sendJson(res, 200, {healthy: true});
  } else if (path === '/readyz') {
    const ready = deps.state.isReady();
    sendJson(res, ready ? 200 : 503, {ready});
  } else {
    throw badRequest(`no route ${path}`, 'validate', 'not-found');
  }
}

/** True when the method is allowed. Otherwise answers 405 and returns false. */
function checkMethod(
  deps: CallersDeps,
  exchange: Exchange,
  allowed: readonly string[],
): boolean {
  const {req, res} = exchange;
  if (allowed.includes(req.method ?? '')) return true;
  res.setHeader('Allow', allowed.join(', '));
  const error = badRequest(`method ${req.method} is not offered here`);
  refuse(deps, exchange, error, METHOD_NOT_ALLOWED);
  return false;
}
