/**
 * Reads the fencing number of the placer's lease from the object API, for a
 * side. A side that was just started has seen no order, and must not accept one
 * from a placer that was replaced before the side started.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {parseLeaseRecord} from '../stores/lease_record.js';
import {OnyxError} from '../types/errors.js';
import type {FencingNumber} from '../types/ids.js';
import type {ObjectStore} from '../types/platform.js';

/** Key of the lease's object. */
export const PLACER_LEASE_KEY = 'lease/placer';

/**
 * Reads the fencing number in the lease's record, which may have expired; 0
 * when there is no record. Returns a Left when the store cannot be read or the
 * record cannot be parsed.
 */
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
