/**
 * Ids that must not run (again). A copy of an offer or go can arrive long
 * after the original was refused, lapsed, abandoned or answered; without the
 * record it would be taken as new and run although its caller was told that it
 * had not, or run twice. The record lives as long as a copy can still arrive.
 */
import type {DispatchId, OrganisationId} from '../types/ids.js';
import type {OfferRes} from '../types/peer_messages.js';

export interface Tombstone {
  readonly dispatchId: DispatchId;
  readonly organisation: OrganisationId;
  /** Whether it was handed to the upstream before. */
  readonly started: boolean;
  /** What a copy of the offer is answered; none for `tombstoned`. */
  readonly answer: OfferRes | undefined;
}

export interface Tombstones {
  /** False when the bound is reached and nothing was recorded. */
  add(tombstone: Tombstone, now: number): boolean;
  get(dispatchId: DispatchId): Tombstone | undefined;
  /** Forgets those whose time is over. */
  sweep(now: number): void;
  isFull(): boolean;
  size(): number;
}

interface Entry {
  readonly tombstone: Tombstone;
  readonly expiresAt: number;
}

export function createTombstones(ttlMs: number, limit: number): Tombstones {
  // All live equally long, so insertion order is the order of expiry.
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
