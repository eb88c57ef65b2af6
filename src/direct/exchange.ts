/**
 * One caller's request from its arrival to its one final answer: what was
 * asked, how much time is left, and whether the caller is still there.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '../types/runtime.js';
import {digestOf} from './request_digest.js';
import type {DirectConfig, KeyOwner, RequestFacts, Route} from './types.js';

/** A request that may be served. */
export interface AdmittedRequest {
  readonly config: DirectConfig;
  readonly route: Route;
  readonly service: string;
  readonly facts: RequestFacts;
  readonly id: string;
  readonly owner: KeyOwner | undefined;
  readonly body: Buffer;
}

/** Tokens of an answer whose length nothing tells. */
const UNKNOWN_ANSWER_TOKENS = 512;

/** Tokens that an answer may take of an engine's memory. */
export function answerTokens({maxTokens, expectedTokens}: RequestFacts) {
  return maxTokens || expectedTokens || UNKNOWN_ANSWER_TOKENS;
}

/** Why nothing more can come of a request. */
export type EndReason = 'caller left' | 'time is up' | 'answered';

export interface Exchange extends AdmittedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** On this process's clock. */
  readonly arrivedAt: number;
  /** Aborts when nothing more can come of the request. */
  readonly signal: AbortSignal;
  timeLeftMs(): number;
  elapsedMs(): number;
  /** Equal for requests that ask the same; see `digestOf`. */
  digest(): string;
  /** What its lateness costs, relative to others. */
  readonly weight: number;
  /** Replicas to which the request was sent so far. */
  attempts: number;
  /** It may have run: a replica got it and gave no proof that it did not. */
  mayHaveRun: boolean;
  /** It may be sent once though requests like it are quarantined. */
  isTrial: boolean;
  /** Refuses, or ends an answer that has begun; set by the front. */
  end(reason: EndReason): void;
}

export interface ExchangeOptions {
  readonly clock: Clock;
  readonly arrivedAt: number;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly admitted: AdmittedRequest;
  readonly weight: number;
  /** The time limit or the caller's own ended first. */
  onTimeUp(exchange: Exchange): void;
  onCallerLeft(exchange: Exchange): void;
}

export function openExchange(options: ExchangeOptions): Exchange {
  const {clock, arrivedAt, req, res, admitted} = options;
  const {timeLimitMs} = admitted.route;
  const limitMs = Math.min(timeLimitMs, admitted.facts.timeLeftMs ?? Infinity);
  const abort = new AbortController();
  const end = (reason: EndReason) => {
    cancelTimer();
    if (!abort.signal.aborted) abort.abort(reason);
  };
  let digest: string | undefined;
  const exchange: Exchange = {
    ...admitted,
    req,
    res,
    arrivedAt,
    weight: options.weight,
    signal: abort.signal,
    timeLeftMs: () => arrivedAt + limitMs - clock.now(),
    elapsedMs: () => clock.now() - arrivedAt,
    digest: () =>
      (digest ??= digestOf({
        // As the route has it: callers may write it in several ways.
        host: admitted.route.host,
        path: req.url ?? '/',
        organisation: admitted.owner?.organisation,
        body: admitted.body,
      })),
    attempts: 0,
    mayHaveRun: false,
    isTrial: false,
    end,
  };
  const cancelTimer = clock.after(exchange.timeLeftMs(), () => {
    if (abort.signal.aborted) return;
    end('time is up');
    options.onTimeUp(exchange);
  });
  res.once('close', () => {
    if (abort.signal.aborted) return;
    const whole = res.writableFinished;
    end(whole ? 'answered' : 'caller left');
    if (!whole) options.onCallerLeft(exchange);
  });
  return exchange;
}
