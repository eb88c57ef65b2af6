/** What of a replica's answer head is passed on to the caller. */
import type {IncomingMessage} from 'node:http';
import {
  HOP_BY_HOP_HEADERS,
  connectionOptions,
} from '../../utils/hop_headers.js';
import type {AnswerHead} from '../dispatch.js';
import type {HeaderList} from '../types.js';

/** Statuses of answers that have no body. */
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether only the end of its connection ends the replica's answer. */
export function hasNoLength({headers}: AnswerHead): boolean {
  const {'content-length': declared, 'transfer-encoding': coding} = headers;
  return declared === undefined && coding === undefined;
}

/**
 * Whether an answer of this status may be sent to the caller in chunks. Not
 * where there is no body, nor for callers that cannot read chunks.
 */
export function mayAddChunks(
  {method, httpVersion}: IncomingMessage,
  status: number,
): boolean {
  const hasBody =
    method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
  return hasBody && httpVersion !== '1.0';
}

/** The replica's headers without those of its connection. */
export function endToEndHeaders({rawHeaders}: AnswerHead): HeaderList {
  const dropped = connectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || dropped.has(name)) continue;
    kept.push(rawHeaders[at], rawHeaders[at + 1]);
  }
  return kept;
}
