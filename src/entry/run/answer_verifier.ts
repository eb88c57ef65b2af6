/**
 * Checks the frames of one dispatch before they may become part of an answer:
 * right dispatch, right order, whole, unchanged.
 */
import type {DispatchId} from '../../types/ids.js';
import type {Chunk, RunEnd} from '../../types/peer_messages.js';
import {createDigest} from '../../utils/digest.js';

/** `gap`: chunks before it are missing and have to be fetched again. */
export type ChunkStatus = 'next' | 'duplicate' | 'gap' | 'foreign';
/** `short`: chunks are missing. `changed`: the bytes are not the side's. */
export type EndStatus = 'whole' | 'short' | 'changed' | 'foreign';

export interface AnswerVerifier {
  nextSeq(): number;
  /** Takes the chunk into account when it is the next one. */
  checkChunk(chunk: Chunk): ChunkStatus;
  checkEnd(end: RunEnd): EndStatus;
}

/**
 * A check that starts after 0 (a run taken up in the middle) has not seen all
 * bytes: it holds the count, and leaves the digest to the entry that did.
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
      // A late frame of an earlier attempt, or a mixed-up channel: taken as
      // ours it would put another answer's words into this one.
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
      // A lost or changed chunk would pass unseen as a complete answer.
      if (fromSeq === 0 && end.digest !== digest.value()) return 'changed';
      return 'whole';
    },
  };
}
