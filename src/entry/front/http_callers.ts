/**
 * Service `callers`: the HTTP front for organisations. It reads and checks
 * what callers send, admits requests, hands them to `requests`, and writes the
 * answers. Bad input ends here and reaches no upstream.
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

export interface CallersLimits {
  /** Largest body, in bytes. @default 8388608 */
  readonly maxBodyBytes?: number;
  /** Request line and headers, in bytes. @default 16384 */
  readonly maxHeaderBytes?: number;
  /** Requests in progress at this entry. @default 4096 */
  readonly maxOpenRequests?: number;
  /** Bodies of open requests together, in bytes. @default 536870912 */
  readonly maxHeldBodyBytes?: number;
  /** Part of an answer that waits for a slow caller. @default 8388608 */
  readonly maxUnsentResponseBytes?: number;
}

/** All in milliseconds. */
export interface CallersTiming {
  /** Time for a whole body to arrive. @default 30000 */
  readonly bodyTimeoutMs?: number;
  /** Time for the headers to arrive. @default 10000 */
  readonly headersTimeoutMs?: number;
  /** Period of beats on a quiet stream. @default 5000 */
  readonly keepAliveIntervalMs?: number;
  /**
   * How long a caller whose connection broke may come back for its answer
   * before the run is cancelled.
   * @default 2000
   */
  readonly disconnectGraceMs?: number;
  /** Time limit for finding a request's state. @default 5000 */
  readonly lookupTimeoutMs?: number;
  /** How long after a deadline the front gives the answer. @default 500 */
  readonly deadlineGraceMs?: number;
}

export interface CallersOptions {
  /** Port 0 takes any free one; ask `status` for the address. */
  readonly listen: Address;
  readonly limits?: CallersLimits;
  readonly timing?: CallersTiming;
  readonly verifyKey: VerifyKey;
  /** Unix time in milliseconds. */
  readonly wallTimeMs: () => number;
  readonly yieldLoop: YieldLoop;
  /** Longest event-loop delay since the last call, in milliseconds. */
  readonly loopDelayMs: () => number;
}

/** To `callers`. */
export type CallersMessage =
  /** No new requests; replies when the last answer has ended. */
  | {readonly kind: 'drain'; readonly reply: () => void}
  | {
      readonly kind: 'status';
      readonly reply: (status: CallersStatus) => void;
    };

export interface CallersStatus {
  /** Where the front listens. */
  readonly address: Address;
  readonly ready: boolean;
  /** Requests in progress, those whose body is still arriving included. */
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
const LOOP_DELAY_PERIOD_MS = 1_000;
const SERVICES_PATH = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const REQUEST_PATH = /^\/v1\/requests\/([^/?]+)$/;

/** Makes the service. */
export function createCallersService(
  options: CallersOptions,
): ServiceSpec<'callers'> {
  return {name: 'callers', start: ctx => start(ctx, options)};
}

async function start(
  ctx: ServiceContext<'callers'>,
  options: CallersOptions,
): Promise<void> {
  const front = createFront(ctx, options);
  const {state} = front;
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  const timing = {...DEFAULT_TIMING, ...options.timing};
  const server = await openHttpServer({
    listen: options.listen,
    maxHeaderBytes: limits.maxHeaderBytes,
    headersTimeoutMs: timing.headersTimeoutMs,
    handler: (req, res) => handle(front, req, res),
  });
  ctx.own(() => server.close());
  ctx.own(() => state.dropAllLinks());
  ctx.own(
    ctx.clock.every(LOOP_DELAY_PERIOD_MS, () => {
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

function createFront(
  ctx: ServiceContext<'callers'>,
  options: CallersOptions,
): CallersDeps {
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  const timing = {...DEFAULT_TIMING, ...options.timing};
  const {maxBodyBytes, maxUnsentResponseBytes: maxAnswerBytes} = limits;
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
    maxUnsentResponseBytes: maxAnswerBytes,
    maxBodyBytes,
    wallTimeMs: options.wallTimeMs,
  };
}

function handle(front: CallersDeps, req: IncomingMessage, res: ServerResponse) {
  const {ctx} = front;
  const arrivedAt = ctx.clock.now();
  const path = req.url ?? '/';
  const requestId = REQUEST_PATH.exec(path.split('?', 1)[0] ?? '')?.[1];
  const id = requestId ?? ctx.random.hex(16);
  const exchange: Exchange = {id, req, res, arrivedAt};
  // Without a listener an error of one connection would end the process.
  res.on('error', () => undefined);
  req.on('error', () => undefined);
  res.setHeader('X-Request-Id', id);
  route(front, exchange, path, requestId !== undefined).catch(thrown => {
    const error = asOnyxError(thrown, 'read');
    if (error !== thrown) {
      const cause = thrown instanceof Error ? thrown.stack : String(thrown);
      ctx.log(FRONT_EVENTS.frontFailed, {requestId: id, cause});
    }
    refuse(front, exchange, error);
  });
}

async function route(
  front: CallersDeps,
  exchange: Exchange,
  target: string,
  ofRequest: boolean,
): Promise<void> {
  const {req, res} = exchange;
  const [path = '/', search = ''] = target.split('?', 2);
  const call = SERVICES_PATH.exec(target);
  if (call !== null) {
    const [, pool = '', rest = '/', query = ''] = call;
    await submitCall(front, exchange, pool, rest + query);
  } else if (path === '/v1/completions') {
    if (!methodIs(front, exchange, ['POST'])) return;
    await submitCompletion(front, exchange);
  } else if (ofRequest) {
    if (!methodIs(front, exchange, ['GET', 'DELETE'])) return;
    await (req.method === 'GET'
      ? showRequest(front, exchange, new URLSearchParams(search))
      : cancelRequest(front, exchange));
  } else if (path === '/healthz') {
    sendJson(res, 200, {healthy: true});
  } else if (path === '/readyz') {
    const ready = front.state.isReady();
    sendJson(res, ready ? 200 : 503, {ready});
  } else {
    throw badRequest(`no route ${path}`, 'validate', 'not-found');
  }
}

/** Whether the method is offered here; answers the exchange when not. */
function methodIs(
  front: CallersDeps,
  exchange: Exchange,
  allowed: readonly string[],
): boolean {
  const {req, res} = exchange;
  if (allowed.includes(req.method ?? '')) return true;
  res.setHeader('Allow', allowed.join(', '));
  const error = badRequest(`method ${req.method} is not offered here`);
  refuse(front, exchange, error, METHOD_NOT_ALLOWED);
  return false;
}
