/**
 * The stored record of one idempotency key: its object key and its content. The
 * object key contains a full hash of organisation and key, so that no caller
 * can construct a key that collides with another's.
 */
import {createHash} from 'node:crypto';
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';
import {z} from 'zod';
import type {OrganisationId, RequestId} from '../../types/ids.js';

/** First part of the object keys of all claims. */
const KEY_PREFIX = 'claims';
/** Hex digits of the hash that select the shard; two digits give 256 shards. */
const SHARD_HASH_DIGITS = 2;

/** A stored claim of one idempotency key. */
export interface ClaimRecord {
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
  /**
   * Random per claim; distinguishes this process's own write from another's.
   */
  readonly nonce: string;
}

const recordSchema = z.object({
  requestId: z.string(),
  organisation: z.string(),
  nonce: z.string(),
});

/** SHA-256 hash of organisation and key, in hex. */
export function claimHash(organisation: OrganisationId, key: string): string {
  // Hashes a JSON array, because plain concatenation would make ("a", "bc") and
  // ("ab", "c") the same.
  const text = JSON.stringify([organisation, key]);
  return createHash('sha256').update(text).digest('hex');
}

/** Shard of a hash, in hex digits. */
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

/** Returns `Nothing` when the object is not a valid claim. */
export function parseClaimRecord(value: string): Maybe<ClaimRecord> {
  try {
    return Just(recordSchema.parse(JSON.parse(value)));
  } catch {
    return Nothing;
  }
}
