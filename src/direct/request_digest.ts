/**
 * Tells whether two requests are the same, whatever ids they come under: same
 * host, path, organisation and body. The digest is cryptographic, since callers
 * choose the bodies: with another one's digest a request could be taken for it.
 */
import {createHash} from 'node:crypto';

/** 128 bits, in hexadecimal digits. */
const DIGEST_DIGITS = 32;
/** Of a digest in a log line; enough to tell the requests of a day apart. */
const SHOWN_DIGITS = 12;

/** What makes a request the same as another. */
export interface RequestIdentity {
  readonly host: string;
  /** With its query. */
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

/** As log lines have it. */
export function shortDigest(digest: string): string {
  return digest.slice(0, SHOWN_DIGITS);
}
