/**
 * Decides whether the caller of a request that repeats an earlier one is told
 * to come back later.
 *
 * Under overload some callers repeat a rejected request at once, and some
 * repeat one that still runs. If each repetition were a new request, whoever
 * repeats most would be the first to find a free engine, and a prompt would be
 * prefilled twice. While the engines are full, a caller that comes back too
 * early is told the same time again, and a request does not run a second time
 * beside the first. While there is room, nobody is told to come back.
 */
import type {Earlier} from '../shares/repeats.js';

/** Why the caller of a repetition is told to come back later; logged. */
export type RepeatReason = 'came back too early' | 'an equal request runs';

export interface RepeatAnswer {
  readonly reason: RepeatReason;
  /** Time until the caller is to come back, in milliseconds. */
  readonly comeBackMs: number;
}

/**
 * A caller may come back earlier than it was told by this time, in
 * milliseconds, since its timer and the network are not exact.
 */
const EARLY_MARGIN_MS = 20;
/** Share of the latency objective after which a running request may be over. */
const RUNNING_AIM_SHARE = 1;
/** Shortest time after which the caller of a running request comes back. */
const MIN_RUNNING_MS = 250;

/**
 * The answer to a repetition; undefined where it is served like any other
 * request. `fullness` is that for shares.
 */
export function answerRepeat(
  earlier: Earlier,
  {now, aimMs, fullness}: {now: number; aimMs: number; fullness: number},
): RepeatAnswer | undefined {
  if (fullness <= 0 || earlier.kind === 'none') return undefined;
  if (earlier.kind === 'running') {
    const comeBackMs = Math.max(MIN_RUNNING_MS, RUNNING_AIM_SHARE * aimMs);
    return {reason: 'an equal request runs', comeBackMs};
  }
  const comeBackMs = earlier.comeBackAt - now;
  return comeBackMs > EARLY_MARGIN_MS
    ? {reason: 'came back too early', comeBackMs}
    : undefined;
}
