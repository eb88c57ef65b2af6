/**
 * Implements the client of a plain service over HTTP. It forwards method, path,
 * headers, body and status unchanged, except for hop-by-hop headers and those
 * that the client sets itself. Each call uses its own connection: a kept-alive
 * connection might be closed while a call that must not be repeated is sent.
 */
import {Readable} from 'node:stream';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {OnyxError} from '../types/errors.js';
import type {CallHead, Header} from '../types/peer_messages.js';
import type {Clock} from '../types/runtime.js';
import type {
  CallEvent,
  ServiceClient,
  ServiceReport,
} from '../types/upstream.js';
import {answerEnd, isTransferCoded} from '../utils/answer_end.js';
import {isSuccess} from '../utils/final_status.js';
import {withoutHopHeaders} from '../utils/hop_headers.js';
import {createHttpConnection, toOnyxError} from './http_connection.js';
import type {HttpConnection} from './http_connection.js';
import {pushStream} from './push_stream.js';
import type {Push} from './push_stream.js';

/** Header that carries the run's id, so that the service can identify it. */
const RUN_ID_HEADER = 'x-onyxloft-run-id';

/** Headers that are not forwarded because this client sets or handles them. */
const CLIENT_HEADERS: ReadonlySet<string> = new Set([
  // The entry has handled it: the body is complete before the call is sent.
  'expect',
  // Set from the upstream's address.
  'host',
]);

/** Body of a load report. */
const reportSchema: z.ZodType<ServiceReport> = z.object({
  running: z.number(),
  capacity: z.number(),
  ageMs: z.number(),
});

/** Address and timeouts of a plain service. */
export interface HttpServiceOptions {
  /** `http://ip:port` of the service. */
  readonly url: string;
  readonly clock: Clock;
  /** Path of the service's load report. @default "/-/report" */
  readonly reportPath?: string;
  /** Time limit of a load report, in milliseconds. @default 2000 */
  readonly reportTimeoutMs?: number;
  /** Time limit for establishing a connection, in ms. @default 1000 */
  readonly connectTimeoutMs?: number;
}

/** Creates a client; it connects on first use. */
export function createHttpService(options: HttpServiceOptions): ServiceClient {
  const {url, clock} = options;
  const reportPath = options.reportPath ?? '/-/report';
  const reportTimeoutMs = options.reportTimeoutMs ?? 2000;
  const connectTimeoutMs = options.connectTimeoutMs ?? 1000;
  const connect = () => createHttpConnection({url, connectTimeoutMs});
  const errorContext = {code: 'upstream-lost', step: 'run', peer: url} as const;

  const exchange = async (
    push: Push<CallEvent>,
    connection: HttpConnection,
    {req, isBodyRead}: SentRequest,
  ) => {
    const reply = await connection.request(req);
    const framing = {status: reply.statusCode, headers: reply.headers};
    // The coding's name would be dropped, and its bytes taken for the service's.
    if (isTransferCoded(req.method, framing)) {
      throw new Error('a response in a transfer coding');
    }
    const headers = forwardedHeaders(toHeaderList(reply.headers));
    push.event({kind: 'head', head: {status: reply.statusCode, headers}});
    for await (const data of reply.body) push.event({kind: 'data', data});
    const endsWithConnection = answerEnd(req.method, framing) === 'connection';
    if (endsWithConnection && connection.wasReset()) throw new Error('reset');
    // A service that closes within the request has not served it. A failure may
    // be early.
    const isCut = connection.hasUnwritten() || !isBodyRead();
    if (endsWithConnection && isCut && isSuccess(reply.statusCode)) {
      throw new Error('closed within the request');
    }
    push.event({kind: 'done'});
    push.end();
  };

  const readReport = async (
    connection: HttpConnection,
  ): Promise<ServiceReport> => {
    const reply = await connection.request({method: 'GET', path: reportPath});
    const {statusCode: status} = reply;
    if (!isSuccess(status)) {
      reply.body.on('error', () => undefined).destroy();
      throw new Error(`status ${status}`);
    }
    return reportSchema.parse(await reply.body.json());
  };

  return {
    call: (runId, head, body) =>
      pushStream(push => {
        const connection = connect();
        toRequest(runId, head, body)
          .then(sent => exchange(push, connection, sent))
          .catch(err => push.error(toOnyxError(err, connection, errorContext)));
        return () => connection.close();
      }),
    report: () =>
      new Promise(resolve => {
        const connection = connect();
        const settle = (outcome: Either<OnyxError, ServiceReport>) => {
          cancel();
          connection.close();
          resolve(outcome);
        };
        const cancel = clock.after(reportTimeoutMs, () => {
          const message = `service ${url} sent no report`;
          const details = {code: 'timeout', step: 'run', peer: url} as const;
          settle(Left(new OnyxError({...details, message, ran: 'unknown'})));
        });
        readReport(connection)
          .then(report => settle(Right(report)))
          .catch(err =>
            settle(Left(toOnyxError(err, connection, errorContext))),
          );
      }),
  };
}

