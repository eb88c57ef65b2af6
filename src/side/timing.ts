/** Timeouts, periods and limits of the side process, with their defaults. */

/** Times in milliseconds, and the number of resumes. */
export interface SideTiming {
  /** Period of heartbeats on channels and of sweeps. @default 1000 */
  readonly heartbeatMs: number;
  /** A channel without any frame for this long is closed. @default 3000 */
  readonly channelSilenceMs: number;
  /** A run whose owner is silent for this long is cancelled. @default 10000 */
  readonly holdMs: number;
  /** An accepted offer without a go lapses after this time. @default 1000 */
  readonly offerLapseMs: number;
  /** How long a tombstone is kept after it was recorded. @default 120000 */
  readonly tombstoneMs: number;
  /** How long a finished run and its answer are kept. @default 60000 */
  readonly retentionMs: number;
  /** Period of audits against the engine's list of runs. @default 5000 */
  readonly auditMs: number;
  /** Period of requests for the upstream's load report. @default 1000 */
  readonly reportMs: number;
  /** Without a report for this long the upstream is down. @default 5000 */
  readonly upstreamDownMs: number;
  /** An engine stream without an event for this long is broken. @default 3000 */
  readonly engineSilenceMs: number;
  /** As above, before the first event, while the prompt is sent. @default 15000 */
  readonly firstEventTimeoutMs: number;
  /** First delay before a stream is resumed; doubles each time. @default 100 */
  readonly resumeBackoffMs: number;
  /** A run fails after this many resumes without a new token. @default 5 */
  readonly maxResumes: number;
  /** How long missing frames may arrive after the prompt's end. @default 1000 */
  readonly promptGapMs: number;
  /** A late call keeps its slot this long after its time limit. @default 60000 */
  readonly lateCallMs: number;
  /** Delay before a failed read of the fencing number repeats. @default 2000 */
  readonly fenceRetryMs: number;
}

/** Defaults of `SideTiming`. */
export const DEFAULT_SIDE_TIMING: SideTiming = {
  heartbeatMs: 1_000,
  channelSilenceMs: 3_000,
  holdMs: 10_000,
  offerLapseMs: 1_000,
  tombstoneMs: 120_000,
  retentionMs: 60_000,
  auditMs: 5_000,
  reportMs: 1_000,
  upstreamDownMs: 5_000,
  engineSilenceMs: 3_000,
  firstEventTimeoutMs: 15_000,
  resumeBackoffMs: 100,
  maxResumes: 5,
  promptGapMs: 1_000,
  lateCallMs: 60_000,
  fenceRetryMs: 2_000,
};

/** Limits of what the side keeps and runs. */
export interface SideBounds {
  /** Concurrent runs on the upstream; further runs wait. @default 64 */
  readonly maxRunning: number;
  /** Waiting runs; at the limit, offers are refused. @default 256 */
  readonly maxQueued: number;
  /**
   * Prompt tokens of waiting runs; an offer that would exceed the limit is
   * refused unless no run waits. @default 8000000
   */
  readonly maxQueuedTokens: number;
  /** Tombstones; at the limit, offers are refused. @default 50000 */
  readonly maxTombstones: number;
  /**
   * Bytes of answers of finished runs; above the limit, the oldest are removed.
   * @default 33554432
   */
  readonly retentionBytes: number;
}

/** Defaults of `SideBounds`. */
export const DEFAULT_SIDE_BOUNDS: SideBounds = {
  maxRunning: 64,
  maxQueued: 256,
  maxQueuedTokens: 8_000_000,
  maxTombstones: 50_000,
  retentionBytes: 32 * 1024 * 1024,
};
