/** The object that a lease is kept in. */
import {Just, Nothing} from 'purify-ts';
import type {Maybe} from 'purify-ts';
import {z} from 'zod';
import type {FencingNumber, NodeId} from '../types/ids.js';

/** Holder of a lease that was given up. */
export const FREE_HOLDER: NodeId = '';

/** Content of the object. */
export interface LeaseRecord {
  readonly holder: NodeId;
  /** Random per process start: tells two processes of one name apart. */
  readonly nonce: string;
  /** Counts the holder's writes: tells which of them took effect. */
  readonly seq: number;
  /** Grows by one with each take-over. */
  readonly fence: FencingNumber;
  readonly ttlMs: number;
}

const recordSchema = z.object({
  holder: z.string(),
  nonce: z.string(),
  seq: z.number(),
  fence: z.number(),
  ttlMs: z.number(),
});

/** JSON text; `parseLeaseRecord` reads it back. */
export function formatLeaseRecord(record: LeaseRecord): string {
  return JSON.stringify(record);
}

/** Nothing when the object is no lease, as after a slip of an operator. */
export function parseLeaseRecord(value: string): Maybe<LeaseRecord> {
  try {
    return Just(recordSchema.parse(JSON.parse(value)));
  } catch {
    return Nothing;
  }
}
