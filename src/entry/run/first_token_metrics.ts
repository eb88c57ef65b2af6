/**
 * Time to first token by length class, and how much slower short requests are
 * than they would be alone.
 *
 * The time alone can't be measured while others run. It is estimated by the
 * least time to first token of the class over the last ten minutes: with
 * bursty load some request met an idle engine. The estimate is low rather than
 * high, so the slowdown shown is high rather than low.
 */
import type {Clock, Metrics} from '../../types/runtime.js';

const WINDOW_MS = 10 * 60_000;
const BUCKET_MS = 60_000;

interface MinimumBucket {
  readonly startsAt: number;
  readonly minMs: number;
}

export interface FirstTokenMetrics {
  /** `shortest` tells whether this is the class of the shortest prompts. */
  record(
    lengthClass: string,
    firstTokenMs: number,
    isShortestClass: boolean,
  ): void;
}

/** Starts with an empty window. */
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
