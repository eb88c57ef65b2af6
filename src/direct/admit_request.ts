/** Decides whether a request may be served, and reads its body. */
import type {IncomingMessage} from 'node:http';
import type {AdmittedRequest} from './exchange.js';
import type {LocalAnswer} from './local_answers.js';
import {pickService, findRoute} from './route_table.js';
import type {CallerLimits, DirectConfig, HeaderCodec} from './types.js';

/** All that were refused for one reason would come back in the same instant. */
const COME_BACK_SPREAD_MS = 500;

/** A refusal, before the connection's fate is known. */
export type Refusal = Omit<LocalAnswer, 'close'>;

export interface AdmitOptions {
  readonly codec: HeaderCodec;
  readonly random: () => number;
  /** Whether keys may be taken as valid now; may wait for the store. */
  readonly keysAreFresh: () => Promise<boolean>;
  /** No key can be confirmed for so long; 0 where they can. */
  readonly keysUnconfirmedMs: () => number;
  /** The newest configuration. */
  readonly config: () => DirectConfig | undefined;
}

/** The request if it may be served, or why not. */
export async function admitRequest(
  options: AdmitOptions,
  req: IncomingMessage,
): Promise<AdmittedRequest | Refusal> {
  const before = options.config();
  if (before === undefined) return refused(503, 'no configuration yet');
  const early = findFault(before.limits, req);
  if (early !== undefined) return early;
  const body = await readBody(req, before.limits.maxBodyBytes);
  if (body === undefined) return refused(413, 'the body is too large');
  const fresh = await options.keysAreFresh();
  // What came while the body was read, or the store was asked, counts.
  const config = options.config() ?? before;
  return authorise(options, config, req, body, fresh);
}

function authorise(
  options: AdmitOptions,
  config: DirectConfig,
  req: IncomingMessage,
  body: Buffer,
  fresh: boolean,
): AdmittedRequest | Refusal {
  const facts = options.codec.readRequest(req.headers);
  if (facts.id === undefined) return refused(400, 'the request has no id');
  const route = findRoute(config, req.headers.host ?? '', req.url ?? '');
  // An old configuration may lack a route or key that is there by now.
  const stale = {
    ...refused(503, 'the configuration may be old'),
    retryAfterMs: retryAfterMs(options),
  };
  if (route === undefined) return fresh ? refused(404, 'no route') : stale;
  const service = pickService(route, options.random());
  if (service === undefined) return refused(503, 'the route has no service');
  const admitted = {config, route, service, facts, id: facts.id, body};
  if (route.isPublic || config.keys === undefined) {
    return {...admitted, owner: undefined};
  }
  if (!fresh) return stale;
  const owner = config.keys.get(facts.key ?? '');
  return owner === undefined
    ? refused(401, 'unknown key')
    : {...admitted, owner};
}

/** Undefined where nothing is known of it. */
function retryAfterMs({
  keysUnconfirmedMs,
  random,
}: AdmitOptions): number | undefined {
  const leftMs = keysUnconfirmedMs();
  return leftMs > 0 ? leftMs + random() * COME_BACK_SPREAD_MS : undefined;
}

function refused(status: LocalAnswer['status'], message: string): Refusal {
  return {status, message};
}

function findFault(
  limits: CallerLimits,
  req: IncomingMessage,
): Refusal | undefined {
  const headerBytes = req.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    (req.url ?? '').length,
  );
  if (headerBytes > limits.maxHeaderBytes) {
    return refused(431, 'the headers are too large');
  }
  const declared = Number(req.headers['content-length'] ?? 0);
  return declared > limits.maxBodyBytes
    ? refused(413, 'the body is too large')
    : undefined;
}

/** Undefined when it is over the limit; rejects when the caller breaks off. */
function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const pieces: Buffer[] = [];
    let bytes = 0;
    req.on('data', (piece: Buffer) => {
      bytes += piece.length;
      if (bytes > maxBytes) resolve(undefined);
      else pieces.push(piece);
    });
    req.on('end', () => resolve(Buffer.concat(pieces)));
    req.on('error', reject);
    req.on('close', () => reject(new Error('the caller broke off')));
  });
}
