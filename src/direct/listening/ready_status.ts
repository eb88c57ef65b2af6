/**
 * The status of a readiness check. An entry whose service does not say in time
 * whether it is ready counts as not ready: the load balancer has other entries,
 * and callers that come all the same are served.
 */
import type {Clock} from '../../types/runtime.js';
import {answerWithin} from '../../utils/answer_limit.js';

/**
 * Longest wait for the service, in milliseconds. A service that takes messages
 * answers in the same turn of the event loop, and checks commonly wait for 1 s.
 */
export const READY_LIMIT_MS = 300;

/** Always resolves. */
export async function readyStatus(
  clock: Pick<Clock, 'after'>,
  askReady: () => Promise<boolean>,
): Promise<200 | 503> {
  try {
    const isReady = await answerWithin(clock, READY_LIMIT_MS, askReady());
    return isReady ? 200 : 503;
  } catch {
    return 503;
  }
}
