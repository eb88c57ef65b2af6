/**
 * An answer's chunks, numbered from 0 and kept so that any entry can take up
 * the answer from any chunk on.
 */
import type {Chunk} from '../types/peer_messages.js';
import {createDigest} from '../utils/digest.js';

export interface ChunkLog {
  append(chunk: Omit<Chunk, 'kind' | 'seq'>): void;
  get(seq: number): Chunk | undefined;
  /** Number of chunks, which is the number of the next one. */
  count(): number;
  bytes(): number;
  /** Hash over all chunk bytes in order. */
  digest(): string;
}

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
