/**
 * Some statuses promise the caller that its request has not run and never will,
 * so that it may send the request again whatever its kind. A replica that answers
 * with one of them and does not state that it did not run the request may have
 * run it. Where that may happen once only, the caller must not get the promise.
 */
import type {Exchange} from '../exchange.js';

const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether the status would promise that a run did not happen that may have. */
export function isFalsePromise(
  {mayHaveRun, route}: Pick<Exchange, 'mayHaveRun' | 'route'>,
  status: number,
): boolean {
  return mayHaveRun && route.kind === 'once' && PROMISES.has(status);
}
