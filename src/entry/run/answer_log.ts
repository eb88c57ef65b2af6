/**
 * The answer of one request as its callers see it: chunks from 0 without gaps,
 * then one final event. All listeners are served from this log, so the first
 * caller and one that resumes get the same order and the same single final
 * event.
 */
import {OnyxError} from '../../types/errors.js';
import type {RequestId} from '../../types/ids.js';
import type {Invariant} from '../../types/runtime.js';
import type {RequestEvent, RequestListener} from '../../types/services.js';

export type ChunkEvent = Extract<RequestEvent, {readonly kind: 'chunk'}>;
export type FinalEvent = Extract<
  RequestEvent,
  {readonly kind: 'end'} | {readonly kind: 'failed'}
>;
type PlacedEvent = Extract<RequestEvent, {readonly kind: 'placed'}>;

/**
 * Maximum total size, in bytes, of the chunks retained for callers that resume
 * at this entry. Beyond it, the oldest chunks are dropped, except for the
 * newest one.
 */
const MAX_RETAINED_BYTES = 1 << 20;

/** The ordered chunks and the final event of one answer. */
export interface AnswerLog {
  /** Sequence number of the next chunk expected. */
  nextSeq(): number;
  tokens(): number;
  /**
   * Number of chunks that a caller may have seen. These cannot be discarded.
   */
  deliveredSeq(): number;
  /** Total size of the retained chunks, in bytes. */
  retainedBytes(): number;
  finalEvent(): FinalEvent | undefined;
  setPlacement(event: PlacedEvent): void;
  append(chunk: ChunkEvent): void;
  /** Makes the log start at a later chunk; only before its first chunk. */
  startAt(seq: number): void;
  /**
   * Discards all chunks so that another run can replace them; only if no chunk
   * was delivered.
   */
  discardChunks(): void;
  /**
   * Records the final event. Returns false when there was one already; the
   * first one stays.
   */
  finish(event: FinalEvent): boolean;
  /**
   * Replays the chunks from `fromSeq` on, then sends new events. Chunks sent to
   * a listener that is not `streamed` do not count as delivered.
   */
  subscribe(
    fromSeq: number,
    listener: RequestListener,
    streamed?: boolean,
  ): void;
}

/** What a listener wants to receive. */
interface Subscription {
  /** Sequence number of the first chunk wanted. */
  readonly fromSeq: number;
  readonly streamed: boolean;
}

/** Creates the log of an answer whose first chunk is `firstSeq`. */
export function createAnswerLog(
  id: RequestId,
  firstSeq: number,
  invariant: Invariant,
): AnswerLog {
  const listeners = new Map<RequestListener, Subscription>();
  const retained: ChunkEvent[] = [];
  let retainedBytes = 0;
  let nextSeq = firstSeq;
  let tokens = 0;
  let deliveredSeq = firstSeq;
  let placement: PlacedEvent | undefined;
  let finalEvent: FinalEvent | undefined;

  const notifyAll = (event: RequestEvent) => {
    for (const [listener, subscription] of [...listeners]) {
      notify(listener, subscription, event);
    }
  };

  const notify = (
    listener: RequestListener,
    {fromSeq, streamed}: Subscription,
    event: RequestEvent,
  ) => {
    if (event.kind === 'chunk') {
      if (event.seq < fromSeq) return;
      if (streamed) deliveredSeq = Math.max(deliveredSeq, event.seq + 1);
    }
    listener(event);
  };

  const retain = (chunk: ChunkEvent) => {
    retained.push(chunk);
    retainedBytes += chunk.data.length;
    while (retainedBytes > MAX_RETAINED_BYTES && retained.length > 1) {
      retainedBytes -= retained.shift()?.data.length ?? 0;
    }
  };

  const subscribe = (
    fromSeq: number,
    listener: RequestListener,
    streamed = true,
  ) => {
    const oldest = retained[0]?.seq ?? nextSeq;
    if (fromSeq < oldest) {
      listener({kind: 'failed', error: chunkNotRetained(id, fromSeq, oldest)});
      return;
    }
    const subscription = {fromSeq, streamed};
    // A caller that resumes at `fromSeq` has the chunks before it.
    if (streamed) deliveredSeq = Math.max(deliveredSeq, fromSeq);
    if (placement !== undefined) listener(placement);
    for (const chunk of retained) notify(listener, subscription, chunk);
    if (finalEvent === undefined) listeners.set(listener, subscription);
    else listener(finalEvent);
  };

  return {
    nextSeq: () => nextSeq,
    tokens: () => tokens,
    deliveredSeq: () => deliveredSeq,
    retainedBytes: () => retainedBytes,
    finalEvent: () => finalEvent,
    setPlacement: event => {
      if (finalEvent !== undefined) return;
      placement = event;
      notifyAll(event);
    },
    append: chunk => {
      invariant(finalEvent === undefined, 'no-chunk-after-final', {
        requestId: id,
      });
      invariant(chunk.seq === nextSeq, 'chunks-in-order', {
        requestId: id,
        seq: chunk.seq,
        expected: nextSeq,
      });
      if (finalEvent !== undefined || chunk.seq !== nextSeq) return;
      nextSeq++;
      tokens += chunk.tokens;
      retain(chunk);
      notifyAll(chunk);
    },
    startAt: seq => {
      if (retained.length === 0 && finalEvent === undefined) nextSeq = seq;
    },
    discardChunks: () => {
      // Chunks of two runs joined would form an answer that no run produced.
      invariant(deliveredSeq === 0, 'answers-never-mixed', {
        requestId: id,
        delivered: deliveredSeq,
      });
      if (deliveredSeq > 0 || nextSeq === 0 || finalEvent !== undefined) return;
      retained.length = 0;
      retainedBytes = 0;
      nextSeq = 0;
      tokens = 0;
      notifyAll({kind: 'restarted'});
    },
    finish: event => {
      if (finalEvent !== undefined) return false;
      finalEvent = event;
      notifyAll(event);
      listeners.clear();
      return true;
    },
    subscribe,
  };
}

/** The error for a caller that asks for a chunk no longer retained. */
function chunkNotRetained(
  id: RequestId,
  fromSeq: number,
  oldest: number,
): OnyxError {
  return new OnyxError({
    code: 'answer-incomplete',
    step: 'resume',
    message: `chunk ${fromSeq} is not kept any more; the oldest is ${oldest}`,
    ran: 'yes',
    requestId: id,
  });
}
