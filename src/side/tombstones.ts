/**
 * Records dispatch ids that must not run, or not run again. A copy of an offer
 * or go can arrive long after the original was refused, lapsed, abandoned or
 * answered. Without a tombstone the copy would count as new. The run would then
 * execute although its caller had received the answer that it did not, or
 * execute twice. A tombstone is kept for as long as a copy can still arrive.
 */
import type {DispatchId, OrganisationId} from '../types/ids.js';
import type {OfferRes} from '../types/peer_messages.js';

/** Record of a dispatch that must not run. */
export interface Tombstone {
  readonly dispatchId: DispatchId;
  /** Empty when it is unknown. */
  readonly organisation: OrganisationId;
  /** Whether the run was sent to the upstream before. */
  readonly started: boolean;
  /** The reply to a copy of the offer; if undefined, it is `tombstoned`. */
  readonly answer: OfferRes | undefined;
}

/** The tombstones of one side. */
export interface Tombstones {
  /**
   * Adds a tombstone or replaces the one with the same id. Returns false when
   * the limit is reached and nothing was recorded.
   */
  add(tombstone: Tombstone, now: number): boolean;
  get(dispatchId: DispatchId): Tombstone | undefined;
  /** Removes expired tombstones. */
  sweep(now: number): void;
  /** Whether the limit is reached. */
  isFull(): boolean;
  size(): number;
}

/** A tombstone with its expiry. */
interface Entry {
  readonly tombstone: Tombstone;
  readonly expiresAt: number;
}

/** Creates an empty set of at most `limit` tombstones, each kept `ttlMs`. */
export function createTombstones(ttlMs: number, limit: number): Tombstones {
  // All tombstones have the same lifetime, so they expire in insertion order.
  const entries = new Map<DispatchId, Entry>();

  return {
    add: (tombstone, now) => {
      const existing = entries.get(tombstone.dispatchId);
      if (existing === undefined && entries.size >= limit) return false;
      entries.delete(tombstone.dispatchId);
      const started = tombstone.started || existing?.tombstone.started === true;
      entries.set(tombstone.dispatchId, {
        tombstone: {...tombstone, started},
        expiresAt: now + ttlMs,
      });
      return true;
    },
    get: dispatchId => entries.get(dispatchId)?.tombstone,
    sweep: now => {
      for (const [id, entry] of entries) {
        if (entry.expiresAt > now) return;
        entries.delete(id);
      }
    },
    isFull: () => entries.size >= limit,
    size: () => entries.size,
  };
}
