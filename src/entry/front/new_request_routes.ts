/** Routes that start a request: completions, and calls to plain services. */
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
import type {Arrival} from '../admission/admission.js';
import {
  createServiceResponseWriter,
  createEventStreamWriter,
  createJsonWriter,
} from './response_writers.js';
import type {ResponseWriter} from './response_writers.js';
import {attachToRequest} from './callers_exchange.js';
import type {Exchange, CallersDeps} from './callers_exchange.js';
import type {RequestSlot} from './callers_state.js';
import {EMPTY_BODY_OPTIONS, validateCompletion} from './completion_fields.js';
import {badRequest} from '../faults.js';
import {declaredLength} from './http_body.js';
import {readRequestOptions} from './request_options.js';

const MS_PER_SEC = 1000;
/** Meant for the entry, and none of the plain service's business. */
const ENTRY_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'expect',
  'host',
]);
const ENTRY_PREFIX = 'x-onyxloft-';

/** `POST /v1/completions`. Rejects with an `OnyxError` when refused. */
export function submitCompletion(
  front: CallersDeps,
  exchange: Exchange,
): Promise<void> {
  return inPlace(front, exchange, async (arrival, place) => {
    const {req, res} = exchange;
    // What the headers alone tell is told before the body is sent.
    readRequestOptions(req.headers, EMPTY_BODY_OPTIONS, front.wallTimeMs());
    const parsed = await front.bodyReader.readCompletion(req, res);
    const fields = validateCompletion(parsed);
    const options = readRequestOptions(
      req.headers,
      fields.options,
      front.wallTimeMs(),
    );
    const spec = admitCompletion(arrival, fields, options);
    const head = {
      id: spec.id,
      model: fields.model ?? spec.model,
      created: Math.floor(front.wallTimeMs() / MS_PER_SEC),
      promptTokens: spec.promptTokens,
    };
    const answer = fields.stream
      ? createEventStreamWriter(res, head, {fromSeq: 0, dispatchId: ''})
      : createJsonWriter(res, head);
    submit(front, exchange, spec, answer, place);
  });
}

/** `ANY /v1/services/POOL/PATH`. Rejects with an `OnyxError` when refused. */
export function submitCall(
  front: CallersDeps,
  exchange: Exchange,
  pool: string,
  path: string,
): Promise<void> {
  return inPlace(front, exchange, async (arrival, place) => {
    const {req, res} = exchange;
    const service = findService(arrival.config.declarations, pool);
    const options = readRequestOptions(
      req.headers,
      EMPTY_BODY_OPTIONS,
      front.wallTimeMs(),
    );
    const body = await front.bodyReader.readRaw(req, res);
    const call: CallHead = {
      method: req.method ?? 'GET',
      path,
      headers: callHeaders(req),
    };
    const spec = admitCall(arrival, service, call, body, options);
    submit(
      front,
      exchange,
      spec,
      createServiceResponseWriter(res, spec.id),
      place,
    );
  });
}

/** Takes a place and tells the organisation before any body is read. */
async function inPlace(
  front: CallersDeps,
  exchange: Exchange,
  run: (arrival: Arrival, place: RequestSlot) => Promise<void>,
): Promise<void> {
  const {req, id, arrivedAt} = exchange;
  const config = front.state.config();
  const expected = Math.min(
    declaredLength(req) ?? front.maxBodyBytes,
    front.maxBodyBytes,
  );
  const place = front.state.reserveSlot(expected);
  try {
    const organisation = await front.authenticator.authenticate(
      req.headers.authorization,
      config.declarations,
    );
    await run({id, organisation, config, arrivedAt}, place);
  } catch (err) {
    place.release();
    throw err;
  }
}

function submit(
  front: CallersDeps,
  exchange: Exchange,
  spec: RequestSpec,
  answer: ResponseWriter,
  place: RequestSlot,
): void {
  const {ctx} = front;
  const {req, arrivedAt} = exchange;
  const timeLeftMs = spec.deadlineAt - ctx.clock.now();
  if (timeLeftMs <= 0) {
    throw badRequest(
      'the time limit ended while the body came in',
      'read',
      'deadline-exceeded',
    );
  }
  // A caller that left before this point would never be seen to leave.
  if (req.socket.destroyed) {
    throw badRequest('the caller left', 'read', 'cancelled');
  }
  place.setBodyBytes(spec.body.bytes);
  const [shortest] = spec.config.declarations.lengthClasses;
  const listener = attachToRequest(front, exchange, {
    organisation: spec.organisation,
    writer: answer,
    fromSeq: 0,
    deadlineAt: spec.deadlineAt,
    slot: place,
    onFirstChunk: () => {
      if (spec.kind !== 'completion') return;
      front.firstTokenMetrics.record(
        spec.lengthClass,
        ctx.clock.now() - arrivedAt,
        spec.lengthClass === shortest?.name,
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

/** Headers as they came, in order, those of this connection left out. */
function callHeaders(req: IncomingMessage): readonly Header[] {
  const headers: Header[] = [];
  for (let at = 0; at + 1 < req.rawHeaders.length; at += 2) {
    const name = req.rawHeaders[at] ?? '';
    headers.push({name, value: req.rawHeaders[at + 1] ?? ''});
  }
  return withoutHopHeaders(headers).filter(({name}) => {
    const lower = name.toLowerCase();
    return !ENTRY_HEADERS.has(lower) && !lower.startsWith(ENTRY_PREFIX);
  });
}
