/**
 * GET requests to a platform service whose JSON responses must match a schema.
 * A conditional variant returns the previous value while the response is
 * unchanged.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {z} from 'zod';
import {OnyxError} from '../types/errors.js';
import type {Step} from '../types/errors.js';
import type {HttpResponse, HttpClient} from './http_client.js';

/** The resource to get and the schema of its JSON. */
export interface JsonSource<T> {
  readonly client: HttpClient;
  /** Address of the service, for error messages. */
  readonly peer: string;
  readonly path: string;
  readonly step: Step;
  readonly schema: z.ZodType<T>;
}

/** The last response with its parsed value, revalidated by its `ETag`. */
interface CachedResponse<T> {
  readonly etag: string;
  readonly body: string;
  readonly value: T;
}

const NOT_MODIFIED = 304;

/**
 * Creates a function that gets one path repeatedly. An unchanged response gives
 * the identical value, so the caller can detect a change by identity. If the
 * service sends an `ETag`, it does not send an unchanged body again.
 */
export function createConditionalGet<T>(
  source: JsonSource<T>,
): () => Promise<Either<OnyxError, T>> {
  let cached: CachedResponse<T> | undefined;
  return async () => {
    const etag = cached?.etag ?? '';
    const headers: Readonly<Record<string, string>> =
      etag === '' ? {} : {'if-none-match': etag};
    const answered = await get(source, headers);
    return answered.chain(answer => {
      const isSame =
        answer.status === NOT_MODIFIED || answer.body === cached?.body;
      if (isSame && cached !== undefined) return Right(cached.value);
      return parseResponse(source, answer).ifRight(value => {
        cached = {etag: answer.etag, body: answer.body, value};
      });
    });
  };
}

/**
 * Gets and parses a JSON resource. Left: `timeout`, `peer-unreachable`, or
 * `internal` for a response that does not match the schema.
 */
export async function getJson<T>(
  source: JsonSource<T>,
): Promise<Either<OnyxError, T>> {
  const answered = await get(source, {});
  return answered.chain(answer => parseResponse(source, answer));
}

async function get<T>(
  source: JsonSource<T>,
  headers: Readonly<Record<string, string>>,
): Promise<Either<OnyxError, HttpResponse>> {
  const {client, path} = source;
  const answered = await client.call({method: 'GET', path, headers});
  return answered.mapLeft(failure => {
    const code = failure.timedOut ? 'timeout' : 'peer-unreachable';
    return requestError(source, code, failure.message);
  });
}

function parseResponse<T>(
  source: JsonSource<T>,
  {status, body}: HttpResponse,
): Either<OnyxError, T> {
  if (status !== 200) {
    return Left(requestError(source, 'peer-unreachable', `status ${status}`));
  }
  try {
    return Right(source.schema.parse(JSON.parse(body)));
  } catch (err) {
    const why = `unreadable answer: ${String(err)}`;
    return Left(requestError(source, 'internal', why));
  }
}

function requestError<T>(
  {peer, path, step}: JsonSource<T>,
  code: 'timeout' | 'peer-unreachable' | 'internal',
  why: string,
): OnyxError {
  return new OnyxError({code, step, peer, message: `GET ${path}: ${why}`});
}
