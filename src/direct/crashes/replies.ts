/**
 * Answers reports of peers to all of them, once for all entries: each waits for
 * a time of its own, and says nothing if another has answered meanwhile. Else
 * what is asked often would cost messages by the square of the entries.
 */
import type {Clock} from '../../types/runtime.js';

/** After an answer no other one is given for this long, in milliseconds. */
const REPEAT_AFTER_MS = 1_000;

export interface Replies {
  /** Calls `reply` after the delay, unless an answer is heard before. */
  schedule(digest: string, reply: () => void): void;
  /** A peer has answered for this digest. */
  heard(digest: string): void;
}

export function createReplies(clock: Clock, delayMs: () => number): Replies {
  /** Digests for which an answer is due, or was given just now. */
  const due = new Set<string>();
  const settled = new Set<string>();

  const settle = (digest: string): void => {
    due.delete(digest);
    if (settled.has(digest)) return;
    settled.add(digest);
    clock.after(REPEAT_AFTER_MS, () => settled.delete(digest));
  };
  return {
    schedule: (digest, reply) => {
      if (due.has(digest) || settled.has(digest)) return;
      const answer = () => {
        if (!due.has(digest)) return;
        settle(digest);
        reply();
      };
      due.add(digest);
      const waitMs = delayMs();
      if (waitMs > 0) clock.after(waitMs, answer);
      else answer();
    },
    heard: settle,
  };
}
