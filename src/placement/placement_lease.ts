/**
 * Reads the placer's lease from the object API, for a side. A side that was
 * just started has seen no order, and must not accept one from a placer that
 * was replaced before it started.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {parseLeaseRecord} from '../stores/lease_record.js';
import {OnyxError} from '../types/errors.js';
import type {FencingNumber} from '../types/ids.js';
import type {ObjectStore} from '../types/platform.js';

/** Key of the lease's object. */
export const PLACER_LEASE_KEY = 'lease/placer';

/** Fencing number of the current lease; 0 when there has never been a lease. */
export async function readLeaseFence(
  store: ObjectStore,
): Promise<Either<OnyxError, FencingNumber>> {
  const read = await store.get(PLACER_LEASE_KEY, 'lease');
  return read
    .mapLeft(err => leaseError(err.message))
    .chain(found =>
      found.caseOf<Either<OnyxError, FencingNumber>>({
        Nothing: () => Right(0),
        Just: ({value}) => {
          const record = parseLeaseRecord(value).extract();
          return record === undefined
            ? Left(leaseError('the lease is not readable'))
            : Right(record.fence);
        },
      }),
    );
}

function leaseError(message: string): OnyxError {
  return new OnyxError({
    code: 'store-unavailable',
    step: 'placement',
    peer: 'object-api',
    message,
  });
}
