/** Waiting times on the path of a request, in milliseconds. */

export interface RequestTiming {
  /** Longest wait for the answer to an offer. @default 1000 */
  readonly offerTimeoutMs: number;
  /** Longest wait for the answer to an abandon. @default 1000 */
  readonly abandonTimeoutMs: number;
  /** Longest wait for one side's answer to a locate. @default 1000 */
  readonly locateTimeoutMs: number;
  /** Pause between beats on a run's channel. @default 1000 */
  readonly beatMs: number;
  /** A channel quiet for so long is taken as silent. @default 3000 */
  readonly silenceMs: number;
  /**
   * A new connection that a run is taken up on counts as silent when its first
   * word takes so long; over one beat of the side. @default 1500
   */
  readonly firstWordMs: number;
  /** New connections tried before a side counts as lost. @default 3 */
  readonly attachTries: number;
  /** Pause before a retry, doubled each time, with jitter. @default 50 */
  readonly retryPauseMs: number;
  /** Hold of a group's reservations while it gathers. @default 500 */
  readonly groupHoldMs: number;
  /** How long an ended request's answer is kept to resume. @default 30000 */
  readonly keepEndedMs: number;
}

export const DEFAULT_REQUEST_TIMING: RequestTiming = {
  offerTimeoutMs: 1_000,
  abandonTimeoutMs: 1_000,
  locateTimeoutMs: 1_000,
  beatMs: 1_000,
  silenceMs: 3_000,
  firstWordMs: 1_500,
  attachTries: 3,
  retryPauseMs: 50,
  groupHoldMs: 500,
  keepEndedMs: 30_000,
};
