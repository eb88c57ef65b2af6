/**
 * Expected loss of a caller that waits, as a share of its request's weight. Most
 * of the loss comes when the latency objective is missed, and the rest when the
 * caller gives up. A loss in one step has two faults under load. Further delay of
 * a late request would cost nothing, so others would be placed before it until
 * its caller gives up. A slightly late request would count as much as a lost one.
 */
import {minCallerTimeoutMs} from './caller_timeout.js';

/**
 * Loss when the latency objective is missed. A late answer is worth about a
 * quarter. The loss is higher than three quarters because predicted times are
 * too short under bursts.
 */
const LATE_LOSS = 0.85;
/** A first event is at risk if its slack is below this share of its bound. */
const MARGIN_SHARE = 0.25;
/** A pause is at risk of being late from this share of the pause objective on. */
const PAUSE_RISK_START = 0.85;
/**
 * A pause is at risk of exceeding the caller's timeout from this share of it on.
 * The share is lower, since the timeout is further from the predicted pause.
 */
const TIMEOUT_RISK_START = 0.7;

/** Bounds on a request's first event, counted from the request's arrival. */
export interface FirstEventBounds {
  /** Latency objective, in milliseconds. */
  readonly aimMs: number;
  /** Time after which the caller gives up, in milliseconds. */
  readonly callerTimeoutMs: number;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}

/** Expected loss if the first event is predicted `firstEventMs` from now. */
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

/** Expected loss of a stream by one pause of `pauseMs`. */
export function pauseLoss(pauseMs: number, pauseAimMs: number): number {
  return combinedLoss(
    ratioRisk(pauseMs / pauseAimMs, PAUSE_RISK_START),
    ratioRisk(pauseMs / minCallerTimeoutMs(pauseAimMs), TIMEOUT_RISK_START),
  );
}

/** Slack below which a first event may miss its objective, in milliseconds. */
export function aimMarginMs(aimMs: number): number {
  return aimMs * MARGIN_SHARE;
}

/** Probability of being late: 0 from the whole margin up, 1 without slack. */
export function slackRisk(slackMs: number, marginMs: number): number {
  return clamp(1 - slackMs / Math.max(1, marginMs));
}

/** Probability of exceeding a bound: 0 up to `start` of it, 1 from the bound. */
function ratioRisk(ratio: number, start: number): number {
  return clamp((ratio - start) / (1 - start));
}

/** Loss from the probabilities of being late and of losing the caller. */
function combinedLoss(lateRisk: number, timeoutRisk: number): number {
  return LATE_LOSS * lateRisk + (1 - LATE_LOSS) * timeoutRisk;
}

function clamp(value: number): number {
  return Math.min(1, Math.max(0, value));
}
