/**
 * Verifies the frames of one dispatch before they become part of an answer:
 * that they belong to the dispatch, are in order and complete, and are
 * unchanged.
 */
import type {DispatchId} from '../../types/ids.js';
import type {Chunk, RunEnd} from '../../types/peer_messages.js';
import {createDigest} from '../../utils/digest.js';

/**
 * `gap`: earlier chunks are missing and must be fetched again. `foreign`: the
 * chunk belongs to another dispatch.
 */
export type ChunkStatus = 'next' | 'duplicate' | 'gap' | 'foreign';
/**
 * `short`: chunks are missing. `changed`: count or bytes differ from what the
 * side sent. `foreign`: the frame belongs to another dispatch.
 */
export type EndStatus = 'whole' | 'short' | 'changed' | 'foreign';

/** Verifies chunks and end frame of one dispatch. */
export interface AnswerVerifier {
  nextSeq(): number;
  /** Adds the chunk to count and digest when it is the next one. */
  checkChunk(chunk: Chunk): ChunkStatus;
  checkEnd(end: RunEnd): EndStatus;
}

/**
 * Creates a verifier that expects `fromSeq` first. One that starts after 0, for
 * a run resumed in the middle, has not seen all bytes. It checks only the
 * count, and the entry that saw the whole answer checks the digest.
 */
export function createAnswerVerifier(
  dispatchId: DispatchId,
  fromSeq: number,
): AnswerVerifier {
  const digest = createDigest();
  let nextSeq = fromSeq;

  return {
    nextSeq: () => nextSeq,
    checkChunk: chunk => {
      // The frame is a late one of an earlier attempt, or came over a mixed-up
      // channel. Accepting it would put text of another answer into this one.
      if (chunk.dispatchId !== dispatchId) return 'foreign';
      if (chunk.seq < nextSeq) return 'duplicate';
      if (chunk.seq > nextSeq) return 'gap';
      nextSeq++;
      digest.update(chunk.data);
      return 'next';
    },
    checkEnd: end => {
      if (end.dispatchId !== dispatchId) return 'foreign';
      if (end.count > nextSeq) return 'short';
      if (end.count < nextSeq) return 'changed';
      // Without the digest, a lost or changed chunk would pass as part of a
      // complete answer.
      if (fromSeq === 0 && end.digest !== digest.value()) return 'changed';
      return 'whole';
    },
  };
}
