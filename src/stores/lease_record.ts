/** The content of the stored object that represents a lease, as JSON. */
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';
import {z} from 'zod';
import type {FencingNumber, NodeId} from '../types/ids.js';

/** Value of `holder` in a lease that its holder has released. */
export const FREE_HOLDER: NodeId = '';

/** Content of the stored object. */
export interface LeaseRecord {
  readonly holder: NodeId;
  /** Random for each process start; distinguishes processes of one name. */
  readonly nonce: string;
  /** Number of the holder's write. Shows which write took effect. */
  readonly seq: number;
  /** Fencing number; increases with each acquisition of the lease. */
  readonly fence: FencingNumber;
  /** How long the lease lasts after a renewal, in milliseconds. */
  readonly ttlMs: number;
}

const recordSchema = z.object({
  holder: z.string(),
  nonce: z.string(),
  seq: z.number(),
  fence: z.number(),
  ttlMs: z.number(),
});

/** Formats a record as JSON, which `parseLeaseRecord` reads. */
export function formatLeaseRecord(record: LeaseRecord): string {
  return JSON.stringify(record);
}

/**
 * Parses a stored record. Nothing if the object is not a lease record, for
 * example after an operator overwrote it by mistake.
 */
export function parseLeaseRecord(value: string): Maybe<LeaseRecord> {
  try {
    return Just(recordSchema.parse(JSON.parse(value)));
  } catch {
    return Nothing;
  }
}
