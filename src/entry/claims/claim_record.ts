/**
 * The record of one idempotency key: where it is kept and what it says. The
 * key's name holds a full hash of organisation and key, so that no caller can
 * craft a key that meets another's.
 */
import {createHash} from 'node:crypto';
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';
import {z} from 'zod';
import type {OrganisationId, RequestId} from '../../types/ids.js';

const KEY_PREFIX = 'claims';
/** Hex digits of the hash that name the shard: 256 shards. */
const SHARD_HASH_DIGITS = 2;

export interface ClaimRecord {
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
  /** Random per claim: tells our own write from another's. */
  readonly nonce: string;
}

const recordSchema = z.object({
  requestId: z.string(),
  organisation: z.string(),
  nonce: z.string(),
});

/** Hash of organisation and key, as hex. */
export function claimHash(organisation: OrganisationId, key: string): string {
  // As a JSON array, since plain joining makes "a" + "bc" and "ab" + "c" one.
  const text = JSON.stringify([organisation, key]);
  return createHash('sha256').update(text).digest('hex');
}

/** Shard of a hash, as hex digits. */
export function claimShardOf(hash: string): string {
  return hash.slice(0, SHARD_HASH_DIGITS);
}

/** Object key of the record: `claims/<shard>/<hash>`. */
export function claimObjectKey(
  organisation: OrganisationId,
  key: string,
): string {
  const hash = claimHash(organisation, key);
  return `${KEY_PREFIX}/${claimShardOf(hash)}/${hash}`;
}

export function formatClaimRecord(record: ClaimRecord): string {
  return JSON.stringify(record);
}

/** Nothing when the object is no claim. */
export function parseClaimRecord(value: string): Maybe<ClaimRecord> {
  try {
    return Just(recordSchema.parse(JSON.parse(value)));
  } catch {
    return Nothing;
  }
}
