/**
 * Checks a caller's request against the limits, the routes and the keys of the
 * configuration, and reads its body. The request is served or refused
 * accordingly.
 */
import type {IncomingMessage} from 'node:http';
import type {AdmittedRequest} from './exchange.js';
import type {RequestAccount} from './held/held_bytes.js';
import {readBody} from './held/read_body.js';
import type {BodyBounds} from './held/read_body.js';
import {DEFAULT_RETRY_AFTER_MS} from './local_answers.js';
import type {LocalAnswer} from './local_answers.js';
import {pickService, findRoute} from './route_table.js';
import type {CallerLimits, DirectConfig, HeaderCodec, Route} from './types.js';

/**
 * Upper bound of the random delay that is added to a retry time. Without it all
 * callers that were refused for one reason would retry at the same instant.
 */
const RETRY_SPREAD_MS = 500;
/** Longest time for which a body waits for room, in milliseconds. */
const MAX_WAIT_MS = 1_500;
/** Longest time for the body of a request without a route, in milliseconds. */
const MAX_UNROUTED_MS = 30_000;
/** Largest share of the caller's own time limit that this may take. */
const MAX_WAIT_SHARE = 0.2;

/** A refusal for which nothing has decided yet whether the connection closes. */
export type Refusal = Omit<LocalAnswer, 'close'>;

export interface AdmitOptions {
  readonly codec: HeaderCodec;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /**
   * Whether the known keys are recent enough to be accepted. May wait for an
   * answer of the store.
   */
  readonly keysAreFresh: () => Promise<boolean>;
  /**
   * Whether the known routes, keys and limits are recent enough to deny a request.
   * May wait for an answer of the store.
   */
  readonly denialsAreFresh: () => Promise<boolean>;
  /**
   * Time until newer evidence may be there, in milliseconds; 0 when that is
   * unknown.
   */
  readonly evidenceDueMs: () => number;
  /** The newest configuration. */
  readonly config: () => DirectConfig | undefined;
  /**
   * The limits for this request: those of the version that was in force when it
   * came, or of a newer one where they are larger.
   */
  readonly limits: () => CallerLimits | undefined;
  /**
   * Whether all limits are known that the caller may go by. A request that is too
   * large is refused with 503 meanwhile, so that it is sent again.
   */
  readonly limitsAreComplete: () => boolean;
  /** Undefined where the bytes that the entry holds are not bounded. */
  readonly account?: RequestAccount;
  /** Bounds bodies by the time that requests have. @default they are not */
  readonly bodies?: Pick<BodyBounds, 'clock' | 'turns'> & {
    /** Time since the request came, in milliseconds. */
    elapsedMs(): number;
  };
}

/** Returns the admitted request, or the refusal to answer it with. */
export async function admitRequest(
  options: AdmitOptions,
  req: IncomingMessage,
): Promise<AdmittedRequest | Refusal> {
  const earlyConfig = options.config();
  const earlyLimits = options.limits();
  if (earlyConfig === undefined || earlyLimits === undefined) {
    const spreadMs = options.random() * RETRY_SPREAD_MS;
    const retryAfterMs = DEFAULT_RETRY_AFTER_MS + spreadMs;
    return {...refused(503, 'no configuration yet'), retryAfterMs};
  }
  const refusal = checkHeaders(earlyLimits, req);
  if (refusal !== undefined) return tooLarge(options, refusal);
  const {account} = options;
  const read = await readBody(req, {
    announcedBytes: announcedBytes(req),
    maxBytes: () => (options.limits() ?? earlyLimits).maxBodyBytes,
    maxWaitMs: () => maxWaitMs(options, req),
    bounds: bodyBounds(options, earlyConfig, req),
    account,
  });
  if (read.kind === 'no room') {
    const retryAfterMs = read.retryAfterMs + options.random() * RETRY_SPREAD_MS;
    return {...refused(503, 'too many bytes are held'), retryAfterMs};
  }
  if (read.kind === 'too large') {
    return tooLarge(options, refused(413, 'the body is too large'));
  }
  if (read.kind === 'too late') {
    return refused(408, 'the body did not come in the time for the request');
  }
  if (read.kind === 'too many pieces') {
    return refused(503, 'the body comes in too many pieces');
  }
  const {body} = read;
  const current = options.config() ?? earlyConfig;
  // Without a key there is nothing to confirm. In the first moments of an entry
  // the wait may take most of a second.
  if (needsNoKey(current, req)) {
    return authorise(options, current, req, body, true);
  }
  const isFresh = await options.keysAreFresh();
  // A configuration that arrived during the body or the store call applies.
  const config = options.config() ?? earlyConfig;
  const result = authorise(options, config, req, body, isFresh);
  if (!isDenial(result)) return result;
  const mayDeny = await options.denialsAreFresh();
  const newest = options.config() ?? config;
  const denied = authorise(options, newest, req, body, isFresh);
  return isDenial(denied) && !mayDeny ? outdated(options) : denied;
}

