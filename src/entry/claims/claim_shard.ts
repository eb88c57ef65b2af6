/**
 * One shard of batched claims: a table of claims in one object of the store,
 * changed by conditional update only. This module decides; it does no IO.
 */
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';
import {z} from 'zod';
import type {RequestId} from '../../types/ids.js';
import type {ClaimOutcome} from '../../types/services.js';

/** One claim in the table, by the hash of organisation and key. */
export interface ShardClaim {
  readonly requestId: RequestId;
  readonly nonce: string;
  /** Wall-clock time of the claim, in milliseconds; decides only expiry. */
  readonly claimedAt: number;
}

export type ShardTable = ReadonlyMap<string, ShardClaim>;

/** A claim that waits for the next update. */
export interface PendingClaim {
  readonly hash: string;
  readonly claim: ShardClaim;
  /** Nonces of refused claims of this process on the same key. */
  readonly unresolvedNonces: readonly string[];
}

/** What an update would hold, and what each claim would be told after it. */
export interface ShardUpdate {
  readonly table: ShardTable;
  /** False when all that was asked is in the table already. */
  readonly changed: boolean;
  /** In the order of the claims. */
  readonly outcomes: readonly ClaimOutcome[];
}

const rowSchema = z.tuple([z.string(), z.string(), z.string(), z.number()]);
const tableSchema = z.array(rowSchema);

export function formatShardTable(table: ShardTable): string {
  const rows = [...table].map(([hash, it]) => [
    hash,
    it.requestId,
    it.nonce,
    it.claimedAt,
  ]);
  return JSON.stringify(rows);
}

/** Nothing when the object is no table of claims. */
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
  // Our own update, whose answer was lost.
  return stored.nonce === pending.claim.nonce;
}

function isClaimable(stored: ShardClaim | undefined, claim: PendingClaim) {
  // A claim of this process whose request was refused as not run is free for
  // one repeat; that puts its own nonce there, so a second finds it taken.
  return stored === undefined || claim.unresolvedNonces.includes(stored.nonce);
}

/** Applies claims in order to a table; drops what was made before `expireAt`. */
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
