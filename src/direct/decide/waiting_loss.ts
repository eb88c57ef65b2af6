/**
 * Estimates the cost of waiting: the share of a request's weight that is likely
 * to be lost because an event is late. Most of the weight is lost when the
 * latency objective is missed, and the rest when the caller gives up.
 *
 * The loss rises gradually before each of these two bounds. A single step at
 * the latency objective would have two faults under load. Further delay of a
 * late request would cost nothing, so other requests would be given preference
 * over it until its caller gives up. A slightly late request would count as
 * much as a lost one.
 */
import {minCallerTimeoutMs} from './caller_timeout.js';

/**
 * Loss when the latency objective is missed, as a share of the request's weight.
 * A late answer keeps about a quarter of its worth, which would make the loss
 * 0.75. The loss is higher because predicted times are too short under bursts.
 */
const LATE_LOSS = 0.85;
/**
 * Share of a bound on the first event, which is either the latency objective or
 * the caller's timeout. The event is at risk of exceeding the bound if its
 * slack is below this share of the bound. Its slack is the time from its
 * predicted arrival to the bound.
 */
const MARGIN_SHARE = 0.25;
/** A pause is at risk of being too long from this share of its objective on. */
const PAUSE_RISK_START = 0.85;
/**
 * A pause is at risk of exceeding the caller's timeout from this share of the
 * timeout on. The share is lower than `PAUSE_RISK_START`, so that the risk
 * counts long before the caller gives up. The timeout is several times the
 * pause objective, so it is further from the predicted pause.
 */
const TIMEOUT_RISK_START = 0.7;

/**
 * Two bounds on a request's first event, counted from the request's arrival,
 * and the time that has passed since then.
 */
export interface FirstEventBounds {
  /** Latency objective, in milliseconds. */
  readonly aimMs: number;
  /** Time after which the caller gives up; see `callerTimeoutMs`. */
  readonly callerTimeoutMs: number;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}

/**
 * Expected loss if the first event is predicted to arrive `firstEventMs`
 * milliseconds from now.
 */
export function firstEventLoss(
  {aimMs, callerTimeoutMs, elapsedMs}: FirstEventBounds,
  firstEventMs: number,
): number {
  const firstEventAtMs = elapsedMs + firstEventMs;
  return combinedLoss(
    slackRisk(aimMs - firstEventAtMs, aimMarginMs(aimMs)),
    slackRisk(callerTimeoutMs - firstEventAtMs, MARGIN_SHARE * callerTimeoutMs),
  );
}

/**
 * Expected loss of a stream by one predicted pause of `pauseMs` milliseconds. The
 * latency objective of the stream is not known here, so the lower bound of the
 * caller's timeout is used.
 */
export function pauseLoss(pauseMs: number, pauseAimMs: number): number {
  return combinedLoss(
    ratioRisk(pauseMs / pauseAimMs, PAUSE_RISK_START),
    ratioRisk(pauseMs / minCallerTimeoutMs(pauseAimMs), TIMEOUT_RISK_START),
  );
}

/**
 * Slack below which a first event may miss its latency objective, in
 * milliseconds.
 */
export function aimMarginMs(aimMs: number): number {
  return aimMs * MARGIN_SHARE;
}

/**
 * Estimated probability of exceeding a bound: 0 if the slack is at least the
 * margin, 1 if there is no slack, and linear in between.
 */
export function slackRisk(slackMs: number, marginMs: number): number {
  return clamp(1 - slackMs / Math.max(1, marginMs));
}

/**
 * Estimated probability of exceeding a bound. `ratio` is the predicted time
 * divided by the bound: 0 up to `start`, 1 from a ratio of 1 on, and linear in
 * between.
 */
function ratioRisk(ratio: number, start: number): number {
  return clamp((ratio - start) / (1 - start));
}

/**
 * Loss from the probabilities that the objective is missed and that the caller
 * gives up.
 */
function combinedLoss(lateRisk: number, timeoutRisk: number): number {
  return LATE_LOSS * lateRisk + (1 - LATE_LOSS) * timeoutRisk;
}

function clamp(value: number): number {
  return Math.min(1, Math.max(0, value));
}