/** Whether a newer configuration might allow the request. */
function isDenial(result: AdmittedRequest | Refusal): boolean {
  return 'status' in result && (result.status === 404 || result.status === 401);
}

/** An outdated configuration may lack a route or a key that exists by now. */
function outdated(options: AdmitOptions): Refusal {
  return {
    ...refused(503, 'the configuration may be old'),
    retryAfterMs: retryAfterMs(options),
  };
}

/** Whether the configuration has a route for the request that needs no key. */
function needsNoKey(config: DirectConfig, req: IncomingMessage): boolean {
  const route = findRoute(config, req.headers.host ?? '', req.url ?? '');
  return route !== undefined && acceptsWithoutKey(config, route);
}

function acceptsWithoutKey(config: DirectConfig, route: Route): boolean {
  return route.isPublic || config.keys === undefined;
}

function authorise(
  options: AdmitOptions,
  config: DirectConfig,
  req: IncomingMessage,
  body: Buffer,
  isFresh: boolean,
): AdmittedRequest | Refusal {
  const facts = options.codec.readRequest(req.headers);
  if (facts.id === undefined) return refused(400, 'the request has no id');
  const route = findRoute(config, req.headers.host ?? '', req.url ?? '');
  if (route === undefined) {
    return isFresh ? refused(404, 'no route') : outdated(options);
  }
  const service = pickService(route, options.random());
  if (service === undefined) return refused(503, 'the route has no service');
  const {account} = options;
  const admitted = {config, route, service, facts, id: facts.id, body, account};
  if (acceptsWithoutKey(config, route)) return {...admitted, owner: undefined};
  if (!isFresh) return outdated(options);
  const owner = config.keys?.get(facts.key ?? '');
  if (owner === undefined) return refused(401, 'unknown key');
  // Another name, or none, would be that of another organisation.
  return options.codec.canName(owner.organisation)
    ? {...admitted, owner}
    : refused(503, "the organisation's name fits no header");
}

/**
 * Time after which the caller should retry, in milliseconds; undefined when the
 * time at which newer evidence may be there is unknown.
 */
function retryAfterMs({
  evidenceDueMs,
  random,
}: AdmitOptions): number | undefined {
  const leftMs = evidenceDueMs();
  return leftMs > 0 ? leftMs + random() * RETRY_SPREAD_MS : undefined;
}

function refused(status: LocalAnswer['status'], message: string): Refusal {
  return {status, message};
}

/**
 * Callers send nothing again after 413 and 431. The caller may go by larger limits
 * of an older version, or of one that has not reached this entry.
 */
async function tooLarge(
  {limitsAreComplete, denialsAreFresh}: AdmitOptions,
  {status, message}: Refusal,
): Promise<Refusal> {
  const mayDeny = limitsAreComplete() && (await denialsAreFresh());
  return refused(mayDeny ? status : 503, message);
}

function checkHeaders(
  limits: CallerLimits,
  req: IncomingMessage,
): Refusal | undefined {
  if (req.headers.host === undefined && req.httpVersion === '1.1') {
    return refused(400, 'the request names no host');
  }
  const headerBytes = req.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    (req.url ?? '').length,
  );
  if (headerBytes > limits.maxHeaderBytes) {
    return refused(431, 'the headers are too large');
  }
  return announcedBytes(req) > limits.maxBodyBytes
    ? refused(413, 'the body is too large')
    : undefined;
}

/** Length of the body that the headers state; 0 when they state none. */
function announcedBytes(req: IncomingMessage): number {
  return Number(req.headers['content-length'] ?? 0);
}

/** A body that takes longer than its request has can't be served any more. */
function bodyBounds(
  {codec, bodies}: AdmitOptions,
  config: DirectConfig,
  {headers, url = ''}: IncomingMessage,
): BodyBounds | undefined {
  if (bodies === undefined) return undefined;
  const {clock, turns, elapsedMs} = bodies;
  const leftMs = (): number => {
    const {timeLeftMs = Infinity} = codec.readRequest(headers);
    const route = findRoute(config, headers.host ?? '', url);
    const limitMs = route?.timeLimitMs ?? MAX_UNROUTED_MS;
    return Math.min(timeLeftMs, limitMs) - elapsedMs();
  };
  return {clock, turns, leftMs};
}

/** Longest time for which the body waits for room, in milliseconds. */
function maxWaitMs({codec}: AdmitOptions, {headers}: IncomingMessage): number {
  const {timeLeftMs = Infinity} = codec.readRequest(headers);
  return Math.min(MAX_WAIT_MS, timeLeftMs * MAX_WAIT_SHARE);
}
