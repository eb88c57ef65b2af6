/**
 * Routes that start a request: completions, and calls to plain HTTP services.
 * They read and validate the caller's input, admit the request, and submit it
 * to the `requests` service.
 */
import type {IncomingMessage} from 'node:http';
import type {CallHead, Header} from '../../types/peer_messages.js';
import type {RequestSpec} from '../../types/services.js';
import {FRONT_EVENTS} from '../../utils/events.js';
import {withoutHopHeaders} from '../../utils/hop_headers.js';
import {
  admitCall,
  admitCompletion,
  findService,
} from '../admission/admission.js';
import type {ArrivedRequest} from '../admission/admission.js';
import {
  createServiceResponseWriter,
  createEventStreamWriter,
  createJsonWriter,
} from './response_writers.js';
import type {ResponseWriter} from './response_writers.js';
import {linkToRequest} from './callers_exchange.js';
import type {Exchange, CallersDeps} from './callers_exchange.js';
import type {RequestSlot} from './callers_state.js';
import {EMPTY_BODY_OPTIONS, validateCompletion} from './completion_fields.js';
import {badRequest} from '../entry_errors.js';
import {declaredLength} from './http_body.js';
import {readRequestOptions} from './request_options.js';

const MS_PER_SEC = 1000;
/** Headers for the entry itself, which are not forwarded to a plain service. */
const ENTRY_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'expect',
  'host',
]);
/** Headers with this prefix are not forwarded either. */
const ENTRY_PREFIX = 'x-onyxloft-';

/** `POST /v1/completions`. Rejects with an `OnyxError` when refused. */
export function submitCompletion(
  deps: CallersDeps,
  exchange: Exchange,
): Promise<void> {
  return withSlot(deps, exchange, async (arrival, slot) => {
    const {req, res} = exchange;
    // Bad headers are refused here, before the body is read. The options are
    // read again below, with those of the body.
    readRequestOptions(req.headers, EMPTY_BODY_OPTIONS, deps.wallTimeMs());
    const parsed = await deps.bodyReader.readCompletion(req, res);
    const fields = validateCompletion(parsed);
    const options = readRequestOptions(
      req.headers,
      fields.options,
      deps.wallTimeMs(),
    );
    const spec = admitCompletion(arrival, fields, options);
    const metadata = {
      id: spec.id,
      model: fields.model ?? spec.model,
      created: Math.floor(deps.wallTimeMs() / MS_PER_SEC),
      promptTokens: spec.promptTokens,
    };
    const writer = fields.stream
      ? createEventStreamWriter(res, metadata, {fromSeq: 0, dispatchId: ''})
      : createJsonWriter(res, metadata);
    submit(deps, exchange, spec, writer, slot);
  });
}

/** `ANY /v1/services/POOL/PATH`. Rejects with an `OnyxError` when refused. */
export function submitCall(
  deps: CallersDeps,
  exchange: Exchange,
  pool: string,
  path: string,
): Promise<void> {
  return withSlot(deps, exchange, async (arrival, slot) => {
    const {req, res} = exchange;
    const service = findService(arrival.config.declarations, pool);
    const options = readRequestOptions(
      req.headers,
      EMPTY_BODY_OPTIONS,
      deps.wallTimeMs(),
    );
    const body = await deps.bodyReader.readRaw(req, res);
    const call: CallHead = {
      method: req.method ?? 'GET',
      path,
      headers: forwardedHeaders(req),
    };
    const spec = admitCall(arrival, service, call, body, options);
    submit(
      deps,
      exchange,
      spec,
      createServiceResponseWriter(res, spec.id),
      slot,
    );
  });
}

/**
 * Reserves a slot and authenticates the caller before any of the body is read,
 * then runs `handler`. Releases the slot if the authentication or the handler
 * fails. After a success, the link to the request releases it at its end.
 */
async function withSlot(
  deps: CallersDeps,
  exchange: Exchange,
  handler: (arrival: ArrivedRequest, slot: RequestSlot) => Promise<void>,
): Promise<void> {
  const {req, id, arrivedAt} = exchange;
  const config = deps.state.config();
  const expectedBytes = Math.min(
    declaredLength(req) ?? deps.maxBodyBytes,
    deps.maxBodyBytes,
  );
  const slot = deps.state.reserveSlot(expectedBytes);
  try {
    const organisation = await deps.authenticator.authenticate(
      req.headers.authorization,
      config.declarations,
    );
    await handler({id, organisation, config, arrivedAt}, slot);
  } catch (err) {
    slot.release();
    throw err;
  }
}

/**
 * Submits an admitted request and links it to the exchange. Throws an
 * `OnyxError` if its time is over or the caller has disconnected.
 */
function submit(
  deps: CallersDeps,
  exchange: Exchange,
  spec: RequestSpec,
  writer: ResponseWriter,
  slot: RequestSlot,
): void {
  const {ctx} = deps;
  const {req, arrivedAt} = exchange;
  const timeLeftMs = spec.deadlineAt - ctx.clock.now();
  if (timeLeftMs <= 0) {
    throw badRequest(
      'the time limit ended while the body came in',
      'read',
      'deadline-exceeded',
    );
  }
  // The link notices a disconnect by the response's `close` event. If the
  // caller has disconnected already, the event came before the link listens,
  // and the link would never notice.
  if (req.socket.destroyed) {
    throw badRequest('the caller left', 'read', 'cancelled');
  }
  slot.setBodyBytes(spec.body.bytes);
  // The classes are in ascending order of `maxTokens`.
  const [shortestClass] = spec.config.declarations.lengthClasses;
  const listener = linkToRequest(deps, exchange, {
    organisation: spec.organisation,
    writer,
    fromSeq: 0,
    deadlineAt: spec.deadlineAt,
    slot,
    onFirstChunk: () => {
      if (spec.kind !== 'completion') return;
      deps.firstTokenMetrics.record(
        spec.lengthClass,
        ctx.clock.now() - arrivedAt,
        spec.lengthClass === shortestClass?.name,
      );
    },
  });
  ctx.log(FRONT_EVENTS.admitted, {
    requestId: spec.id,
    organisation: spec.organisation,
    kind: spec.kind,
    pool: spec.pool,
    model: spec.model,
    priorityClass: spec.priorityClass,
    lengthClass: spec.lengthClass,
    promptTokens: spec.promptTokens,
    timeLeftMs,
    repeatable: spec.repeatable,
    config: spec.config.number,
  });
  ctx.send('requests', {kind: 'submit', spec, listener});
}

/**
 * Headers to forward to a plain service, in their original order. Hop-by-hop
 * headers and headers for the entry are left out.
 */
function forwardedHeaders(req: IncomingMessage): readonly Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < req.rawHeaders.length; index += 2) {
    const name = req.rawHeaders[index] ?? '';
    headers.push({name, value: req.rawHeaders[index + 1] ?? ''});
  }
  return withoutHopHeaders(headers).filter(({name}) => {
    const lower = name.toLowerCase();
    return !ENTRY_HEADERS.has(lower) && !lower.startsWith(ENTRY_PREFIX);
  });
}
