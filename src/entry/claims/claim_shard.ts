/**
 * One shard of the batched claims: a table of claims stored as one object,
 * changed only by conditional updates. This module computes the updates; it
 * does no I/O.
 */
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';
import {z} from 'zod';
import type {RequestId} from '../../types/ids.js';
import type {ClaimOutcome} from '../../types/services.js';

/**
 * One claim in the table. Its key in the table is the hash of organisation and
 * idempotency key.
 */
export interface ShardClaim {
  readonly requestId: RequestId;
  readonly nonce: string;
  /** Wall-clock time of the claim, in milliseconds; used only for expiry. */
  readonly claimedAt: number;
}

/** The claims of one shard, by the hash of organisation and key. */
export type ShardTable = ReadonlyMap<string, ShardClaim>;

/** A claim that is waiting for the shard's next update. */
export interface PendingClaim {
  readonly hash: string;
  readonly claim: ShardClaim;
  /**
   * Nonces of earlier claims on the same key that this process refused without
   * knowing whether they were stored.
   */
  readonly unresolvedNonces: readonly string[];
}

/** The table after an update, and the outcome of each claim in it. */
export interface ShardUpdate {
  readonly table: ShardTable;
  /**
   * False when the table already contains every claim, so no write is needed.
   */
  readonly changed: boolean;
  /** One outcome per claim, in the order of the claims. */
  readonly outcomes: readonly ClaimOutcome[];
}

const rowSchema = z.tuple([z.string(), z.string(), z.string(), z.number()]);
const tableSchema = z.array(rowSchema);

/** Serialises the table as a JSON array with one row per claim. */
export function formatShardTable(table: ShardTable): string {
  const rows = [...table].map(([hash, it]) => [
    hash,
    it.requestId,
    it.nonce,
    it.claimedAt,
  ]);
  return JSON.stringify(rows);
}

/** Returns `Nothing` when the object is not a valid table of claims. */
export function parseShardTable(value: string): Maybe<ShardTable> {
  try {
    const rows = tableSchema.parse(JSON.parse(value));
    return Just(
      new Map(
        rows.map(([hash, requestId, nonce, claimedAt]) => [
          hash,
          {requestId, nonce, claimedAt},
        ]),
      ),
    );
  } catch {
    return Nothing;
  }
}

function isOwnClaim(stored: ShardClaim, pending: PendingClaim): boolean {
  // The claim was stored by this process's own update, whose response was lost.
  return stored.nonce === pending.claim.nonce;
}

function isClaimable(stored: ShardClaim | undefined, claim: PendingClaim) {
  // A stored claim whose request this process refused as not run may be claimed
  // once again. The new claim stores its own nonce, so a second repeat finds
  // the key taken.
  return stored === undefined || claim.unresolvedNonces.includes(stored.nonce);
}

/**
 * Applies claims in order to a table and drops claims made before `expireAt`.
 */
export function applyClaims(
  before: ShardTable,
  pending: readonly PendingClaim[],
  expireAt: number,
): ShardUpdate {
  const unexpired = [...before].filter(
    ([, claim]) => claim.claimedAt >= expireAt,
  );
  const table = new Map(unexpired);
  let changed = false;
  const outcomes = pending.map((it): ClaimOutcome => {
    const stored = table.get(it.hash);
    if (stored !== undefined && isOwnClaim(stored, it)) return {kind: 'ours'};
    if (stored !== undefined && !isClaimable(stored, it)) {
      return {kind: 'taken', requestId: stored.requestId};
    }
    table.set(it.hash, it.claim);
    changed = true;
    return {kind: 'ours'};
  });
  return {table, changed, outcomes};
}
