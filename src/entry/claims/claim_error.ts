/** The error for a caller whose idempotency key could not be claimed. */
import {OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {Random} from '../../types/runtime.js';

/**
 * `retryAfterMs` is multiplied by a random factor from 1 to 2, so that refused
 * callers do not all retry at the same moment.
 */
export function createClaimError(
  requestId: RequestId,
  retryAfterMs: number,
  random: Random,
): OnyxError {
  return new OnyxError({
    code: 'store-unavailable',
    step: 'claim',
    ran: 'no',
    requestId,
    retryAfterMs: Math.round(retryAfterMs * (1 + random.next())),
    message:
      'the idempotency key could not be claimed; ' +
      'nothing ran, send the request again with the same key',
  });
}
