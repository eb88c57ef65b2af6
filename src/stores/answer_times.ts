/**
 * How long a service's answers have taken lately, and how long to wait for the
 * next one. A fixed limit would take a service that is merely slow for one that
 * never answers: each call would end shortly before its answer. The limit is
 * therefore learned from all answers, also from those that came after it.
 */
import type {Clock} from '../types/runtime.js';
import {untilSocketsRead} from '../utils/event_loop.js';

/** Answers that are taken into account, and for how long, in milliseconds. */
const MAX_ANSWERS = 8;
const ANSWER_LIFETIME_MS = 30_000;
/** The next answer may take this many times as long as the slowest of them. */
const PATIENCE_FACTOR = 2;

export interface AnswerTimesOptions {
  readonly clock: Clock;
  /** Shortest limit, in milliseconds. */
  readonly floorMs: number;
  /** Longest limit, in milliseconds. */
  readonly ceilingMs: number;
}

export interface AnswerTimes {
  /** An answer came after this time, in milliseconds. */
  answered(tookMs: number): void;
  /** Time of the slowest recent answer, in milliseconds; 0 without any. */
  slowestMs(): number;
  /** Time after which an answer is overdue, in milliseconds. */
  limitMs(): number;
}

export function createAnswerTimes(options: AnswerTimesOptions): AnswerTimes {
  const {clock, floorMs, ceilingMs} = options;
  let recent: ReadonlyArray<{readonly at: number; readonly tookMs: number}> =
    [];
  const slowestMs = (): number => {
    const since = clock.now() - ANSWER_LIFETIME_MS;
    recent = recent.filter(({at}) => at > since);
    return Math.max(0, ...recent.map(({tookMs}) => tookMs));
  };
  return {
    answered: tookMs => {
      recent = [...recent, {at: clock.now(), tookMs}].slice(-MAX_ANSWERS);
    },
    slowestMs,
    limitMs: () =>
      Math.min(ceilingMs, Math.max(floorMs, slowestMs() * PATIENCE_FACTOR)),
  };
}

/**
 * Resolves to the answer, or to undefined when it is overdue. The call goes on,
 * and a late answer is passed to `onLate`, which must not throw.
 */
export function unlessOverdue<T>(
  clock: Clock,
  call: Promise<T>,
  limitMs: number,
  onLate: (answer: T) => void,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    let isOver = false;
    // After a stall the answer may have come and lie unread.
    const cancel = clock.after(limitMs, () => {
      void untilSocketsRead().then(() => {
        isOver = true;
        resolve(undefined);
      });
    });
    call.then(answer => {
      cancel();
      if (isOver) onLate(answer);
      else resolve(answer);
    }, reject);
  });
}
