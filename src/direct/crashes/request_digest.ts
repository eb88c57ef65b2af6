/**
 * Digests that identify equal requests, whatever their ids: the same host,
 * path, organisation and body. The hash is cryptographic, since callers choose
 * the bodies and could otherwise make a request that collides with another one
 * and is treated like it.
 */
import {createHash} from 'node:crypto';

/** Hexadecimal digits of a digest: 128 bits. */
const DIGEST_DIGITS = 32;
/** Digits in a log line; enough to distinguish the requests of a day. */
const SHORT_DIGITS = 12;

/** The fields in which two equal requests agree. */
export interface RequestIdentity {
  readonly host: string;
  /** Path with the query. */
  readonly path: string;
  readonly organisation: string | undefined;
  readonly body: Buffer;
}

export function digestOf(req: RequestIdentity): string {
  const {host, path, organisation = '', body} = req;
  return createHash('sha256')
    .update(JSON.stringify([host, path, organisation]))
    .update(body)
    .digest('hex')
    .slice(0, DIGEST_DIGITS);
}

/** The shortened digest for log lines. */
export function shortDigest(digest: string): string {
  return digest.slice(0, SHORT_DIGITS);
}
