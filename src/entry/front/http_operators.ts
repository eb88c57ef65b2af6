/**
 * Service `operators`: the HTTP server for operators and for the platform's
 * health probes and metrics scrapers. Entries and sides both run it. The
 * handlers passed in determine what it offers.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {OnyxError} from '../../types/errors.js';
import type {Address} from '../../types/ids.js';
import type {ServiceContext, ServiceSpec} from '../../types/kernel.js';
import type {ConfigPatch} from '../../types/services.js';
import {FRONT_EVENTS} from '../../utils/events.js';
import type {YieldLoop} from '../../utils/event_loop.js';
import type {VerifyKey} from './authenticator.js';
import {toOnyxError, badRequest} from '../entry_errors.js';
import {createBodyReader} from './http_body.js';
import type {BodyReader} from './http_body.js';
import {
  errorBody,
  discardRestOfBody,
  sendError,
  sendJson,
  statusOf,
} from './http_errors.js';
import {openHttpServer} from './http_server.js';
import {createOperatorAuth} from './operator_auth.js';
import type {OperatorHandlers} from '../../types/operators.js';

export interface OperatorsOptions {
  /** Port 0 means any free port; the message `address` gets the address. */
  readonly listen: Address;
  /** Salted hash of the token. Without it every operator is refused. */
  readonly operatorTokenHash: string | undefined;
  readonly verifyKey: VerifyKey;
  readonly yieldLoop: YieldLoop;
  /** Creates the handlers; called once when the service starts. */
  readonly handlers: (ctx: ServiceContext<'operators'>) => OperatorHandlers;
  /** Time limit for a patch to arrive, in milliseconds. @default 30000 */
  readonly bodyTimeoutMs?: number;
}

/** Messages to the `operators` service: asks for the listening address. */
export type OperatorsMessage = {
  readonly kind: 'address';
  readonly reply: (address: Address) => void;
};

declare module '../../types/kernel.js' {
  interface ServiceMessages {
    operators: OperatorsMessage;
  }
}

/** Largest body of a patch, in bytes. A larger one is answered 413. */
const MAX_PATCH_BYTES = 4 * 1024 * 1024;
const DEFAULT_BODY_TIMEOUT_MS = 30_000;
/** Number of history lines without the query parameter `limit`. */
const DEFAULT_HISTORY_LINES = 50;
/** Largest number of history lines. A higher `limit` is lowered to it. */
const MAX_HISTORY_LINES = 1_000;
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

const patchSchema = z.strictObject({
  patchId: z.string().min(1).max(128),
  base: z.number().int().min(0),
  form: z.enum(['json-patch', 'merge-patch']),
  patch: z.string(),
  dryRun: z.boolean().default(false),
  operator: z.string().max(256).default(''),
});

interface OperatorsDeps {
  readonly ctx: ServiceContext<'operators'>;
  readonly handlers: OperatorHandlers;
  readonly bodyReader: BodyReader;
}

interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly path: string;
  readonly query: URLSearchParams;
}

type Route = (deps: OperatorsDeps, exchange: Exchange) => Promise<void>;

/** Routes without a token. They reveal nothing about callers or prompts. */
const PUBLIC_ROUTES: Readonly<Record<string, Route>> = {
  'GET /healthz': async (_, {res}) => sendJson(res, 200, {healthy: true}),
  'GET /readyz': async ({handlers}, {res}) => {
    const ready = await handlers.ready();
    sendJson(res, ready ? 200 : 503, {ready});
  },
  'GET /metrics': async ({ctx}, {res}) => {
    res.writeHead(200, {'Content-Type': METRICS_CONTENT_TYPE});
    res.end(ctx.metrics.render());
  },
};

/** Routes that need the token. `*` matches one segment of the path. */
const AUTHENTICATED_ROUTES: Readonly<Record<string, Route>> = {
  'GET /operator/v1/config': (deps, exchange) => showConfig(deps, exchange, 0),
  'GET /operator/v1/config/*': (deps, exchange) =>
    showConfig(deps, exchange, parseWholeNumber(lastPart(exchange))),
  'GET /operator/v1/config/history': showHistory,
  'POST /operator/v1/config/patches': applyPatch,
  'GET /operator/v1/status': async ({handlers}, {res}) =>
    sendJson(res, 200, await handlers.status()),
  'GET /operator/v1/hosts': async ({handlers}, {res}) =>
    sendJson(res, 200, await requireHandler(handlers.hosts)()),
  'GET /operator/v1/requests/*/explain': explain,
  'POST /operator/v1/drain': async ({handlers}, {res}) => {
    requireHandler(handlers.drain)();
    sendJson(res, 202, {draining: true});
  },
};

/** Creates the service. */
export function createOperatorsService(
  options: OperatorsOptions,
): ServiceSpec<'operators'> {
  return {name: 'operators', start: ctx => startOperatorsService(ctx, options)};
}

