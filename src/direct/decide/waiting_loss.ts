/**
 * What a caller loses by waiting, as a share of what its request is worth: most
 * of it once the aim is missed, the rest once it leaves. One step alone has two
 * faults under load. A request that is late already would cost nothing more,
 * and be passed by others until its caller leaves; and one that is a little
 * late would count as much as one that is lost.
 */
import {minCallerTimeoutMs} from './caller_timeout.js';

/**
 * Lost with the aim. An answer that comes late is worth about a quarter; the
 * loss is taken as higher, since predictions run short under bursts.
 */
const LATE_SHARE = 0.85;
/** A first event is at risk with less slack than this share of its bound. */
const MARGIN_SHARE = 0.25;
/** A pause is at risk of being late from this share of its aim on. */
const PAUSE_RISK_FROM = 0.85;
/** The same of leaving, which stands further from the prediction. */
const LEAVING_RISK_FROM = 0.7;

/** When a request's first event should come, and when its caller leaves. */
export interface FirstEventBounds {
  readonly aimMs: number;
  readonly callerTimeoutMs: number;
  /** Time that has passed since the request came. */
  readonly elapsedMs: number;
}

/** Expected loss if the first event comes in so many milliseconds. */
export function firstEventLoss(
  {aimMs, callerTimeoutMs: patienceMs, elapsedMs}: FirstEventBounds,
  firstEventMs: number,
): number {
  const atMs = elapsedMs + firstEventMs;
  return twoSteps(
    slackRisk(aimMs - atMs, aimMarginMs(aimMs)),
    slackRisk(patienceMs - atMs, MARGIN_SHARE * patienceMs),
  );
}

/** Expected loss of a stream by one pause of this length. */
export function pauseLoss(pauseMs: number, pauseAimMs: number): number {
  return twoSteps(
    shareRisk(pauseMs / pauseAimMs, PAUSE_RISK_FROM),
    shareRisk(pauseMs / minCallerTimeoutMs(pauseAimMs), LEAVING_RISK_FROM),
  );
}

/** Slack below which a first event may miss its aim, in milliseconds. */
export function aimMarginMs(aimMs: number): number {
  return aimMs * MARGIN_SHARE;
}

/** Chance of being late: none with the whole margin left, sure without any. */
export function slackRisk(slackMs: number, marginMs: number): number {
  return clamp(1 - slackMs / Math.max(1, marginMs));
}

function shareRisk(share: number, from: number): number {
  return clamp((share - from) / (1 - from));
}

function twoSteps(late: number, left: number): number {
  return LATE_SHARE * late + (1 - LATE_SHARE) * left;
}

function clamp(value: number): number {
  return Math.min(1, Math.max(0, value));
}
