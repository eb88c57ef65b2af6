/**
 * Hashes of a prompt's leading blocks. Requests with a common prefix are routed
 * by them to an engine that has the prefix in its cache. The number of blocks
 * is limited, so the cost does not grow with the prompt.
 */
import type {Body} from '../../types/services.js';
import {chainHash} from '../../utils/digest.js';

/** Size of one block, in bytes; about 256 tokens. */
export const PREFIX_BLOCK_BYTES = 1024;
/**
 * Maximum number of blocks hashed: the first 64 KiB, about 16,000 tokens. The
 * rest of the prompt is not hashed.
 */
export const MAX_PREFIX_BLOCKS = 64;

/** Hex digits of one hash. */
const HASH_DIGITS = 16;
const encoder = new TextEncoder();

/**
 * Returns the chained hashes of the leading complete blocks, in order; each
 * hash covers all blocks before it. The chain starts from `scope`. The scope
 * contains the organisation, so that no organisation can learn from a cache hit
 * what another one has sent.
 */
export function prefixHashes(body: Body, scope: string): readonly string[] {
  const leading = copyLeadingBytes(
    body,
    PREFIX_BLOCK_BYTES * MAX_PREFIX_BLOCKS,
  );
  const hashes: string[] = [];
  let chain = chainHash(0n, encoder.encode(scope));
  for (
    let from = 0;
    from + PREFIX_BLOCK_BYTES <= leading.length;
    from += PREFIX_BLOCK_BYTES
  ) {
    chain = chainHash(chain, leading.subarray(from, from + PREFIX_BLOCK_BYTES));
    hashes.push(chain.toString(16).padStart(HASH_DIGITS, '0'));
  }
  return hashes;
}

/** Copies at most `maxBytes` leading bytes of the body. */
function copyLeadingBytes(body: Body, maxBytes: number): Uint8Array {
  const leading = new Uint8Array(Math.min(maxBytes, body.bytes));
  let used = 0;
  for (const piece of body.pieces) {
    if (used === leading.length) break;
    const part = piece.subarray(0, leading.length - used);
    leading.set(part, used);
    used += part.length;
  }
  return leading;
}