async function startOperatorsService(
  ctx: ServiceContext<'operators'>,
  options: OperatorsOptions,
): Promise<void> {
  const auth = createOperatorAuth(options.operatorTokenHash, options.verifyKey);
  const limits = {
    maxBodyBytes: MAX_PATCH_BYTES,
    bodyTimeoutMs: options.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
  };
  const deps: OperatorsDeps = {
    ctx,
    handlers: options.handlers(ctx),
    bodyReader: createBodyReader(limits, ctx.clock, options.yieldLoop),
  };
  const handleRequest = async (exchange: Exchange) => {
    const {req, path} = exchange;
    const publicRoute = PUBLIC_ROUTES[`${req.method} ${path}`];
    if (publicRoute !== undefined) {
      await publicRoute(deps, exchange);
      return;
    }
    await auth.authenticate(req.headers.authorization);
    await findAuthenticatedRoute(exchange)(deps, exchange);
  };
  const server = await openHttpServer({
    listen: options.listen,
    handler: (req, res) => {
      const [path = '/', search = ''] = (req.url ?? '/').split('?', 2);
      const exchange = {req, res, path, query: new URLSearchParams(search)};
      handleRequest(exchange).catch(thrown => refuse(ctx, exchange, thrown));
    },
  });
  ctx.own(() => server.close());
  void ctx.mailbox.observe(message => message.reply(server.address));
  ctx.log(FRONT_EVENTS.frontListening, {
    service: ctx.name,
    address: server.address,
  });
}

function findAuthenticatedRoute({req, path}: Exchange): Route {
  const exactRoute = AUTHENTICATED_ROUTES[`${req.method} ${path}`];
  if (exactRoute !== undefined) return exactRoute;
  const parts = `${req.method} ${path}`.split('/');
  const match = Object.entries(AUTHENTICATED_ROUTES).find(([pattern]) => {
    const patternParts = pattern.split('/');
    return (
      patternParts.length === parts.length &&
      patternParts.every((part, at) => part === '*' || part === parts[at])
    );
  });
  if (match === undefined) throw noRoute(path);
  return match[1];
}

function refuse(
  ctx: ServiceContext<'operators'>,
  exchange: Exchange,
  thrown: unknown,
): void {
  const {req, res, path} = exchange;
  const error = toOnyxError(thrown, 'config');
  if (error !== thrown) {
    const cause = thrown instanceof Error ? thrown.stack : String(thrown);
    ctx.log(FRONT_EVENTS.frontFailed, {requestId: '', cause});
  }
  if (error.step === 'authenticate') {
    ctx.log(FRONT_EVENTS.operatorRefused, {path, message: error.message});
  }
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  discardRestOfBody(req, res, ctx.clock);
  sendError(res, error, '');
}

async function showConfig(
  {handlers}: OperatorsDeps,
  {res}: Exchange,
  number: number,
): Promise<void> {
  const shown = await requireHandler(handlers.config).show(number);
  shown.caseOf({
    Left: error => sendError(res, error, ''),
    Right: config => sendJson(res, 200, config),
  });
}

async function showHistory(
  {handlers}: OperatorsDeps,
  {res, query}: Exchange,
): Promise<void> {
  const limit = parseWholeNumber(
    query.get('limit') ?? String(DEFAULT_HISTORY_LINES),
  );
  const lines = await requireHandler(handlers.config).history(
    Math.min(MAX_HISTORY_LINES, limit),
  );
  lines.caseOf({
    Left: error => sendError(res, error, ''),
    Right: history => sendJson(res, 200, history),
  });
}

async function applyPatch(
  {handlers, bodyReader: reader}: OperatorsDeps,
  {req, res}: Exchange,
): Promise<void> {
  const config = requireHandler(handlers.config);
  const body = await reader.readRaw(req, res);
  const patch = parsePatch(Buffer.concat(body.pieces).toString('utf8'));
  const outcome = await config.apply(patch);
  outcome.caseOf({
    Left: ({error, head, faults}) =>
      sendJson(res, statusOf(error), {...errorBody(error, ''), head, faults}),
    Right: accepted => sendJson(res, 200, accepted),
  });
}

async function explain(
  {handlers}: OperatorsDeps,
  exchange: Exchange,
): Promise<void> {
  const id = exchange.path.split('/').at(-2) ?? '';
  const decisions = await requireHandler(handlers.explain)(id);
  if (decisions.length === 0) {
    throw badRequest(
      `this entry knows no routing decision of "${id}"; ask the entry that admitted it, soon after`,
      'validate',
      'not-found',
    );
  }
  sendJson(exchange.res, 200, decisions);
}

function parsePatch(text: string): ConfigPatch {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    throw badRequest(`the body is not JSON: ${String(err)}`);
  }
  const result = patchSchema.safeParse(value);
  if (result.success) return result.data;
  throw badRequest(
    result.error.issues
      .map(issue => `"${issue.path.join('.')}": ${issue.message}`)
      .join('; '),
  );
}

function requireHandler<T>(handler: T | undefined): T {
  if (handler !== undefined) return handler;
  throw badRequest('this process does not offer that', 'validate', 'not-found');
}

function noRoute(path: string): OnyxError {
  return badRequest(`no route ${path}`, 'validate', 'not-found');
}

function lastPart({path}: Exchange): string {
  return path.split('/').at(-1) ?? '';
}

function parseWholeNumber(text: string): number {
  if (/^\d{1,12}$/.test(text)) return Number(text);
  throw badRequest(`"${text}" is not a whole number`);
}
