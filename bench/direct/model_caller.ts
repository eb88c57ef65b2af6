/**
 * A caller of the modelled fleet: takes the stream, leaves when it has waited
 * too long, and comes back once after a refusal or a broken answer.
 */
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {callerTimeoutMs} from '../../src/direct/decide/caller_timeout.js';
import type {AdmittedRequest} from '../../src/direct/exchange.js';
import type {DirectConfig, Route} from '../../src/direct/types.js';
import type {Cancel, Clock} from '../../src/types/runtime.js';
import type {LoadRequest} from './load.js';
import {modelHeaders} from './model_fleet.js';
import type {ModelRequest} from './model_fleet.js';

/** How a request went, as its caller saw it. */
export interface CallerRecord {
  readonly request: LoadRequest;
  firstEventMs: number | undefined;
  longestPauseMs: number;
  events: number;
  /** How the last try ended. */
  end: 'open' | 'whole' | 'left' | 'cut' | 'refused' | 'failed';
  tries: number;
  refusals: number;
}

/** Where a caller sends a try. */
export interface CallerTarget {
  serve(
    admitted: AdmittedRequest,
    req: IncomingMessage,
    res: ServerResponse,
    arrivedAt: number,
  ): void;
}

export interface CallerOptions {
  readonly clock: Clock;
  readonly request: LoadRequest;
  readonly config: DirectConfig;
  readonly route: Route;
  /** Entry of each try; undefined where none is up. */
  target(tries: number): CallerTarget | undefined;
  /** Time between caller and entry, one way. */
  readonly wayMs: number;
}

/** Tries after the first. */
const MOST_RETRIES = 1;
/** Share of the time left that a caller waits at most before it comes back. */
const MOST_WAIT_SHARE = 1 / 3;
/** Until a caller whose connection was refused or broke tries again. */
const AGAIN_MS = 50;

/** Sends the request; the record is filled in as time passes. */
export function startCaller(options: CallerOptions): CallerRecord {
  const {clock, request, route} = options;
  const record: CallerRecord = {
    request,
    firstEventMs: undefined,
    longestPauseMs: 0,
    events: 0,
    end: 'open',
    tries: 0,
    refusals: 0,
  };
  const startedAt = clock.now();
  const limitAt = startedAt + route.timeLimitMs;
  const patience = callerTimeoutMs(route);
  let lastAt = startedAt;

  const {repeats} = request;
  const mostRetries = repeats?.most ?? MOST_RETRIES;
  const again = (waitMs: number, end: CallerRecord['end']): void => {
    record.end = end;
    const left = limitAt - clock.now();
    const pauseMs = repeats?.afterMs ?? waitMs;
    if (record.tries > mostRetries || pauseMs > left * MOST_WAIT_SHARE) return;
    clock.after(pauseMs, send);
  };

  const send = (): void => {
    const target = options.target(record.tries++);
    record.end = 'open';
    if (target === undefined) {
      again(AGAIN_MS, 'failed');
      return;
    }
    // What the caller had of an earlier answer is read on from there.
    lastAt = record.events > 0 ? lastAt : clock.now();
    let stopWaiting: Cancel = () => {};
    const waitOn = () => {
      stopWaiting();
      stopWaiting = clock.after(patience, () => {
        record.end = 'left';
        res.leave();
      });
    };
    const res = createModelResponse({
      onEvent: () =>
        void clock.after(options.wayMs, () => {
          if (record.end !== 'open') return;
          const now = clock.now();
          if (record.events++ === 0) record.firstEventMs = now - startedAt;
          else {
            record.longestPauseMs = Math.max(
              record.longestPauseMs,
              now - lastAt,
            );
          }
          lastAt = now;
          waitOn();
        }),
      onEnd: (status, retryAfterMs) =>
        void clock.after(options.wayMs, () => {
          if (record.end !== 'open') return;
          stopWaiting();
          if (status === 200) record.end = 'whole';
          else if (status === 503) {
            record.refusals++;
            again(retryAfterMs, 'refused');
          } else record.end = 'failed';
        }),
      onDestroyed: () =>
        void clock.after(options.wayMs, () => {
          if (record.end !== 'open') return;
          stopWaiting();
          again(AGAIN_MS, 'cut');
        }),
    });
    waitOn();
    clock.after(options.wayMs, () =>
      target.serve(
        admittedOf(options, record, limitAt - clock.now()),
        requestOf(route, {
          id: `${request.id}/${record.tries}`,
          promptTokens: request.promptTokens,
          answerTokens: request.answerTokens,
        }),
        res as unknown as ServerResponse,
        clock.now(),
      ),
    );
  };
  send();
  return record;
}

function admittedOf(
  {request, route, config}: CallerOptions,
  record: CallerRecord,
  timeLeftMs: number,
): AdmittedRequest {
  return {
    config,
    route,
    service: route.targets[0].service,
    facts: {
      id: request.id,
      key: undefined,
      timeLeftMs,
      promptTokens: request.promptTokens,
      maxTokens: request.kind.maxTokens,
      expectedTokens: request.expectedTokens,
      lastEventId: record.events > 0 ? String(record.events) : undefined,
      sharedParts: [],
    },
    id: `${request.id}/${record.tries}`,
    owner:
      request.organisation === undefined
        ? undefined
        : {organisation: request.organisation, priority: undefined},
    // Stands for the prompt, by which equal requests are recognised.
    body: Buffer.from(request.organisation === undefined ? '' : request.id),
  };
}

function requestOf({pathPrefix}: Route, model: ModelRequest): IncomingMessage {
  const rawHeaders = modelHeaders(model);
  const req = {rawHeaders, headers: {}, method: 'POST', url: pathPrefix};
  return req as unknown as IncomingMessage;
}

interface ModelResponseOptions {
  onEvent(): void;
  onEnd(status: number, retryAfterMs: number): void;
  onDestroyed(): void;
}

/** The part of Node's response that serving uses. */
function createModelResponse(options: ModelResponseOptions) {
  const emitter = new EventEmitter();
  let status = 0;
  let retryAfterMs = 0;
  const res = {
    headersSent: false,
    writableFinished: false,
    destroyed: false,
    writeHead: (code: number, headers: readonly string[]) => {
      status = code;
      res.headersSent = true;
      const at = headers.indexOf('Retry-After');
      if (at >= 0) retryAfterMs = Number(headers[at + 1]) * 1_000;
    },
    removeHeader: () => undefined,
    write: () => {
      options.onEvent();
      return true;
    },
    end: () => {
      if (res.destroyed || res.writableFinished) return;
      res.writableFinished = true;
      options.onEnd(status, retryAfterMs);
      emitter.emit('close');
    },
    destroy: () => {
      if (res.destroyed || res.writableFinished) return;
      res.destroyed = true;
      options.onDestroyed();
      emitter.emit('close');
    },
    leave: () => {
      res.destroyed = true;
      emitter.emit('close');
    },
    once: (event: string, fn: () => void) => void emitter.once(event, fn),
    off: (event: string, fn: () => void) => void emitter.off(event, fn),
  };
  return res;
}