interface SentRequest {
  readonly req: Dispatcher.RequestOptions;
  /** Whether the whole body was taken from its source. */
  isBodyRead(): boolean;
}

async function toRequest(
  runId: string,
  head: CallHead,
  body: AsyncIterable<Uint8Array>,
): Promise<SentRequest> {
  const headers = forwardedHeaders(head.headers).filter(
    ({name}) => name.toLowerCase() !== RUN_ID_HEADER,
  );
  const length = headers.find(
    ({name}) => name.toLowerCase() === 'content-length',
  )?.value;
  const source = await openBody(body, Number(length ?? Infinity));
  const req = {
    method: head.method as Dispatcher.HttpMethod,
    path: head.path,
    headers: [
      ...headers.flatMap(({name, value}) => [name, value]),
      RUN_ID_HEADER,
      runId,
    ],
    body: source.body,
  };
  return {req, isBodyRead: source.isRead};
}

interface OpenedBody {
  /**
   * Null for an empty body. Many services refuse a GET with an empty chunked
   * body.
   */
  readonly body: Readable | null;
  isRead(): boolean;
}

/**
 * A body of a known `length` is read with its last byte: its end may be noticed
 * later than the response to it.
 */
async function openBody(
  body: AsyncIterable<Uint8Array>,
  length: number,
): Promise<OpenedBody> {
  const pieces = body[Symbol.asyncIterator]();
  let first = await pieces.next();
  while (!first.done && first.value.length === 0) first = await pieces.next();
  if (first.done) return {body: null, isRead: () => true};
  let bytes = 0;
  let isEnded = false;
  const readable = Readable.from(
    concatChunks(first.value, pieces, chunk => {
      bytes += chunk.length;
    }),
  );
  readable.once('end', () => {
    isEnded = true;
  });
  return {body: readable, isRead: () => isEnded || bytes >= length};
}

async function* concatChunks(
  first: Uint8Array,
  rest: AsyncIterator<Uint8Array>,
  onChunk: (chunk: Uint8Array) => void,
): AsyncIterable<Uint8Array> {
  try {
    onChunk(first);
    yield first;
    for (;;) {
      const next = await rest.next();
      if (next.done) return;
      onChunk(next.value);
      yield next.value;
    }
  } finally {
    await rest.return?.();
  }
}

function forwardedHeaders(headers: readonly Header[]): readonly Header[] {
  return withoutHopHeaders(headers).filter(
    ({name}) => !CLIENT_HEADERS.has(name.toLowerCase()),
  );
}

function toHeaderList(headers: {
  readonly [name: string]: string | string[] | undefined;
}): readonly Header[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    const values = Array.isArray(value) ? value : [value ?? ''];
    return values.map(one => ({name, value: one}));
  });
}
