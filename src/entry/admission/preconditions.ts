/**
 * What a request needs before it is routed: capacity within its organisation's
 * limits and, if it must not run twice, a claim on its idempotency key.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {OnyxError} from '../../types/errors.js';
import type {ServiceContext} from '../../types/kernel.js';
import type {ClaimOutcome, RequestSpec} from '../../types/services.js';

type Ctx = ServiceContext<'requests'>;

/**
 * Acquires capacity within the organisation's limits. The caller must send
 * `release` when the request is over.
 */
export function acquireLimit(
  ctx: Ctx,
  spec: RequestSpec,
): Promise<Either<OnyxError, void>> {
  return rejectionAsLeft(
    ctx.ask('limits', (reply: (value: Either<OnyxError, void>) => void) => ({
      kind: 'acquire',
      organisation: spec.organisation,
      tokens: spec.promptTokens + spec.maxTokens,
      reply,
    })),
  );
}

/**
 * Claims the request's idempotency key. A request that is repeatable or has no
 * key needs no claim and gets `ours`.
 */
export function claimIdempotencyKey(
  ctx: Ctx,
  spec: RequestSpec,
): Promise<Either<OnyxError, ClaimOutcome>> {
  const key = spec.idempotencyKey;
  if (spec.repeatable || key === undefined) {
    return Promise.resolve(Right({kind: 'ours'}));
  }
  return rejectionAsLeft(
    ctx.ask(
      'claims',
      (reply: (value: Either<OnyxError, ClaimOutcome>) => void) => ({
        kind: 'claim',
        organisation: spec.organisation,
        key,
        requestId: spec.id,
        reply,
      }),
    ),
  );
}

/**
 * Turns a rejection with an `OnyxError` into a `Left`. `ask` rejects when the
 * other service has ended.
 */
async function rejectionAsLeft<T>(
  answer: Promise<Either<OnyxError, T>>,
): Promise<Either<OnyxError, T>> {
  try {
    return await answer;
  } catch (err) {
    if (err instanceof OnyxError) return Left(err);
    throw err;
  }
}
