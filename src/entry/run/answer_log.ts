/**
 * The answer of one request as its callers see it: chunks from 0 without gaps,
 * then one final event. Every listener goes through here, so the order and the
 * single final event hold for the first caller and for one that resumes.
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

/** Bytes of chunks kept for callers that resume at this entry. */
const KEEP_BYTES = 1 << 20;

export interface AnswerLog {
  /** Next chunk that the answer lacks. */
  nextSeq(): number;
  tokens(): number;
  /** Chunks that a caller may have seen: they cannot be taken back. */
  delivered(): number;
  /** Of the chunks kept to resume. */
  keptBytes(): number;
  final(): FinalEvent | undefined;
  placed(event: PlacedEvent): void;
  append(chunk: ChunkEvent): void;
  /** Lets the log begin later; only before its first chunk. */
  beginAt(seq: number): void;
  /** Drops all chunks for those of another run; only if none was delivered. */
  restart(): void;
  /** False when there was a final event before; the first one stands. */
  finish(event: FinalEvent): boolean;
  /**
   * Replays from `fromSeq`, then follows; chunks before it are left out. What
   * a listener that is not `streamed` is told does not count as delivered.
   */
  subscribe(
    fromSeq: number,
    listener: RequestListener,
    streamed?: boolean,
  ): void;
}

interface Subscription {
  /** First chunk wanted. */
  readonly fromSeq: number;
  readonly streamed: boolean;
}

/** Starts the log of an answer whose first chunk is `firstSeq`. */
export function createAnswerLog(
  id: RequestId,
  firstSeq: number,
  invariant: Invariant,
): AnswerLog {
  const listeners = new Map<RequestListener, Subscription>();
  const kept: ChunkEvent[] = [];
  let keptBytes = 0;
  let nextSeq = firstSeq;
  let tokens = 0;
  let delivered = firstSeq;
  let placed: PlacedEvent | undefined;
  let final: FinalEvent | undefined;

  const tell = (event: RequestEvent) => {
    for (const [listener, subscription] of [...listeners]) {
      tellOne(listener, subscription, event);
    }
  };

  const tellOne = (
    listener: RequestListener,
    {fromSeq, streamed}: Subscription,
    event: RequestEvent,
  ) => {
    if (event.kind === 'chunk') {
      if (event.seq < fromSeq) return;
      if (streamed) delivered = Math.max(delivered, event.seq + 1);
    }
    listener(event);
  };

  const keep = (chunk: ChunkEvent) => {
    kept.push(chunk);
    keptBytes += chunk.data.length;
    while (keptBytes > KEEP_BYTES && kept.length > 1) {
      keptBytes -= kept.shift()?.data.length ?? 0;
    }
  };

  const subscribe = (
    fromSeq: number,
    listener: RequestListener,
    streamed = true,
  ) => {
    const oldest = kept[0]?.seq ?? nextSeq;
    if (fromSeq < oldest) {
      listener({kind: 'failed', error: outOfReach(id, fromSeq, oldest)});
      return;
    }
    const subscription = {fromSeq, streamed};
    // Who wants the rest has the chunks before it.
    if (streamed) delivered = Math.max(delivered, fromSeq);
    if (placed !== undefined) listener(placed);
    for (const chunk of kept) tellOne(listener, subscription, chunk);
    if (final === undefined) listeners.set(listener, subscription);
    else listener(final);
  };

  return {
    nextSeq: () => nextSeq,
    tokens: () => tokens,
    delivered: () => delivered,
    keptBytes: () => keptBytes,
    final: () => final,
    placed: event => {
      if (final !== undefined) return;
      placed = event;
      tell(event);
    },
    append: chunk => {
      invariant(final === undefined, 'no-chunk-after-final', {requestId: id});
      invariant(chunk.seq === nextSeq, 'chunks-in-order', {
        requestId: id,
        seq: chunk.seq,
        expected: nextSeq,
      });
      if (final !== undefined || chunk.seq !== nextSeq) return;
      nextSeq++;
      tokens += chunk.tokens;
      keep(chunk);
      tell(chunk);
    },
    beginAt: seq => {
      if (kept.length === 0 && final === undefined) nextSeq = seq;
    },
    restart: () => {
      // Chunks of two runs joined would be an answer that no run gave.
      invariant(delivered === 0, 'answers-never-mixed', {
        requestId: id,
        delivered,
      });
      if (delivered > 0 || nextSeq === 0 || final !== undefined) return;
      kept.length = 0;
      keptBytes = 0;
      nextSeq = 0;
      tokens = 0;
      tell({kind: 'restarted'});
    },
    finish: event => {
      if (final !== undefined) return false;
      final = event;
      tell(event);
      listeners.clear();
      return true;
    },
    subscribe,
  };
}

function outOfReach(id: RequestId, fromSeq: number, oldest: number): OnyxError {
  return new OnyxError({
    code: 'answer-incomplete',
    step: 'resume',
    message: `chunk ${fromSeq} is not kept any more; the oldest is ${oldest}`,
    ran: 'yes',
    requestId: id,
  });
}
