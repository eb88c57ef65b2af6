/**
 * State of one caller's request from its arrival to its final answer: the
 * request, the time left for it, and whether the caller is still connected.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '../types/runtime.js';
import {createGuard} from '../utils/callback_guard.js';
import type {Guard} from '../utils/callback_guard.js';
import type {RequestAccount} from './held/held_bytes.js';
import {digestOf, partDigestOf} from './crashes/request_digest.js';
import type {DirectConfig, KeyOwner, RequestFacts, Route} from './types.js';

/**
 * A request that passed all checks, with the route and service for it. It keeps
 * the version of the configuration that admitted it, whatever comes later; see
 * `Exchange.moveTo` for the one exception.
 */
export interface AdmittedRequest {
  readonly config: DirectConfig;
  readonly route: Route;
  readonly service: string;
  readonly facts: RequestFacts;
  readonly id: string;
  /** Undefined for a public route, and where requests carry no keys. */
  readonly owner: KeyOwner | undefined;
  readonly body: Buffer;
  /** Undefined where the bytes that the entry holds are not bounded. */
  readonly account?: RequestAccount;
}

/** Assumed length of an answer when the caller gives neither limit nor estimate. */
const DEFAULT_ANSWER_TOKENS = 512;

/** Tokens of an engine's memory to plan for the answer. */
export function answerTokens({maxTokens, expectedTokens}: RequestFacts) {
  return maxTokens || expectedTokens || DEFAULT_ANSWER_TOKENS;
}

/** Why a request has ended. */
export type EndReason = 'caller left' | 'time is up' | 'answered';

export interface Exchange extends AdmittedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Time of arrival on this process's clock, in milliseconds. */
  readonly arrivedAt: number;
  /** Aborted with the `EndReason` when the request ends. */
  readonly signal: AbortSignal;
  /** An error in a callback under this guard ends the request. */
  readonly guard: Guard;
  timeLeftMs(): number;
  elapsedMs(): number;
  /** Digest that equal requests share; see `digestOf`. */
  digest(): string;
  /** Digests of the shared parts of its prompt; see `partDigestOf`. */
  partDigests(): readonly string[];
  /** Cost of a late answer, relative to other requests. */
  readonly weight: number;
  /** Number of times that the request was sent to a replica. */
  attempts: number;
  /**
   * True when a replica may have run the request: it was sent, and the replica
   * did not state that it was not run.
   */
  mayHaveRun: boolean;
  /** True when the request may be sent once although it is quarantined. */
  isTrial: boolean;
  /**
   * Replaces the version that admitted the request, and what that version said
   * of it. The time limit stays as it was; see `routes/newer_route.ts`.
   */
  moveTo(
    to: Pick<AdmittedRequest, 'config' | 'route' | 'service' | 'owner'>,
  ): void;
  /** Stops the timer and aborts `signal`, if it is not aborted yet. */
  end(reason: EndReason): void;
}

export interface ExchangeOptions {
  readonly clock: Clock;
  readonly arrivedAt: number;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly admitted: AdmittedRequest;
  readonly weight: number;
  /** Called when the route's time limit or the caller's own has passed. */
  onTimeUp(exchange: Exchange): void;
  onCallerLeft(exchange: Exchange): void;
  /** Called with an error in a callback of the request. */
  onError(exchange: Exchange, err: unknown, callback: string): void;
}

export function openExchange(options: ExchangeOptions): Exchange {
  const {clock, arrivedAt, req, res, admitted} = options;
  const {timeLimitMs} = admitted.route;
  const limitMs = Math.min(timeLimitMs, admitted.facts.timeLeftMs ?? Infinity);
  const abort = new AbortController();
  const guard = createGuard((err, callback) =>
    options.onError(exchange, err, callback),
  );
  const end = (reason: EndReason) => {
    cancelTimer();
    req.socket?.off('end', onClosed);
    if (!abort.signal.aborted) abort.abort(reason);
  };
  let digest: string | undefined;
  let partDigests: readonly string[] | undefined;
  const exchange: Exchange = {
    ...admitted,
    req,
    res,
    arrivedAt,
    weight: options.weight,
    signal: abort.signal,
    guard,
    timeLeftMs: () => arrivedAt + limitMs - clock.now(),
    elapsedMs: () => clock.now() - arrivedAt,
    digest: () =>
      (digest ??= digestOf({
        // The route's spelling, since callers may write the host differently.
        host: admitted.route.host,
        path: req.url ?? '/',
        organisation: exchange.owner?.organisation,
        body: admitted.body,
      })),
    partDigests: () =>
      (partDigests ??= admitted.facts.sharedParts.map(part =>
        partDigestOf(exchange.service, part),
      )),
    attempts: 0,
    mayHaveRun: false,
    isTrial: false,
    moveTo: to => {
      Object.assign(exchange, to);
      digest = undefined;
      partDigests = undefined;
    },
    end,
  };
  const onTimeUp = guard('time limit', () => {
    if (abort.signal.aborted) return;
    end('time is up');
    options.onTimeUp(exchange);
  });
  const cancelTimer = clock.after(exchange.timeLeftMs(), onTimeUp);
  const onClosed = guard('caller closed', () => {
    if (abort.signal.aborted) return;
    const isComplete = res.writableFinished;
    end(isComplete ? 'answered' : 'caller left');
    if (!isComplete) options.onCallerLeft(exchange);
  });
  res.once('close', onClosed);
  // The response closes some turns of the event loop after the caller's end.
  req.socket?.once('end', onClosed);
  return exchange;
}
