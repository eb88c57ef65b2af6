/**
 * What the route handlers of the callers' service share: their dependencies,
 * the HTTP exchange they answer, the refusal of an exchange, and the
 * connection between an exchange and a request of the `requests` service.
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
  readonly timing: CallerLinkTiming & {readonly lookupTimeoutMs: number};
  /**
   * Largest part of a response that may wait in memory for a slow caller. The
   * connection is closed when more is waiting.
   */
  readonly maxUnsentResponseBytes: number;
  /** Largest request body, in bytes. A larger one is refused. */
  readonly maxBodyBytes: number;
  /** Returns the Unix time in milliseconds. */
  readonly wallTimeMs: () => number;
}

/** One HTTP request and its response. */
export interface Exchange {
  /** The id in the path, or a new random id for a new request. */
  readonly id: RequestId;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Time when the headers were complete, in ms on this process's clock. */
  readonly arrivedAt: number;
}

/**
 * Answers an exchange with an error before any request was submitted for it.
 * Closes the connection if a response has already begun.
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

/** How a request is attached to an exchange. */
export interface RequestLinkOptions {
  readonly organisation: OrganisationId;
  readonly writer: ResponseWriter;
  /** Sequence number of the first chunk to write. */
  readonly fromSeq: number;
  /**
   * End of the request's time limit, in ms on this process's clock. Undefined
   * for a resumed request, which another entry may have admitted.
   */
  readonly deadlineAt: number | undefined;
  /** Released when the request has ended. */
  readonly slot: RequestSlot;
  readonly onFirstChunk: () => void;
}

/**
 * Connects a request to the exchange: the events of the request are written to
 * the response, and the run is cancelled if the caller disconnects for good.
 * Returns the listener to pass to the `requests` service.
 */
export function linkToRequest(
  deps: CallersDeps,
  exchange: Exchange,
  options: RequestLinkOptions,
): RequestListener {
  const {ctx, state} = deps;
  const {id, res, arrivedAt} = exchange;
  const {organisation, slot} = options;
  let firstTokenMs = 0;

  const link = createCallerLink(ctx, {
    ...options,
    id,
    res,
    timing: deps.timing,
    maxUnsentResponseBytes: deps.maxUnsentResponseBytes,
    cancelRun: () => ctx.send('requests', {kind: 'cancel', id, organisation}),
    onFirstChunk: () => {
      firstTokenMs = ctx.clock.now() - arrivedAt;
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
          firstTokenMs,
          totalMs,
        });
      }
    },
  });
  state.addLink(id, link);
  return link.listener;
}

/**
 * Settles as `pending` does. Rejects with `timeout` when that takes longer than
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
