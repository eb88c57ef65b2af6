/**
 * HTTP client of the platform's object API. Each failure states its effect. A
 * write that was sent and got no conclusive response may have taken effect.
 * Only the caller knows how to find out.
 */
import {Just, Left, Nothing, Right} from 'purify-ts';
import type {Either, Maybe} from 'purify-ts';
import {z} from 'zod';
import type {
  ObjectStore,
  StoreError,
  StorePurpose,
  StoredObject,
} from '../types/platform.js';
import type {Runtime} from '../types/runtime.js';
import {isSuccess} from '../utils/final_status.js';
import {createHttpClient} from './http_client.js';
import type {HttpResponse, HttpRequest} from './http_client.js';

const OBJECTS_PATH = '/v1/objects';
/** Time limit of a request, in milliseconds. A slower request fails. */
const DEFAULT_TIMEOUT_MS = 1_000;

/** Name of the counter of store calls by purpose, call and outcome. */
export const STORE_CALLS_METRIC = 'onyxloft_store_calls_total';

const objectSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: z.string(),
});
const writtenSchema = z.object({version: z.number()});
const keysSchema = z.object({keys: z.array(z.string())});

/** Runtime and limits of the requests. */
export interface HttpObjectStoreOptions {
  readonly runtime: Pick<Runtime, 'clock' | 'metrics'>;
  /**
   * Time limit of each request, in milliseconds. A watch may take this much
   * longer than its wait time. @default 1000
   */
  readonly timeoutMs?: number;
  /** Maximum number of open connections. @default 16 */
  readonly connections?: number;
}

/** The object API and the connections that it is called over. */
export interface HttpObjectStore extends ObjectStore {
  close(): Promise<void>;
}

type CallName = 'get' | 'create' | 'update' | 'remove' | 'list' | 'watch';

/** A request to the object API, with the labels of its counter. */
interface StoreCall extends HttpRequest {
  readonly name: CallName;
  readonly purpose: StorePurpose;
}

const objectPath = (key: string) =>
  `${OBJECTS_PATH}/${encodeURIComponent(key)}`;

const isWrite = (call: StoreCall) => call.method !== 'GET';

function unavailable(
  call: StoreCall,
  mayHaveTakenEffect: boolean,
  message: string,
): StoreError {
  const effect = isWrite(call) && mayHaveTakenEffect ? 'unknown' : 'none';
  return {kind: 'unavailable', effect, version: 0, message};
}

/** The stored version in the body of a conflict; 0 when the body has none. */
function conflictVersion(answer: HttpResponse): number {
  return parse(writtenSchema, answer.body).mapOrDefault(it => it.version, 0);
}

function parse<T>(schema: z.ZodType<T>, body: string): Maybe<T> {
  try {
    return Just(schema.parse(JSON.parse(body)));
  } catch {
    return Nothing;
  }
}

function toStoreError(call: StoreCall, answer: HttpResponse): StoreError {
  const {status} = answer;
  const rejected = (kind: StoreError['kind'], version = 0): StoreError => ({
    kind,
    effect: 'none',
    version,
    message: `the object API answered ${status} to ${call.name}`,
  });
  if (status === 412) return rejected('conflict', conflictVersion(answer));
  if (status === 404) return rejected('not-found');
  if (status === 413) return rejected('too-large');
  // A gateway also responds with 5xx when the store behind it received the
  // write and then stopped responding. A 5xx does not prove that the write had
  // no effect.
  const mayHaveTakenEffect = status >= 500;
  return unavailable(
    call,
    mayHaveTakenEffect,
    `the object API answered ${status}`,
  );
}

/** Creates a client of the object API at `url` (`http://127.0.0.1:7400`). */
export function createHttpObjectStore(
  url: string,
  options: HttpObjectStoreOptions,
): HttpObjectStore {
  const {runtime, timeoutMs = DEFAULT_TIMEOUT_MS} = options;
  const client = createHttpClient({
    url,
    clock: runtime.clock,
    timeoutMs,
    connections: options.connections,
  });

  const count = (call: StoreCall, outcome: string) =>
    runtime.metrics.count(STORE_CALLS_METRIC, {
      purpose: call.purpose,
      call: call.name,
      outcome,
    });

  const send = async (
    call: StoreCall,
  ): Promise<Either<StoreError, HttpResponse>> => {
    const headers = {...call.headers, 'x-purpose': call.purpose};
    const answered = await client.call({...call, headers});
    const result = answered
      .mapLeft(failure => unavailable(call, failure.sent, failure.message))
      .chain(answer =>
        isSuccess(answer.status)
          ? Right(answer)
          : Left(toStoreError(call, answer)),
      );
    const outcome = result.caseOf({Left: err => err.kind, Right: () => 'ok'});
    count(call, outcome);
    return result;
  };

  const read = async <T>(
    call: StoreCall,
    schema: z.ZodType<T>,
  ): Promise<Either<StoreError, T>> =>
    (await send(call)).chain(answer =>
      parse(schema, answer.body).toEither(
        unavailable(call, true, 'the object API gave an unreadable answer'),
      ),
    );

  const readOne = async (
    call: StoreCall,
  ): Promise<Either<StoreError, Maybe<StoredObject>>> =>
    (await read(call, objectSchema))
      .map(object => Just(object))
      .chainLeft(err =>
        err.kind === 'not-found' ? Right(Nothing) : Left(err),
      );

  const write = async (
    call: StoreCall,
    key: string,
    value: string,
  ): Promise<Either<StoreError, StoredObject>> =>
    (await read({...call, body: value}, writtenSchema)).map(written => ({
      key,
      version: written.version,
      value,
    }));

  return {
    get: (key, purpose) =>
      readOne({name: 'get', method: 'GET', path: objectPath(key), purpose}),
    create: (key, value, purpose) => {
      const headers = {'if-none-match': '*'};
      const path = objectPath(key);
      const call = {name: 'create', method: 'PUT', path, headers} as const;
      return write({...call, purpose}, key, value);
    },
    update: (key, value, version, purpose) => {
      const headers = {'if-match': `"${version}"`};
      const path = objectPath(key);
      const call = {name: 'update', method: 'PUT', path, headers} as const;
      return write({...call, purpose}, key, value);
    },
    remove: async (key, version, purpose) => {
      const headers = {'if-match': `"${version}"`};
      const path = objectPath(key);
      const call = {name: 'remove', method: 'DELETE', path, headers} as const;
      return (await send({...call, purpose})).map(() => undefined);
    },
    list: async (prefix, purpose) => {
      const path = `${OBJECTS_PATH}?prefix=${encodeURIComponent(prefix)}`;
      const call = {name: 'list', method: 'GET', path, purpose} as const;
      return (await read(call, keysSchema)).map(it => it.keys);
    },
    watch: (key, version, waitMs, purpose) =>
      readOne({
        name: 'watch',
        method: 'GET',
        path: `${objectPath(key)}?watch=${version}&wait=${waitMs}`,
        purpose,
        timeoutMs: waitMs + timeoutMs,
      }),
    close: () => client.close(),
  };
}
