/**
 * Routes of a request that was started before, here or at another entry: its
 * state, its answer again, its end. Only its own organisation gets to it.
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
import {withLookupTimeout, attachToRequest} from './callers_exchange.js';
import type {Exchange, CallersDeps} from './callers_exchange.js';
import {badRequest, noSuchRequest} from '../faults.js';
import {sendJson} from './http_errors.js';

const MS_PER_SEC = 1000;
const REQUEST_ID = /^[0-9a-f]{32}$/;
const FROM_START: ResumePoint = {fromSeq: 0, dispatchId: ''};

/** `GET /v1/requests/ID`. Rejects with an `OnyxError` when refused. */
export async function showRequest(
  front: CallersDeps,
  exchange: Exchange,
  query: URLSearchParams,
): Promise<void> {
  const organisation = await authenticate(front, exchange.req);
  const from = resumePoint(exchange.req, exchange.id, query);
  const state = await stateOf(front, exchange.id, organisation);
  if (wantsStream(exchange.req, query)) {
    resume(front, exchange, organisation, state, from);
  } else if (query.get('wait') === 'true') {
    resume(front, exchange, organisation, state, undefined);
  } else {
    sendJson(exchange.res, 200, stateBody(state));
  }
}

/** `DELETE /v1/requests/ID`. Rejects with an `OnyxError` when refused. */
export async function cancelRequest(
  front: CallersDeps,
  exchange: Exchange,
): Promise<void> {
  const {id, req, res} = exchange;
  const organisation = await authenticate(front, req);
  checkId(id);
  const found = await withLookupTimeout(
    front,
    front.ctx.ask('requests', (reply: (found: boolean) => void) => ({
      kind: 'cancel',
      id,
      organisation: organisation.id,
      reply,
    })),
  );
  if (!found) throw noSuchRequest();
  sendJson(res, 200, {id, cancelled: true});
}

function authenticate(
  front: CallersDeps,
  req: IncomingMessage,
): Promise<Organisation> {
  return front.authenticator.authenticate(
    req.headers.authorization,
    front.state.config().declarations,
  );
}

/** An id that can't be one is answered as any other that isn't there. */
function checkId(id: RequestId): void {
  if (!REQUEST_ID.test(id)) throw noSuchRequest();
}

async function stateOf(
  front: CallersDeps,
  id: RequestId,
  organisation: Organisation,
): Promise<RequestState> {
  checkId(id);
  const state = await withLookupTimeout(
    front,
    front.ctx.ask('requests', (reply: (state: RequestState) => void) => ({
      kind: 'state',
      id,
      organisation: organisation.id,
      reply,
    })),
  );
  if (state.state === 'none') throw noSuchRequest();
  return state;
}

function wantsStream(req: IncomingMessage, query: URLSearchParams): boolean {
  if (query.has('stream')) return query.get('stream') === 'true';
  return (req.headers.accept ?? '').includes('text/event-stream');
}

/** `Last-Event-ID` names the last chunk had, `from` the first one wanted. */
function resumePoint(
  req: IncomingMessage,
  id: RequestId,
  query: URLSearchParams,
): ResumePoint {
  const from = query.get('from');
  if (from !== null) return {fromSeq: sequence(from), dispatchId: ''};
  const last = req.headers['last-event-id'];
  if (last === undefined) return FROM_START;
  const [requestId, dispatchId, seq] = String(last).split(':');
  if (requestId !== id || dispatchId === undefined || seq === undefined) {
    throw badRequest('header last-event-id is not of this request');
  }
  return {fromSeq: sequence(seq) + 1, dispatchId};
}

function sequence(text: string): number {
  if (!/^\d{1,9}$/.test(text)) {
    throw badRequest('the chunk to resume from must be a whole number');
  }
  return Number(text);
}

/** Streams from `from`; without it, answers as a whole. */
function resume(
  front: CallersDeps,
  exchange: Exchange,
  organisation: Organisation,
  state: RequestState,
  from: ResumePoint | undefined,
): void {
  const {ctx} = front;
  const {id} = exchange;
  const fromSeq = state.kind === 'call' ? 0 : (from?.fromSeq ?? 0);
  const place = front.state.reserveResumeSlot();
  // Two connections on one run would each get some of its chunks. The caller
  // has dialled anew because the old one is of no use to it any more.
  front.state.link(id)?.supersede();
  const listener = attachToRequest(front, exchange, {
    organisation: organisation.id,
    writer: answerOf(front, exchange, state, from),
    fromSeq,
    deadlineAt: undefined,
    slot: place,
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

function answerOf(
  front: CallersDeps,
  exchange: Exchange,
  state: RequestState,
  from: ResumePoint | undefined,
): ResponseWriter {
  const {id, res} = exchange;
  if (state.kind === 'call') return createServiceResponseWriter(res, id);
  const head = {
    id,
    model: state.model ?? '',
    created: Math.floor(front.wallTimeMs() / MS_PER_SEC),
    promptTokens: state.promptTokens,
  };
  return from === undefined
    ? createJsonWriter(res, head)
    : createEventStreamWriter(res, head, from);
}

function stateBody(state: RequestState) {
  return {
    id: state.id,
    state: state.state,
    kind: state.kind,
    upstream: state.side,
    dispatch_id: state.dispatchId,
    next_chunk: state.nextSeq,
  };
}
