/**
 * Serves a request that was admitted, from its exchange to its final answer. An
 * error of the entry itself also ends in an answer, by whether the request may
 * have run.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {endFailedRequest} from '../boundary/request_errors.js';
import {prefillMs} from '../decide/engine_timing.js';
import {weightedSize} from '../decide/request_weights.js';
import {openExchange} from '../exchange.js';
import type {AdmittedRequest, Exchange} from '../exchange.js';
import {serveCall} from '../serve_call.js';
import {
  giveUp,
  isTooLateToBegin,
  refuseAtStop,
  refuseQuarantined,
} from '../serve_context.js';
import type {ServeContext} from '../serve_context.js';
import {serveStream} from '../streams/serve_stream.js';
import type {OpenRequests} from './open_requests.js';
import {runAll, runEach} from '../../utils/run_each.js';

/** Serves a request until its final answer; `arrivedAt` is its arrival. */
export type ServeAdmitted = (
  admitted: AdmittedRequest,
  req: IncomingMessage,
  res: ServerResponse,
  arrivedAt: number,
) => void;

export function createServeAdmitted(
  ctx: ServeContext,
  openRequests: OpenRequests,
): ServeAdmitted {
  return (admitted, req, res, arrivedAt) => {
    const exchange = openExchange({
      clock: ctx.clock,
      arrivedAt,
      req,
      res,
      admitted,
      weight: weightOf(ctx, admitted),
      onTimeUp: late => giveUp(ctx, late, 'time is up'),
      onCallerLeft: openRequests.logCallerLeft,
      onError: (failed, err, callback) =>
        endFailedRequest(ctx, failed, err, callback),
    });
    void serveToEnd(ctx, exchange, openRequests);
  };
}

function weightOf(
  {requestWeights}: ServeContext,
  {config, service, route, facts}: AdmittedRequest,
): number {
  const figures = config.services.get(service)?.engine;
  const ms =
    figures === undefined ? 0 : prefillMs(figures, facts.promptTokens, 1);
  return requestWeights.weigh(route.name, weightedSize(facts), ms);
}

/** Resolves when the request has ended; never rejects. */
async function serveToEnd(
  ctx: ServeContext,
  exchange: Exchange,
  openRequests: Pick<OpenRequests, 'add' | 'delete'>,
): Promise<void> {
  try {
    openRequests.add(exchange);
    ctx.stop.began(exchange);
    await serveOrRefuse(ctx, exchange);
  } catch (err) {
    endFailedRequest(ctx, exchange, err);
  }
  const finish = exchange.guard('request end', () =>
    runAll([
      () => ctx.stop.ended(exchange),
      () => ctx.crashes.requestEnded(exchange),
    ]),
  );
  const remove = exchange.guard('request removed', () =>
    openRequests.delete(exchange),
  );
  runEach([() => exchange.end('answered'), finish, remove]);
}

async function serveOrRefuse(
  ctx: ServeContext,
  exchange: Exchange,
): Promise<void> {
  const {crashes} = ctx;
  await crashes.settled(exchange);
  if (exchange.signal.aborted) return;
  if (crashes.isQuarantined(exchange)) {
    const isTrial = await crashes.claimTrial(exchange);
    if (exchange.signal.aborted) return;
    if (!isTrial) {
      refuseQuarantined(ctx, exchange);
      return;
    }
  }
  if (isTooLateToBegin(ctx, exchange)) refuseAtStop(ctx, exchange);
  else if (exchange.route.streaming) await serveStream(ctx, exchange);
  else await serveCall(ctx, exchange);
}
