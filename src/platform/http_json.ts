/** One GET of a platform service whose answer must fit a schema. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {z} from 'zod';
import {OnyxError} from '../types/errors.js';
import type {Step} from '../types/errors.js';
import type {HttpClient} from './http_client.js';

/** What to get, and how to read it. */
export interface JsonSource<T> {
  readonly client: HttpClient;
  /** Address, for errors. */
  readonly peer: string;
  readonly path: string;
  readonly step: Step;
  readonly schema: z.ZodType<T>;
}

/** Left: `timeout`, `peer-unreachable`, or `internal` for an odd answer. */
export async function getJson<T>(
  source: JsonSource<T>,
): Promise<Either<OnyxError, T>> {
  const {client, peer, path, step, schema} = source;
  const fail = (
    code: 'timeout' | 'peer-unreachable' | 'internal',
    why: string,
  ) => Left(new OnyxError({code, step, peer, message: `GET ${path}: ${why}`}));
  const answered = await client.call({method: 'GET', path});
  if (answered.isLeft()) {
    const failure = answered.extract();
    const code = failure.timedOut ? 'timeout' : 'peer-unreachable';
    return fail(code, failure.message);
  }
  const {status, body} = answered.unsafeCoerce();
  if (status !== 200) return fail('peer-unreachable', `status ${status}`);
  try {
    return Right(schema.parse(JSON.parse(body)));
  } catch (err) {
    return fail('internal', `unreadable answer: ${String(err)}`);
  }
}
