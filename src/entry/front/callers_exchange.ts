/**
 * What the route handlers of the callers' service share: their dependencies,
 * the HTTP exchange that they answer, the refusal of an exchange, the link that
 * writes the events of a submitted request to the exchange, and the time limit
 * of a lookup of such a request. A submitted request is one that the `requests`
 * service runs; it can outlive its exchange.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {OnyxError} from '../../types/errors.js';
import type {OrganisationId, RequestId} from '../../types/ids.js';
import type {ServiceContext} from '../../types/kernel.js';
import type {LogFields} from '../../types/runtime.js';
import type {RequestListener} from '../../types/services.js';
import {FRONT_EVENTS} from '../../utils/events.js';
import {createCallerLink} from '../run/caller_link.js';
import type {CallerLinkTiming, CallerOutcome} from '../run/caller_link.js';
import type {ResponseWriter} from './response_writers.js';
import type {Authenticator} from './authenticator.js';
import type {CallersState, RequestSlot} from './callers_state.js';
import type {FirstTokenMetrics} from '../run/first_token_metrics.js';
import type {BodyReader} from './http_body.js';
import {discardRestOfBody, sendError, statusOf} from './http_errors.js';

/** The dependencies and limits of all route handlers. */
export interface CallersDeps {
  readonly ctx: ServiceContext<'callers'>;
  readonly state: CallersState;
  readonly authenticator: Authenticator;
  readonly bodyReader: BodyReader;
  readonly firstTokenMetrics: FirstTokenMetrics;
  /**
   * Timing of links. `lookupTimeoutMs` is the longest time for finding the state
   * of a submitted request, in milliseconds; see `withLookupTimeout`.
   */
  readonly timing: CallerLinkTiming & {readonly lookupTimeoutMs: number};
  /**
   * Most bytes of a response that may wait in memory for a slow caller. The
   * caller's connection is closed when more are waiting.
   */
  readonly maxUnsentResponseBytes: number;
  /** Largest request body, in bytes. A larger one is refused. */
  readonly maxBodyBytes: number;
  /** Returns the Unix time in milliseconds. */
  readonly wallTimeMs: () => number;
}

/** One HTTP request and its response. */
export interface Exchange {
  /**
   * Id of the submitted request: the one in the HTTP path, or a random one for a
   * new request.
   */
  readonly id: RequestId;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /**
   * Time at which the HTTP headers were complete, in milliseconds on this
   * process's clock.
   */
  readonly arrivedAt: number;
}

/**
 * Answers the caller of an exchange with an error, when no request has been
 * submitted for it. Closes the connection if a response has already begun.
 */
export function refuse(
  deps: CallersDeps,
  exchange: Exchange,
  error: OnyxError,
  status = statusOf(error),
): void {
  const {ctx} = deps;
  const {id, req, res} = exchange;
  ctx.log(FRONT_EVENTS.refused, {
    ...errorFields(id, error),
    status,
  });
  countOutcome(deps, 'refused', error);
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  discardRestOfBody(req, res, ctx.clock);
  sendError(res, error, id, status);
}

/** How a submitted request is linked to an exchange. */
export interface RequestLinkOptions {
  /** Organisation that the submitted request belongs to. */
  readonly organisation: OrganisationId;
  /** Writes the events of the submitted request to the HTTP response. */
  readonly writer: ResponseWriter;
  /** Sequence number of the first chunk to write. */
  readonly fromSeq: number;
  /**
   * End of the submitted request's time limit, in milliseconds on this
   * process's clock. Undefined for a resumed request: another entry may have
   * admitted it, and this entry then does not know its time limit.
   */
  readonly deadlineAt: number | undefined;
  /** Released when the link ends, even if the submitted request goes on. */
  readonly slot: RequestSlot;
  /** Called when the first chunk arrives, before it is written. */
  readonly onFirstChunk: () => void;
}

/**
 * Links a submitted request to the exchange. The link writes the events of the
 * request to the response, and cancels the request's run if the caller
 * disconnects and does not come back in time. Returns the listener of the link,
 * which the caller of this function passes to the `requests` service.
 */
export function linkToRequest(
  deps: CallersDeps,
  exchange: Exchange,
  options: RequestLinkOptions,
): RequestListener {
  const {ctx, state} = deps;
  const {id, res, arrivedAt} = exchange;
  const {organisation, slot} = options;
  // Time from the exchange's arrival to the first chunk; 0 before that.
  let firstChunkMs = 0;

  const link = createCallerLink(ctx, {
    ...options,
    id,
    res,
    timing: deps.timing,
    maxUnsentResponseBytes: deps.maxUnsentResponseBytes,
    cancelRun: () => ctx.send('requests', {kind: 'cancel', id, organisation}),
    onFirstChunk: () => {
      firstChunkMs = ctx.clock.now() - arrivedAt;
      options.onFirstChunk();
    },
    onEnd: (outcome, error) => {
      slot.release();
      state.removeLink(id, link);
      countOutcome(deps, outcome, error);
      const totalMs = ctx.clock.now() - arrivedAt;
      if (error !== undefined) {
        ctx.log(FRONT_EVENTS.failed, errorFields(id, error));
      } else if (outcome === 'complete') {
        ctx.log(FRONT_EVENTS.answered, {
          requestId: id,
          firstTokenMs: firstChunkMs,
          totalMs,
        });
      }
    },
  });
  state.addLink(id, link);
  return link.listener;
}

/**
 * `pending` is a lookup of the state of a submitted request. The result settles
 * as it does, but rejects with the code `timeout` if it takes longer than
 * `lookupTimeoutMs`.
 */
export function withLookupTimeout<T>(
  deps: CallersDeps,
  pending: Promise<T>,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const cancel = deps.ctx.clock.after(deps.timing.lookupTimeoutMs, () =>
      reject(
        new OnyxError({
          code: 'timeout',
          step: 'locate',
          message: 'the state of the request could not be found in time',
          ran: 'unknown',
        }),
      ),
    );
    pending.then(resolve, reject).finally(cancel);
  });
}

/** Counts how the exchange ended, and for a refusal its error code. */
function countOutcome(
  deps: CallersDeps,
  outcome: CallerOutcome,
  error?: OnyxError,
) {
  const {metrics} = deps.ctx;
  metrics.count('onyxloft_requests_total', {outcome});
  if (error === undefined || outcome !== 'refused') return;
  metrics.count('onyxloft_refusals_total', {code: error.code});
}

/** Fields of a log line about an error. */
function errorFields(id: RequestId, error: OnyxError): LogFields {
  return {
    requestId: id,
    code: error.code,
    step: error.step,
    upstream: error.peer,
    ran: error.ran,
    message: error.message,
  };
}
