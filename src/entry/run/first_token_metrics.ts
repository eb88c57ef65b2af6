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
const SLOT_MS = 60_000;

interface Slot {
  readonly startsAt: number;
  readonly leastMs: number;
}

export interface FirstTokenMetrics {
  /** `shortest` tells whether this is the class of the shortest prompts. */
  record(lengthClass: string, firstTokenMs: number, shortest: boolean): void;
}

/** Starts with an empty window. */
export function createFirstTokenMetrics(
  metrics: Metrics,
  clock: Clock,
): FirstTokenMetrics {
  let slots: readonly Slot[] = [];

  const note = (firstTokenMs: number) => {
    const now = clock.now();
    const kept = slots.filter(slot => slot.startsAt > now - WINDOW_MS);
    const last = kept.at(-1);
    if (last === undefined || now - last.startsAt >= SLOT_MS) {
      slots = [...kept, {startsAt: now, leastMs: firstTokenMs}];
      return;
    }
    const leastMs = Math.min(last.leastMs, firstTokenMs);
    slots = [...kept.slice(0, -1), {startsAt: last.startsAt, leastMs}];
  };

  const record = (
    lengthClass: string,
    firstTokenMs: number,
    shortest: boolean,
  ) => {
    metrics.observe(
      'onyxloft_first_token_ms',
      {length_class: lengthClass},
      firstTokenMs,
    );
    if (!shortest) return;
    note(firstTokenMs);
    const aloneMs = Math.min(...slots.map(slot => slot.leastMs));
    if (aloneMs <= 0) return;
    metrics.observe('onyxloft_short_slowdown', {}, firstTokenMs / aloneMs);
  };

  return {record};
}
