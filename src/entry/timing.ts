/** Timeouts and intervals of request handling, in milliseconds. */

export interface RequestTiming {
  /** Maximum time to wait for the answer to an offer. @default 1000 */
  readonly offerTimeoutMs: number;
  /** Maximum time to wait for the answer to an abandon call. @default 1000 */
  readonly abandonTimeoutMs: number;
  /**
   * Maximum time to wait for one side's answer to a locate call. @default 1000
   */
  readonly locateTimeoutMs: number;
  /** Interval between heartbeats on a run's channel. @default 1000 */
  readonly heartbeatMs: number;
  /**
   * A channel without any frame for this long counts as silent and is replaced.
   * @default 3000
   */
  readonly silenceTimeoutMs: number;
  /**
   * A new connection to a run that is already under way counts as silent when
   * its first frame takes longer than this. Must be longer than the side's
   * heartbeat interval. @default 1500
   */
  readonly firstFrameTimeoutMs: number;
  /**
   * Connections opened in a row to replace a failed one before the side counts
   * as lost. @default 3
   */
  readonly maxReconnects: number;
  /**
   * Delay before the first retry. It doubles with each retry and is jittered.
   * @default 50
   */
  readonly retryBackoffMs: number;
  /**
   * Time within which all members of a group must be reserved, and then must
   * start. @default 500
   */
  readonly groupHoldMs: number;
  /**
   * How long an ended request's answer is kept for callers that resume it.
   * @default 30000
   */
  readonly endedRetentionMs: number;
}

export const DEFAULT_REQUEST_TIMING: RequestTiming = {
  offerTimeoutMs: 1_000,
  abandonTimeoutMs: 1_000,
  locateTimeoutMs: 1_000,
  heartbeatMs: 1_000,
  silenceTimeoutMs: 3_000,
  firstFrameTimeoutMs: 1_500,
  maxReconnects: 3,
  retryBackoffMs: 50,
  groupHoldMs: 500,
  endedRetentionMs: 30_000,
};
