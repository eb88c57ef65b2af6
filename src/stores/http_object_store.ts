/**
 * The platform's object API over HTTP. Each failure is told with its effect:
 * a write that was sent and got no clear answer may have taken effect, and
 * only the caller knows how to find out.
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
import {createHttpClient} from './http_client.js';
import type {HttpResponse, HttpRequest} from './http_client.js';

const OBJECTS_PATH = '/v1/objects';
const DEFAULT_TIMEOUT_MS = 1_000;

/** Counter of store calls by purpose, call and outcome. */
export const STORE_CALLS_METRIC = 'onyxloft_store_calls_total';

const objectSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: z.string(),
});
const writtenSchema = z.object({version: z.number()});
const keysSchema = z.object({keys: z.array(z.string())});

/** Runtime and bounds of the calls. */
export interface HttpObjectStoreOptions {
  readonly runtime: Pick<Runtime, 'clock' | 'metrics'>;
  /** Limit of each call; of a watch, beyond its wait. @default 1000 */
  readonly timeoutMs?: number;
  /** Connections at once. @default 16 */
  readonly connections?: number;
}

/** The object API with its connections. */
export interface HttpObjectStore extends ObjectStore {
  close(): Promise<void>;
}

type CallName = 'get' | 'create' | 'update' | 'remove' | 'list' | 'watch';

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

/** Version now stored, from the body of a conflict; 0 when it tells none. */
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
  // A gateway answers 5xx also when the store behind it went silent after it
  // got the write, so such an answer is no evidence that nothing happened.
  const mayHaveTakenEffect = status >= 500;
  return unavailable(
    call,
    mayHaveTakenEffect,
    `the object API answered ${status}`,
  );
}

/** Client of the object API at `url`, for example `http://127.0.0.1:7400`. */
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
        answer.status < 300 ? Right(answer) : Left(toStoreError(call, answer)),
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
