/**
 * Dispatch ids in half their length. An entry names the dispatches it owns in
 * each heartbeat, which makes them the larger part of it.
 */
import type {DispatchId} from '../types/ids.js';

/** 128 bits in hex, a dot, and an attempt that fits a byte. */
const STANDARD_ID = /^([0-9a-f]{32})\.(0|[1-9][0-9]{0,2})$/;
const MAX_ATTEMPT = 255;
const STANDARD_TAG = 1;
const TEXT_TAG = 0;
const REQUEST_END_OFFSET = 17;

/** Any text is taken; those of the usual form come out as 18 bytes. */
export function packDispatchId(id: DispatchId): Buffer {
  const parts = STANDARD_ID.exec(id);
  const attempt = Number(parts?.[2]);
  if (parts === null || attempt > MAX_ATTEMPT) {
    return Buffer.concat([Buffer.of(TEXT_TAG), Buffer.from(id)]);
  }
  const request = Buffer.from(parts[1], 'hex');
  return Buffer.concat([Buffer.of(STANDARD_TAG), request, Buffer.of(attempt)]);
}

/** Throws on bytes that `packDispatchId` does not make. */
export function unpackDispatchId(bytes: Buffer): DispatchId {
  if (bytes[0] === TEXT_TAG) return bytes.toString('utf8', 1);
  if (bytes[0] !== STANDARD_TAG || bytes.length !== REQUEST_END_OFFSET + 1) {
    throw new Error('malformed dispatch id in a heartbeat');
  }
  const request = bytes.toString('hex', 1, REQUEST_END_OFFSET);
  return `${request}.${bytes[REQUEST_END_OFFSET]}`;
}
