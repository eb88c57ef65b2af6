/** Times and bounds of the side process, each with its default. */

export interface SideTiming {
  /** Period of beats on channels and of the sweep. @default 1000 */
  readonly heartbeatMs: number;
  /** A channel that brought nothing for this long is closed. @default 3000 */
  readonly channelSilenceMs: number;
  /** A run whose owner is not heard for this long is ended. @default 10000 */
  readonly holdMs: number;
  /** An accepted offer without a go lapses after this. @default 1000 */
  readonly offerLapseMs: number;
  /** How long an id is remembered after its run is forgotten. @default 120000 */
  readonly tombstoneMs: number;
  /** How long an answer is kept after its end. @default 60000 */
  readonly retentionMs: number;
  /** Period of the comparison with the engine's list. @default 5000 */
  readonly auditMs: number;
  /** Period of asking the upstream for its report. @default 1000 */
  readonly reportMs: number;
  /** Without a report for this long the upstream is down. @default 5000 */
  readonly upstreamDownMs: number;
  /** Engine stream without any event for this long is broken. @default 3000 */
  readonly engineSilenceMs: number;
  /** The same before the first event, while the prompt is sent. @default 15000 */
  readonly firstEventTimeoutMs: number;
  /** First pause before a stream is taken up again; doubles. @default 100 */
  readonly resumeBackoffMs: number;
  /** Takings-up in a row without a new token. @default 5 */
  readonly maxResumes: number;
  /** Missing prompt frames may still come for this long. @default 1000 */
  readonly promptGapMs: number;
  /** A late call's place is kept for this long after its limit. @default 60000 */
  readonly lateCallMs: number;
  /** Period of asking for the fencing number until known. @default 2000 */
  readonly fenceRetryMs: number;
}

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

export interface SideBounds {
  /** Runs at once on the upstream. @default 64 */
  readonly maxRunning: number;
  /** Accepted runs that wait. @default 256 */
  readonly maxQueued: number;
  /** Prompt tokens of accepted runs that wait. @default 8000000 */
  readonly maxQueuedTokens: number;
  /** Ids remembered; at the bound new offers are refused. @default 50000 */
  readonly maxTombstones: number;
  /** Bytes of kept answers of ended runs. @default 33554432 */
  readonly retentionBytes: number;
}

export const DEFAULT_SIDE_BOUNDS: SideBounds = {
  maxRunning: 64,
  maxQueued: 256,
  maxQueuedTokens: 8_000_000,
  maxTombstones: 50_000,
  retentionBytes: 32 * 1024 * 1024,
};
