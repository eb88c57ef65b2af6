/** What of a stream its caller has, and how its latency is counted. */
import type {Metrics} from '../types/runtime.js';
import type {Exchange} from './exchange.js';

export interface StreamProgress {
  /** Number of the last event that the caller has. */
  lastId: number | undefined;
  events: number;
  lastEventAt: number;
  firstEventMs: number;
  longestPauseMs: number;
}

/** A caller that resumes a stream says which event it has last. */
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

/** Whether the caller has an event of this number already. */
export function hasEvent(
  {lastId}: StreamProgress,
  id: number | undefined,
): boolean {
  return id !== undefined && lastId !== undefined && id <= lastId;
}

/** Enters an event that goes to the caller now. */
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

/** Bounds of the lengths by which latency is shown, in prompt tokens. */
const LENGTHS: readonly (readonly [number, string])[] = [
  [10_000, 'to-10k'],
  [50_000, 'to-50k'],
  [200_000, 'to-200k'],
];

function lengthLabel(promptTokens: number): string {
  const found = LENGTHS.find(([most]) => promptTokens <= most);
  return found?.[1] ?? 'over-200k';
}
