/**
 * Packs dispatch ids into about half their length. An entry sends the ids of
 * its dispatches in each heartbeat, where they take most of the bytes.
 */
import type {DispatchId} from '../types/ids.js';

/** A standard id: 128 bits in hex, a dot, and an attempt of up to 3 digits. */
const STANDARD_ID = /^([0-9a-f]{32})\.(0|[1-9][0-9]{0,2})$/;
/** Highest attempt that fits one byte. Ids with a higher one go as text. */
const MAX_ATTEMPT = 255;
/** First byte of a packed standard id. */
const STANDARD_TAG = 1;
/** First byte of an id in text form. */
const TEXT_TAG = 0;
/** End of the request's 16 bytes, which follow the tag. */
const REQUEST_END_OFFSET = 17;

/** Packs an id of any form. A standard id takes 18 bytes. */
export function packDispatchId(id: DispatchId): Buffer {
  const parts = STANDARD_ID.exec(id);
  const attempt = Number(parts?.[2]);
  if (parts === null || attempt > MAX_ATTEMPT) {
    return Buffer.concat([Buffer.of(TEXT_TAG), Buffer.from(id)]);
  }
  const request = Buffer.from(parts[1], 'hex');
  return Buffer.concat([Buffer.of(STANDARD_TAG), request, Buffer.of(attempt)]);
}

/** Unpacks an id. Throws if `packDispatchId` can't have produced the bytes. */
export function unpackDispatchId(bytes: Buffer): DispatchId {
  if (bytes[0] === TEXT_TAG) return bytes.toString('utf8', 1);
  if (bytes[0] !== STANDARD_TAG || bytes.length !== REQUEST_END_OFFSET + 1) {
    throw new Error('malformed dispatch id in a heartbeat');
  }
  const request = bytes.toString('hex', 1, REQUEST_END_OFFSET);
  return `${request}.${bytes[REQUEST_END_OFFSET]}`;
}
