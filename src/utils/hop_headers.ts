/**
 * Headers that concern one connection only and must not be passed on, by
 * RFC 9110 section 7.6.1.
 */
import type {Header} from '../types/peer_messages.js';

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

/** The headers without hop-by-hop ones, also those `connection` names. */
export function withoutHopHeaders(
  headers: readonly Header[],
): readonly Header[] {
  const named = headers
    .filter(({name}) => name.toLowerCase() === 'connection')
    .flatMap(({value}) => parseNames(value));
  const dropped = new Set([...HOP_BY_HOP_HEADERS, ...named]);
  return headers.filter(({name}) => !dropped.has(name.toLowerCase()));
}

/** Names that `connection` gives in a flat list of names and values. */
export function connectionOptions(
  rawHeaders: readonly string[],
): ReadonlySet<string> {
  const named = new Set<string>();
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at].toLowerCase() !== 'connection') continue;
    for (const name of parseNames(rawHeaders[at + 1])) named.add(name);
  }
  return named;
}

function parseNames(value: string): readonly string[] {
  return value.split(',').map(name => name.trim().toLowerCase());
}
