/** Waiting times on the path of a request, in milliseconds. */

export interface RequestTiming {
  /** Longest wait for the answer to an offer. @default 1000 */
  readonly offerTimeoutMs: number;
  /** Longest wait for the answer to an abandon. @default 1000 */
  readonly abandonTimeoutMs: number;
  /** Longest wait for one side's answer to a locate. @default 1000 */
  readonly locateTimeoutMs: number;
  /** Pause between beats on a run's channel. @default 1000 */
  readonly heartbeatMs: number;
  /** A channel quiet for so long is taken as silent. @default 3000 */
  readonly silenceTimeoutMs: number;
  /**
   * A new connection that a run is taken up on counts as silent when its first
   * word takes so long; over one beat of the side. @default 1500
   */
  readonly firstFrameTimeoutMs: number;
  /** New connections tried before a side counts as lost. @default 3 */
  readonly maxReconnects: number;
  /** Pause before a retry, doubled each time, with jitter. @default 50 */
  readonly retryBackoffMs: number;
  /** Hold of a group's reservations while it gathers. @default 500 */
  readonly groupHoldMs: number;
  /** How long an ended request's answer is kept to resume. @default 30000 */
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
