/**
 * Reserves all engines of a group, or none. Every entry reserves in the same
 * global order, by address, in which `planGroup` sorts the parts. It holds
 * reservations only for a short time. Two groups that need the same engines
 * therefore compete for the first of them. A group that is refused there
 * releases what it holds and tries again later. Neither group waits for the
 * other while it holds an engine that the other needs.
 */
import type {ErrorDetails} from '../../types/errors.js';
import type {RequestSpec} from '../../types/services.js';
import {requiredTokens, planGroup} from './group_plan.js';
import type {GroupPart, GroupPlan} from './group_plan.js';
import {sendOffer, withdrawOffer} from '../routing/send_offer.js';
import type {AcceptedOffer, OfferDeps} from '../routing/send_offer.js';
import {isFinished} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {RETRY_AFTER_MS, refusalError} from '../routing/refusals.js';
import type {Refusal} from '../routing/refusals.js';

/** A part of a group, with the accepted offer that reserves it. */
export interface ReservedPart {
  readonly part: GroupPart;
  readonly offer: AcceptedOffer;
}

export type ReserveGroupResult =
  | {readonly kind: 'reserved'; readonly parts: readonly ReservedPart[]}
  /** Not reserved; `details` is the failure to report. */
  | {readonly kind: 'none'; readonly details: ErrorDetails}
  /** The request has finished meanwhile. Nothing is reserved. */
  | {readonly kind: 'over'};

/**
 * Maximum delay between two attempts to reserve the group, in milliseconds,
 * before jitter.
 */
const MAX_BACKOFF_MS = 2_000;

/**
 * Retries until one of these is the case: the whole group is reserved; no group
 * can be planned; the request has finished; the next pause and the predicted
 * time to the first token would reach the deadline. `rank` returns fresh
 * candidates for each attempt.
 */
export async function reserveGroup(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  rank: () => Parameters<typeof planGroup>[1],
): Promise<ReserveGroupResult> {
  const startedAt = deps.clock.now();
  for (let failedAttempts = 0; ; failedAttempts++) {
    const ranked = rank();
    const plan = planGroup(spec, ranked);
    if (plan.kind !== 'group') {
      return reservationFailure(
        spec,
        plan,
        deps.router.hasUnavailableReplica(spec),
      );
    }
    deps.router.recordGroupDecision(
      spec,
      open.lastAttempt + 1,
      plan.parts,
      ranked,
    );
    const waitedMs = deps.clock.now() - startedAt;
    const outcome = await reserveOnce(deps, open, spec, plan.parts, waitedMs);
    if (isFinished(open)) {
      if (outcome.kind === 'reserved') withdrawParts(deps, outcome.parts);
      return {kind: 'over'};
    }
    if (outcome.kind === 'reserved') return outcome;
    // The smallest of the times that are predicted for the parts.
    const firstTokenMs = Math.min(
      ...plan.parts.map(part => part.ranked.predictedFirstTokenMs),
    );
    const pauseMs = backoffMs(deps, failedAttempts);
    if (deps.clock.now() + pauseMs + firstTokenMs >= spec.deadlineAt) {
      return outcome;
    }
    await new Promise<void>(resolve => deps.clock.after(pauseMs, resolve));
    if (isFinished(open)) return {kind: 'over'};
  }
}

/** Releases the reservations of all the parts. */
export function withdrawParts(
  deps: OfferDeps,
  parts: readonly ReservedPart[],
): void {
  for (const {offer} of parts) withdrawOffer(deps, offer);
}

/**
 * Makes one attempt to reserve all parts. Releases them if one is refused, if
 * the attempt takes longer than `groupHoldMs`, or if the request has finished.
 */
async function reserveOnce(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  parts: readonly GroupPart[],
  waitedMs: number,
): Promise<Exclude<ReserveGroupResult, {kind: 'over'}>> {
  const reserved: ReservedPart[] = [];
  const reserveBy = deps.clock.now() + deps.timing.groupHoldMs;
  for (const part of parts) {
    const answer = await sendOffer(deps, open, spec, {
      candidate: part.ranked,
      incarnation: part.ranked.target.replica.incarnation,
      priority: agedPriority(spec, waitedMs),
      group: {
        lead: part.isLead,
        size: parts.length,
        holdTokens: part.holdTokens,
      },
    });
    if (answer.kind === 'accepted') reserved.push({part, offer: answer});
    // Memory that is reserved for an incomplete group serves no other request.
    // If the group can't be reserved at once, its reservations are released,
    // and `reserveGroup` tries again later.
    const isLate = deps.clock.now() > reserveBy;
    if (answer.kind === 'refused' || isLate || isFinished(open)) {
      withdrawParts(deps, reserved);
      return {kind: 'none', details: refusalError(refusalsOf(answer))};
    }
  }
  return {kind: 'reserved', parts: reserved};
}

/**
 * The refusals to report. An accepted offer that came too late, or after the
 * request had finished, counts as `full`.
 */
function refusalsOf(
  answer: AcceptedOffer | ({kind: 'refused'} & Refusal),
): readonly Refusal[] {
  if (answer.kind === 'refused') return [answer];
  const side = answer.ranked.target.replica.address;
  return [{side, reason: 'full', retryAfterMs: 0}];
}

/**
 * Makes a group more urgent the longer it waits, so that short requests cannot
 * starve it. Lower numbers are more urgent. The group gains one level for each
 * `ageingMs` that it has waited in `reserveGroup`.
 */
function agedPriority(spec: RequestSpec, waitedMs: number): number {
  const {ageingMs} = spec.config.declarations.policy;
  const levels = ageingMs > 0 ? Math.floor(waitedMs / ageingMs) : 0;
  return Math.max(0, spec.priority - levels);
}

/** Jittered delay before the next attempt, in milliseconds. */
function backoffMs(deps: OfferDeps, failedAttempts: number): number {
  const exponentialMs =
    deps.timing.retryBackoffMs * 2 ** Math.min(failedAttempts, 10);
  return Math.min(MAX_BACKOFF_MS, exponentialMs) * (0.5 + deps.random.next());
}

/**
 * The failure when `planGroup` plans no group: one engine suffices or may
 * suffice (`single`), or the known engines together are too small.
 */
function reservationFailure(
  spec: RequestSpec,
  plan: Exclude<GroupPlan, {kind: 'group'}>,
  hasUnavailableReplica: boolean,
): ReserveGroupResult {
  if (plan.kind === 'single') return {kind: 'none', details: refusalError([])};
  const message =
    `needs memory for ${requiredTokens(spec)} tokens; ` +
    `the engines in reach have ${plan.haveTokens}`;
  return {
    kind: 'none',
    details: hasUnavailableReplica
      ? {
          code: 'no-upstream',
          step: 'route',
          message: `${message}, and some are away`,
          retryAfterMs: RETRY_AFTER_MS,
        }
      : {code: 'too-large', step: 'route', message},
  };
}
