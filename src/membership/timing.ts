/** Periods and waiting times of the membership, in milliseconds. */

export interface MembershipTiming {
  /** Pause between polls of the host list, with a fifth of jitter. @default 2000 */
  readonly hostListPollMs: number;
  /** Pause between heartbeats to one peer, with a tenth of jitter. @default 1000 */
  readonly heartbeatMs: number;
  /** Longest wait for the answer to a heartbeat. @default 1000 */
  readonly heartbeatTimeoutMs: number;
  /** A peer without an answer for so long is suspect. @default 3000 */
  readonly suspectAfterMs: number;
  /** A peer suspect for so long gives its place to another. @default 15000 */
  readonly replaceAfterMs: number;
  /** A timer of this process this late means that it was paused. @default 1000 */
  readonly pausedAfterMs: number;
}

export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  hostListPollMs: 2_000,
  heartbeatMs: 1_000,
  heartbeatTimeoutMs: 1_000,
  suspectAfterMs: 3_000,
  replaceAfterMs: 15_000,
  pausedAfterMs: 1_000,
};
