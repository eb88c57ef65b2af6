/**
 * Implements the engine client over HTTP. Prompts are streamed with
 * backpressure, and events are received as lines of JSON. Each run's stream
 * uses its own connection and fails when the engine is silent for too long.
 */
import {Readable} from 'node:stream';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Stream} from 'most';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';
import {OnyxError} from '../types/errors.js';
import type {ErrorCode, Step} from '../types/errors.js';
import type {Clock} from '../types/runtime.js';
import type {EngineClient, EngineEvent} from '../types/upstream.js';
import {isSuccess} from '../utils/final_status.js';
import {
  RUN_HEADER,
  cacheEventsSchema,
  lineToEvent,
  reportSchema,
  runListSchema,
} from './engine_protocol.js';
import {createHttpConnection, toOnyxError} from './http_connection.js';
import type {HttpConnection} from './http_connection.js';
import {createLineSplitter} from './line_splitter.js';
import {pushStream} from './push_stream.js';
import type {Push} from './push_stream.js';
import {watchSilence} from './silence_watch.js';

/** Maximum size of an event line; a longer line fails the stream. */
const MAX_LINE_BYTES = 1_000_000;

/** Address and timeouts of an engine. */
export interface HttpEngineOptions {
  /** `http://ip:port` of the engine. */
  readonly url: string;
  readonly clock: Clock;
  /**
   * A stream fails when nothing arrives for this long, in milliseconds. Allow
   * for a few of the engine's heartbeat periods. @default 1500
   */
  readonly silenceMs?: number;
  /** Time limit of a call other than a stream, in ms. @default 2000 */
  readonly callTimeoutMs?: number;
  /** Time limit for establishing a connection, in ms. @default 1000 */
  readonly connectTimeoutMs?: number;
}

type Reply = Dispatcher.ResponseData<null>;

/** Creates a client; it connects on first use. */
export function createHttpEngine(options: HttpEngineOptions): EngineClient {
  const {url, clock} = options;
  const silenceMs = options.silenceMs ?? 1500;
  const callTimeoutMs = options.callTimeoutMs ?? 2000;
  const connectTimeoutMs = options.connectTimeoutMs ?? 1000;

  const engineError = (code: ErrorCode, step: Step, message: string) => {
    return new OnyxError({code, step, peer: url, message, ran: 'unknown'});
  };

  const connect = () => createHttpConnection({url, connectTimeoutMs});

  const openStream = (req: Dispatcher.RequestOptions): Stream<EngineEvent> => {
    return pushStream(push => {
      const connection = connect();
      const watch = watchSilence(clock, silenceMs, () => {
        const message = `engine ${url} was silent for ${silenceMs} ms`;
        push.error(engineError('timeout', 'run', message));
      });
      const fail = (err: unknown) => {
        const context = {
          code: 'upstream-lost',
          step: 'run',
          peer: url,
        } as const;
        push.error(toOnyxError(err, connection, context));
      };
      connection
        .request(req)
        .then(reply => readReply(reply, push, watch.touch))
        .catch(fail);
      return () => {
        watch.stop();
        connection.close();
      };
    });
  };

  const readReply = async (
    reply: Reply,
    push: Push<EngineEvent>,
    touch: () => void,
  ) => {
    await checkStatus(reply, 'run');
    const lines = createLineSplitter(MAX_LINE_BYTES);
    for await (const chunk of reply.body) {
      touch();
      lines.push(chunk, line => {
        const event = readLine(line);
        push.event(event);
        if (event.kind === 'done' || event.kind === 'failed') push.end();
      });
    }
    // The response ended without a final event: the engine's process exited.
    push.error(engineError('upstream-lost', 'run', `engine ${url} broke off`));
  };

  const readLine = (line: string): EngineEvent => {
    try {
      return lineToEvent(line);
    } catch {
      const message = `engine ${url} sent a line that is no event`;
      throw engineError('upstream-failed', 'run', message);
    }
  };

  const checkStatus = async (reply: Reply, step: Step) => {
    if (isSuccess(reply.statusCode)) return;
    const text = await reply.body.text();
    const message = `engine ${url} answered ${reply.statusCode}: ${text}`;
    throw engineError(errorCodeOf(reply.statusCode), step, message);
  };

  const send = async (
    connection: HttpConnection,
    req: Dispatcher.RequestOptions,
    step: Step,
  ): Promise<unknown> => {
    const reply = await connection.request(req);
    await checkStatus(reply, step);
    return reply.body.json();
  };

  const call = <T>(
    req: Dispatcher.RequestOptions,
    step: Step,
    read: (body: unknown) => T,
  ): Promise<Either<OnyxError, T>> => {
    return new Promise(resolve => {
      const connection = connect();
      const settle = (outcome: Either<OnyxError, T>) => {
        cancel();
        connection.close();
        resolve(outcome);
      };
      const cancel = clock.after(callTimeoutMs, () => {
        const message = `engine ${url} gave no answer in ${callTimeoutMs} ms`;
        settle(Left(engineError('timeout', step, message)));
      });
      const context = {code: 'upstream-failed', step, peer: url} as const;
      send(connection, req, step)
        .then(body => settle(Right(read(body))))
        .catch(err => settle(Left(toOnyxError(err, connection, context))));
    });
  };

  const get = <T>(path: string, schema: z.ZodType<T>) => {
    return call({method: 'GET', path}, 'run', body => schema.parse(body));
  };

  const jsonBody = (value: object) => ({
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(value),
  });

  return {
    start: (req, prompt) =>
      openStream({
        method: 'POST',
        path: runPath(req.runId),
        headers: {[RUN_HEADER]: JSON.stringify(req)},
        body: Readable.from(prompt),
      }),
    resume: (runId, fromIndex) =>
      openStream({method: 'GET', path: `${runPath(runId)}?from=${fromIndex}`}),
    cancel: runId =>
      call({method: 'DELETE', path: runPath(runId)}, 'run', () => undefined),
    list: async () => {
      const outcome = await get('/v1/runs', runListSchema);
      return outcome.map(({runs}) => runs);
    },
    report: () => get('/v1/report', reportSchema),
    setPriority: (runId, priority) => {
      const path = runPath(runId);
      const req = {method: 'PATCH', path, ...jsonBody({priority})} as const;
      return call(req, 'run', () => undefined);
    },
    cacheEvents: async afterSeq => {
      const path = `/v1/cache/events?after=${afterSeq}`;
      const outcome = await get(path, cacheEventsSchema);
      return outcome.map(({events}) => events);
    },
    order: order => {
      const path = '/v1/orders';
      const req = {method: 'POST', path, ...jsonBody(order)} as const;
      return call(req, 'order', () => undefined);
    },
  };
}

function runPath(runId: string): string {
  return `/v1/runs/${encodeURIComponent(runId)}`;
}

function errorCodeOf(status: number): ErrorCode {
  if (status === 404) return 'not-found';
  if (status === 409) return 'stale';
  if (status === 400) return 'bad-request';
  return 'upstream-failed';
}
