/**
 * Headers that concern one connection only and must not be passed on, by
 * RFC 9110 section 7.6.1.
 */
import type {Header} from '../types/peer_messages.js';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
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
    .flatMap(({value}) => value.split(','))
    .map(name => name.trim().toLowerCase());
  const dropped = new Set([...HOP_BY_HOP, ...named]);
  return headers.filter(({name}) => !dropped.has(name.toLowerCase()));
}
