/** What the routes of the callers' front share. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {OnyxError} from '../../types/errors.js';
import type {OrganisationId, RequestId} from '../../types/ids.js';
import type {ServiceContext} from '../../types/kernel.js';
import type {LogFields} from '../../types/runtime.js';
import type {RequestListener} from '../../types/services.js';
import {FRONT_EVENTS} from '../../utils/events.js';
import {createLink} from '../run/answer_link.js';
import type {LinkTiming, Outcome} from '../run/answer_link.js';
import type {ResponseWriter} from './response_writers.js';
import type {Authenticator} from './authenticator.js';
import type {CallersState, RequestSlot} from './callers_state.js';
import type {FirstTokenMetrics} from '../run/first_token_metrics.js';
import type {BodyReader} from './http_body.js';
import {discardRestOfBody, sendError, statusOf} from './http_errors.js';

export interface CallersDeps {
  readonly ctx: ServiceContext<'callers'>;
  readonly state: CallersState;
  readonly authenticator: Authenticator;
  readonly bodyReader: BodyReader;
  readonly firstTokenMetrics: FirstTokenMetrics;
  readonly timing: LinkTiming & {readonly lookupTimeoutMs: number};
  readonly maxUnsentResponseBytes: number;
  readonly maxBodyBytes: number;
  /** Unix time in milliseconds. */
  readonly wallTimeMs: () => number;
}

/** One HTTP exchange. */
export interface Exchange {
  readonly id: RequestId;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** On this process's clock. */
  readonly arrivedAt: number;
}

/** Answers an exchange that no run was started for. */
export function refuse(
  front: CallersDeps,
  exchange: Exchange,
  error: OnyxError,
  status = statusOf(error),
): void {
  const {ctx} = front;
  const {id, req, res} = exchange;
  ctx.log(FRONT_EVENTS.refused, {
    ...errorFields(id, error),
    status,
  });
  countOutcome(front, 'refused', error);
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  discardRestOfBody(req, res, ctx.clock);
  sendError(res, error, id, status);
}

export interface AttachOptions {
  readonly organisation: OrganisationId;
  readonly writer: ResponseWriter;
  readonly fromSeq: number;
  readonly deadlineAt: number | undefined;
  readonly slot: RequestSlot;
  readonly onFirstChunk: () => void;
}

/**
 * Joins a request to the exchange; the listener is for `requests`. The place
 * is released when the request has ended.
 */
export function attachToRequest(
  front: CallersDeps,
  exchange: Exchange,
  options: AttachOptions,
): RequestListener {
  const {ctx, state} = front;
  const {id, res, arrivedAt} = exchange;
  const {organisation, slot: place} = options;
  let firstTokenMs = 0;

  const link = createLink(ctx, {
    ...options,
    id,
    res,
    timing: front.timing,
    maxAnswerBytes: front.maxUnsentResponseBytes,
    cancelRun: () => ctx.send('requests', {kind: 'cancel', id, organisation}),
    onFirstChunk: () => {
      firstTokenMs = ctx.clock.now() - arrivedAt;
      options.onFirstChunk();
    },
    onEnd: (outcome, error) => {
      place.release();
      state.removeLink(id, link);
      countOutcome(front, outcome, error);
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

/** Rejects when a service does not answer in time. */
export function withLookupTimeout<T>(
  front: CallersDeps,
  asked: Promise<T>,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const cancel = front.ctx.clock.after(front.timing.lookupTimeoutMs, () =>
      reject(
        new OnyxError({
          code: 'timeout',
          step: 'locate',
          message: 'the state of the request could not be found in time',
          ran: 'unknown',
        }),
      ),
    );
    asked.then(resolve, reject).finally(cancel);
  });
}

function countOutcome(front: CallersDeps, outcome: Outcome, error?: OnyxError) {
  const {metrics} = front.ctx;
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
