/**
 * Hashes of a prompt's leading blocks, by which requests that share a prefix
 * find the engine that has it in its cache. Only the leading blocks are
 * hashed: the cost does not grow with the prompt.
 */
import type {Body} from '../../types/services.js';
import {chainHash} from '../../utils/digest.js';

/** Bytes of prompt in one block: some 256 tokens. */
export const PREFIX_BLOCK_BYTES = 1024;
/** Blocks hashed at most: the first 64 KiB, some 16,000 tokens. */
export const MAX_PREFIX_BLOCKS = 64;

const HASH_DIGITS = 16;
const encoder = new TextEncoder();

/**
 * Chained hashes of the leading whole blocks, first block first; each covers
 * all blocks before it. The chain starts from `scope`: with the organisation
 * in it, no organisation learns from a cache hit what another has sent.
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
