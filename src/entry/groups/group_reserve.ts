/**
 * Reserves the engines of a group, all or nothing. Every entry reserves in the
 * same global order, by address, and holds for a short time only: two groups
 * that want the same engines meet at the first of them, so neither waits for
 * the other while holding what the other needs.
 */
import type {ErrorDetails} from '../../types/errors.js';
import type {RequestSpec} from '../../types/services.js';
import {memoryOf, planGroup} from './group_plan.js';
import type {GroupPart, GroupPlan} from './group_plan.js';
import {sendOffer, withdrawOffer} from '../routing/send_offer.js';
import type {AcceptedOffer, OfferDeps} from '../routing/send_offer.js';
import {isOver} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {RETRY_AFTER_MS, refusedBy} from '../routing/refusals.js';
import type {Refusal} from '../routing/refusals.js';

export interface ReservedPart {
  readonly part: GroupPart;
  readonly offer: AcceptedOffer;
}

export type GroupOutcome =
  | {readonly kind: 'reserved'; readonly parts: readonly ReservedPart[]}
  | {readonly kind: 'none'; readonly details: ErrorDetails}
  | {readonly kind: 'over'};

/** Longest pause between two tries to gather the group. */
const LONGEST_PAUSE_MS = 2_000;

/**
 * Tries until the group is whole or the time left is too short to run it.
 * `rank` gives the candidates anew for each try.
 */
export async function reserveGroup(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  rank: () => Parameters<typeof planGroup>[1],
): Promise<GroupOutcome> {
  const startedAt = deps.clock.now();
  for (let tries = 0; ; tries++) {
    const ranked = rank();
    const plan = planGroup(spec, ranked);
    if (plan.kind !== 'group') {
      return cannotGather(spec, plan, deps.router.someAway(spec));
    }
    deps.router.decidedGroup(spec, open.attempts + 1, plan.parts, ranked);
    const waitedMs = deps.clock.now() - startedAt;
    const outcome = await tryOnce(deps, open, spec, plan.parts, waitedMs);
    if (isOver(open)) {
      if (outcome.kind === 'reserved') releaseParts(deps, outcome.parts);
      return {kind: 'over'};
    }
    if (outcome.kind === 'reserved') return outcome;
    const neededMs = Math.min(
      ...plan.parts.map(part => part.ranked.predictedFirstTokenMs),
    );
    const pauseMs = pauseOf(deps, tries);
    if (deps.clock.now() + pauseMs + neededMs >= spec.deadlineAt) {
      return outcome;
    }
    await new Promise<void>(resolve => deps.clock.after(pauseMs, resolve));
    if (isOver(open)) return {kind: 'over'};
  }
}

export function releaseParts(
  deps: OfferDeps,
  parts: readonly ReservedPart[],
): void {
  for (const {offer} of parts) withdrawOffer(deps, offer);
}

async function tryOnce(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  parts: readonly GroupPart[],
  waitedMs: number,
): Promise<Exclude<GroupOutcome, {kind: 'over'}>> {
  const reserved: ReservedPart[] = [];
  const until = deps.clock.now() + deps.timing.groupHoldMs;
  for (const part of parts) {
    const answer = await sendOffer(deps, open, spec, {
      candidate: part.ranked,
      incarnation: part.ranked.target.replica.incarnation,
      priority: agedPriority(spec, waitedMs),
      group: {
        lead: part.lead,
        size: parts.length,
        holdTokens: part.holdTokens,
      },
    });
    if (answer.kind === 'accepted') reserved.push({part, offer: answer});
    // Held memory is idle memory: a group that does not come together at once
    // gives it back and tries again later.
    const late = deps.clock.now() > until;
    if (answer.kind === 'refused' || late || isOver(open)) {
      releaseParts(deps, reserved);
      return {kind: 'none', details: refusedBy(refusalsOf(answer))};
    }
  }
  return {kind: 'reserved', parts: reserved};
}

function refusalsOf(
  answer: AcceptedOffer | ({kind: 'refused'} & Refusal),
): readonly Refusal[] {
  if (answer.kind === 'refused') return [answer];
  const side = answer.ranked.target.replica.address;
  return [{side, reason: 'full', retryAfterMs: 0}];
}

/** A group that waits grows more urgent, so that short work cannot starve it. */
function agedPriority(spec: RequestSpec, waitedMs: number): number {
  const {ageingMs} = spec.config.declarations.policy;
  const lifted = ageingMs > 0 ? Math.floor(waitedMs / ageingMs) : 0;
  return Math.max(0, spec.priority - lifted);
}

function pauseOf(deps: OfferDeps, tries: number): number {
  const grown = deps.timing.retryPauseMs * 2 ** Math.min(tries, 10);
  return Math.min(LONGEST_PAUSE_MS, grown) * (0.5 + deps.random.next());
}

function cannotGather(
  spec: RequestSpec,
  plan: Exclude<GroupPlan, {kind: 'group'}>,
  someAway: boolean,
): GroupOutcome {
  if (plan.kind === 'single') return {kind: 'none', details: refusedBy([])};
  const message =
    `needs memory for ${memoryOf(spec)} tokens; ` +
    `the engines in reach have ${plan.haveTokens}`;
  return {
    kind: 'none',
    details: someAway
      ? {
          code: 'no-upstream',
          step: 'route',
          message: `${message}, and some are away`,
          retryAfterMs: RETRY_AFTER_MS,
        }
      : {code: 'too-large', step: 'route', message},
  };
}
