/** What of a replica's answer head is passed on to the caller. */
import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {
  HOP_BY_HOP_HEADERS,
  connectionOptions,
} from '../../utils/hop_headers.js';
import type {AnswerHead} from '../dispatch.js';
import type {HeaderList} from '../types.js';

const NO_CONTENT = 204;

/** Whether the caller can read an answer in chunks. */
export function readsChunks({httpVersion}: IncomingMessage): boolean {
  return httpVersion !== '1.0';
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

/**
 * The replica's headers that are passed on where its framing is kept. A 204 has
 * no length (RFC 9110, section 8.6): some readers would wait for the body, or
 * take the next answer for it.
 */
export function callerHeaders(head: AnswerHead): HeaderList {
  const headers = endToEndHeaders(head);
  return head.status === NO_CONTENT ? withoutLength(headers) : headers;
}

export function withoutLength(headers: HeaderList): HeaderList {
  return headers.filter((_, at) => {
    const name = headers[at - (at % 2)];
    return name.toLowerCase() !== 'content-length';
  });
}

/**
 * Whether the caller can be sent all of these headers. Node's parser reads names
 * that its writer refuses.
 */
export function canPassOn(head: AnswerHead): boolean {
  const headers = endToEndHeaders(head);
  try {
    for (let at = 0; at + 1 < headers.length; at += 2) {
      validateHeaderName(headers[at]);
      validateHeaderValue(headers[at], headers[at + 1]);
    }
    return true;
  } catch {
    return false;
  }
}
