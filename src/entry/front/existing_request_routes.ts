/**
 * Routes for a request that was started earlier, at this or another entry.
 * They show its state, resume its answer, and cancel it. Another organisation
 * gets the same `not-found` error as for an id that does not exist.
 */
import type {IncomingMessage} from 'node:http';
import type {Organisation} from '../../types/config.js';
import type {RequestId} from '../../types/ids.js';
import type {RequestState} from '../../types/services.js';
import {
  createServiceResponseWriter,
  createEventStreamWriter,
  createJsonWriter,
} from './response_writers.js';
import type {ResponseWriter, ResumePoint} from './response_writers.js';
import {withLookupTimeout, linkToRequest} from './callers_exchange.js';
import type {Exchange, CallersDeps} from './callers_exchange.js';
import {badRequest, requestNotFound} from '../entry_errors.js';
import {sendJson} from './http_errors.js';

const MS_PER_SEC = 1000;
const REQUEST_ID = /^[0-9a-f]{32}$/;
const FROM_START: ResumePoint = {fromSeq: 0, dispatchId: ''};

/** `GET /v1/requests/ID`. Rejects with an `OnyxError` when refused. */
export async function showRequest(
  deps: CallersDeps,
  exchange: Exchange,
  query: URLSearchParams,
): Promise<void> {
  const organisation = await authenticate(deps, exchange.req);
  const from = readResumePoint(exchange.req, exchange.id, query);
  const state = await findState(deps, exchange.id, organisation);
  if (wantsStream(exchange.req, query)) {
    resume(deps, exchange, organisation, state, from);
  } else if (query.get('wait') === 'true') {
    resume(deps, exchange, organisation, state, undefined);
  } else {
    sendJson(exchange.res, 200, toStateBody(state));
  }
}

/** `DELETE /v1/requests/ID`. Rejects with an `OnyxError` when refused. */
export async function cancelRequest(
  deps: CallersDeps,
  exchange: Exchange,
): Promise<void> {
  const {id, req, res} = exchange;
  const organisation = await authenticate(deps, req);
  assertValidId(id);
  const found = await withLookupTimeout(
    deps,
    deps.ctx.ask('requests', (reply: (found: boolean) => void) => ({
      kind: 'cancel',
      id,
      organisation: organisation.id,
      reply,
    })),
  );
  if (!found) throw requestNotFound();
  sendJson(res, 200, {id, cancelled: true});
}

function authenticate(
  deps: CallersDeps,
  req: IncomingMessage,
): Promise<Organisation> {
  return deps.authenticator.authenticate(
    req.headers.authorization,
    deps.state.config().declarations,
  );
}

/**
 * Throws `not-found` for a malformed id, as for an unknown one. A malformed id
 * is never looked up.
 */
function assertValidId(id: RequestId): void {
  if (!REQUEST_ID.test(id)) throw requestNotFound();
}

async function findState(
  deps: CallersDeps,
  id: RequestId,
  organisation: Organisation,
): Promise<RequestState> {
  assertValidId(id);
  const state = await withLookupTimeout(
    deps,
    deps.ctx.ask('requests', (reply: (state: RequestState) => void) => ({
      kind: 'state',
      id,
      organisation: organisation.id,
      reply,
    })),
  );
  if (state.state === 'none') throw requestNotFound();
  return state;
}

function wantsStream(req: IncomingMessage, query: URLSearchParams): boolean {
  if (query.has('stream')) return query.get('stream') === 'true';
  return (req.headers.accept ?? '').includes('text/event-stream');
}

/**
 * Reads where to resume. `Last-Event-ID` names the last chunk that the caller
 * received. The query parameter `from` names the first chunk that the caller
 * wants, and takes precedence.
 */
function readResumePoint(
  req: IncomingMessage,
  id: RequestId,
  query: URLSearchParams,
): ResumePoint {
  const from = query.get('from');
  if (from !== null) return {fromSeq: parseSeq(from), dispatchId: ''};
  const lastEventId = req.headers['last-event-id'];
  if (lastEventId === undefined) return FROM_START;
  const [requestId, dispatchId, seq] = String(lastEventId).split(':');
  if (requestId !== id || dispatchId === undefined || seq === undefined) {
    throw badRequest('header last-event-id is not of this request');
  }
  return {fromSeq: parseSeq(seq) + 1, dispatchId};
}

function parseSeq(text: string): number {
  if (!/^\d{1,9}$/.test(text)) {
    throw badRequest('the chunk to resume from must be a whole number');
  }
  return Number(text);
}

/**
 * Resumes the answer on this connection. Streams it from `from`. Without `from`
 * the whole answer is sent at its end.
 */
function resume(
  deps: CallersDeps,
  exchange: Exchange,
  organisation: Organisation,
  state: RequestState,
  from: ResumePoint | undefined,
): void {
  const {ctx} = deps;
  const {id} = exchange;
  const fromSeq = state.kind === 'call' ? 0 : (from?.fromSeq ?? 0);
  const slot = deps.state.reserveResumeSlot();
  // With two connections on one run, each would get only some of the chunks.
  // The caller has reconnected, so its older connection is closed.
  deps.state.link(id)?.supersede();
  const listener = linkToRequest(deps, exchange, {
    organisation: organisation.id,
    writer: createWriter(deps, exchange, state, from),
    fromSeq,
    deadlineAt: undefined,
    slot,
    onFirstChunk: () => undefined,
  });
  ctx.send('requests', {
    kind: 'resume',
    id,
    organisation: organisation.id,
    fromSeq,
    sideHint: state.side,
    streamed: state.kind === 'call' || from !== undefined,
    listener,
  });
}

function createWriter(
  deps: CallersDeps,
  exchange: Exchange,
  state: RequestState,
  from: ResumePoint | undefined,
): ResponseWriter {
  const {id, res} = exchange;
  if (state.kind === 'call') return createServiceResponseWriter(res, id);
  const metadata = {
    id,
    model: state.model ?? '',
    created: Math.floor(deps.wallTimeMs() / MS_PER_SEC),
    promptTokens: state.promptTokens,
  };
  return from === undefined
    ? createJsonWriter(res, metadata)
    : createEventStreamWriter(res, metadata, from);
}

function toStateBody(state: RequestState) {
  return {
    id: state.id,
    state: state.state,
    kind: state.kind,
    upstream: state.side,
    dispatch_id: state.dispatchId,
    next_chunk: state.nextSeq,
  };
}
