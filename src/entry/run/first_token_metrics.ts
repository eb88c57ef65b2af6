/**
 * Metrics of the time to first token by length class, and of how much slower
 * short requests are than they would be alone.
 *
 * The time alone cannot be measured while other requests run. It is estimated
 * as the minimum time to first token of the shortest class over the last ten
 * minutes, because with bursty load some request finds an idle engine. The
 * estimate tends to be low, so the slowdown shown tends to be high.
 */
import type {Clock, Metrics} from '../../types/runtime.js';

/** Time over which the minimum is taken, in milliseconds. */
const WINDOW_MS = 10 * 60_000;
/** Time covered by one bucket of the window, in milliseconds. */
const BUCKET_MS = 60_000;

/** Minimum time to first token within one part of the window. */
interface MinimumBucket {
  readonly startsAt: number;
  readonly minMs: number;
}

export interface FirstTokenMetrics {
  /** `isShortestClass`: the request is in the class of the shortest prompts. */
  record(
    lengthClass: string,
    firstTokenMs: number,
    isShortestClass: boolean,
  ): void;
}

/** Creates the metrics with an empty window. */
export function createFirstTokenMetrics(
  metrics: Metrics,
  clock: Clock,
): FirstTokenMetrics {
  let buckets: readonly MinimumBucket[] = [];

  const updateMinimum = (firstTokenMs: number) => {
    const now = clock.now();
    const recent = buckets.filter(slot => slot.startsAt > now - WINDOW_MS);
    const last = recent.at(-1);
    if (last === undefined || now - last.startsAt >= BUCKET_MS) {
      buckets = [...recent, {startsAt: now, minMs: firstTokenMs}];
      return;
    }
    const minMs = Math.min(last.minMs, firstTokenMs);
    buckets = [...recent.slice(0, -1), {startsAt: last.startsAt, minMs}];
  };

  const record = (
    lengthClass: string,
    firstTokenMs: number,
    isShortestClass: boolean,
  ) => {
    metrics.observe(
      'onyxloft_first_token_ms',
      {length_class: lengthClass},
      firstTokenMs,
    );
    if (!isShortestClass) return;
    updateMinimum(firstTokenMs);
    const aloneMs = Math.min(...buckets.map(slot => slot.minMs));
    if (aloneMs <= 0) return;
    metrics.observe('onyxloft_short_slowdown', {}, firstTokenMs / aloneMs);
  };

  return {record};
}
