/** Tracks which events of a stream the caller has, and measures its latency. */
import type {Metrics} from '../../types/runtime.js';
import type {Exchange} from '../exchange.js';

export interface StreamProgress {
  /** Id of the last event that the caller has; undefined when it has none. */
  lastId: number | undefined;
  /** Number of events that were forwarded. */
  events: number;
  /** Time of the last event on this process's clock; at first the arrival. */
  lastEventAt: number;
  /** Time from the arrival to the first event, in milliseconds. */
  firstEventMs: number;
  /** Longest time between two events, in milliseconds. */
  longestPauseMs: number;
}

/** Starts after the last event that a resuming caller names, if it does. */
export function startProgress({facts, arrivedAt}: Exchange): StreamProgress {
  const lastId = Number(facts.lastEventId);
  return {
    lastId: Number.isInteger(lastId) ? lastId : undefined,
    events: 0,
    lastEventAt: arrivedAt,
    firstEventMs: 0,
    longestPauseMs: 0,
  };
}

/** Whether the caller already has the event with this id. */
export function hasEvent(
  {lastId}: StreamProgress,
  id: number | undefined,
): boolean {
  return id !== undefined && lastId !== undefined && id <= lastId;
}

/** Records an event that is forwarded to the caller now. */
export function recordEvent(
  metrics: Metrics,
  {facts}: Exchange,
  progress: StreamProgress,
  id: number | undefined,
  now: number,
): void {
  const length = lengthLabel(facts.promptTokens);
  const ms = now - progress.lastEventAt;
  progress.lastId = id ?? progress.lastId;
  progress.lastEventAt = now;
  if (progress.events++ === 0) {
    progress.firstEventMs = ms;
    metrics.observe('onyxloft_direct_first_event_ms', {length}, ms);
    return;
  }
  progress.longestPauseMs = Math.max(progress.longestPauseMs, ms);
  metrics.observe('onyxloft_direct_pause_ms', {length}, ms);
}

/** Length classes of the latency metrics: upper bound in prompt tokens, label. */
const LENGTHS: readonly (readonly [number, string])[] = [
  [10_000, 'to-10k'],
  [50_000, 'to-50k'],
  [200_000, 'to-200k'],
];

function lengthLabel(promptTokens: number): string {
  const found = LENGTHS.find(([most]) => promptTokens <= most);
  return found?.[1] ?? 'over-200k';
}
