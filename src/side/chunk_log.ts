/**
 * Stores the chunks of one answer, numbered from 0. They are kept so that any
 * entry can resume the answer from any chunk.
 */
import type {Chunk} from '../types/peer_messages.js';
import {createDigest} from '../utils/digest.js';

/** The chunks of one answer, in order. */
export interface ChunkLog {
  /** Appends a chunk under the next sequence number. */
  append(chunk: Omit<Chunk, 'kind' | 'seq'>): void;
  get(seq: number): Chunk | undefined;
  /** Number of chunks; also the sequence number of the next chunk. */
  count(): number;
  /** Total size of the chunks' data in bytes. */
  bytes(): number;
  /** Hash over all chunk bytes in order. */
  digest(): string;
}

/** Creates an empty log. */
export function createChunkLog(): ChunkLog {
  const chunks: Chunk[] = [];
  const digest = createDigest();
  let bytes = 0;

  return {
    append: chunk => {
      chunks.push({kind: 'chunk', seq: chunks.length, ...chunk});
      digest.update(chunk.data);
      bytes += chunk.data.byteLength;
    },
    get: seq => chunks[seq],
    count: () => chunks.length,
    bytes: () => bytes,
    digest: () => digest.value(),
  };
}
