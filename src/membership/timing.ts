/** Periods and timeouts of the membership service, in milliseconds. */

/** Timing of host list polls, heartbeats and suspicion. */
export interface MembershipTiming {
  /** Pause between polls of the host list, with 20% jitter. @default 2000 */
  readonly hostListPollMs: number;
  /** Pause between heartbeats to one peer, with 10% jitter. @default 1000 */
  readonly heartbeatMs: number;
  /** Timeout of a heartbeat. @default 1000 */
  readonly heartbeatTimeoutMs: number;
  /** A peer that has not answered for longer is suspect. @default 3000 */
  readonly suspectAfterMs: number;
  /**
   * When a peer has been suspect for longer, another one is followed as well.
   * @default 15000
   */
  readonly replaceAfterMs: number;
  /**
   * When a timer of this process is late by more, the process was paused, and
   * the silence of its peers is not counted. @default 1000
   */
  readonly pausedAfterMs: number;
}

/** Timing of a deployment that sets nothing else. */
export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  hostListPollMs: 2_000,
  heartbeatMs: 1_000,
  heartbeatTimeoutMs: 1_000,
  suspectAfterMs: 3_000,
  replaceAfterMs: 15_000,
  pausedAfterMs: 1_000,
};
