/**
 * Hop-by-hop headers: headers that apply to a single connection. A proxy must
 * not forward them (RFC 9110 section 7.6.1).
 */
import type {Header} from '../types/peer_messages.js';

/** Lower-case names of the headers that are always hop-by-hop. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Removes hop-by-hop headers, including those that a `connection` header
 * names.
 */
export function withoutHopHeaders(
  headers: readonly Header[],
): readonly Header[] {
  const named = headers
    .filter(({name}) => name.toLowerCase() === 'connection')
    .flatMap(({value}) => parseNames(value));
  const dropped = new Set([...HOP_BY_HOP_HEADERS, ...named]);
  return headers.filter(({name}) => !dropped.has(name.toLowerCase()));
}

/**
 * Lower-case header names that the `connection` headers list. `rawHeaders`
 * alternates names and values, as in Node's `rawHeaders`.
 */
export function connectionOptions(
  rawHeaders: readonly string[],
): ReadonlySet<string> {
  const named = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() !== 'connection') continue;
    for (const name of parseNames(rawHeaders[i + 1])) named.add(name);
  }
  return named;
}

/** Splits a comma-separated list of names into lower-case names. */
function parseNames(value: string): readonly string[] {
  return value.split(',').map(name => name.trim().toLowerCase());
}
