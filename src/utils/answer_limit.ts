/**
 * A time limit for what is awaited on behalf of someone who waits outside the
 * process. A service that takes no messages would otherwise leave them without an
 * answer.
 */
import type {Cancel, Clock} from '../types/runtime.js';

/**
 * Resolves as `answer` does; rejects where that takes longer than `limitMs`. What
 * becomes of `answer` after that changes nothing.
 */
export async function answerWithin<T>(
  clock: Pick<Clock, 'after'>,
  limitMs: number,
  answer: Promise<T>,
): Promise<T> {
  let cancel: Cancel = () => undefined;
  const late = new Promise<never>((_, reject) => {
    const giveUp = () => reject(new Error(`no answer within ${limitMs} ms`));
    cancel = clock.after(limitMs, giveUp, 'limit of an answer');
  });
  return Promise.race([answer, late]).finally(() => cancel());
}
