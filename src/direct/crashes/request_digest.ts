/**
 * Digests that identify equal requests, whatever their ids: the same host,
 * path, organisation and body; and those of the parts of a prompt. The hash is cryptographic, since callers choose
 * the bodies and could otherwise make a request that collides with another one
 * and is treated like it.
 */
import {createHash} from 'node:crypto';

/** Hexadecimal digits of a digest: 128 bits. */
const DIGEST_DIGITS = 32;
/** Digits in a log line; enough to distinguish the requests of a day. */
const SHORT_DIGITS = 12;

/** Most parts of a prompt that a log line names. */
const MAX_LOGGED_PARTS = 8;

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

/**
 * Digest of a part of a prompt. Requests that share the part have it in common,
 * whatever else they hold. It differs by service, since the replicas of one may
 * bear a part that crashes those of another.
 */
export function partDigestOf(service: string, part: string): string {
  return createHash('sha256')
    .update(JSON.stringify(['part', service, part]))
    .digest('hex')
    .slice(0, DIGEST_DIGITS);
}

/** The shortened digest for log lines. */
export function shortDigest(digest: string): string {
  return digest.slice(0, SHORT_DIGITS);
}

/**
 * The parts of a prompt for log lines, as shortened digests; undefined where
 * there are none.
 */
export function loggedParts(
  partDigests: readonly string[],
): readonly string[] | undefined {
  if (partDigests.length === 0) return undefined;
  return partDigests.slice(0, MAX_LOGGED_PARTS).map(shortDigest);
}
