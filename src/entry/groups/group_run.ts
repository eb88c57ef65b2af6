/**
 * Runs a request on a reserved group: the members hold memory, the lead gets
 * the prompt and gives the answer. Any member lost ends the run on all, at
 * once, since the lead cannot end without the memory that went.
 */
import type {RequestSpec} from '../../types/services.js';
import {createAnswerLog} from '../run/answer_log.js';
import {startAttempt} from '../run/attempt.js';
import type {Attempt, AttemptOutcome} from '../run/attempt.js';
import type {ReservedPart} from './group_reserve.js';
import {withdrawOffer} from '../routing/send_offer.js';
import type {OfferDeps} from '../routing/send_offer.js';
import type {OpenRequest} from '../open_request.js';

/** Resolves with the lead's outcome; all members are cancelled by then. */
export async function runGroup(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  parts: readonly ReservedPart[],
): Promise<AttemptOutcome> {
  const run = createGroupRun(deps, open, spec);
  for (const part of parts) run.own(part);
  const outcome = await run.go(parts);
  for (const part of parts) run.disown(part);
  return outcome;
}

function createGroupRun(deps: OfferDeps, open: OpenRequest, spec: RequestSpec) {
  const members: Attempt[] = [];
  let lead: Attempt | undefined;
  let lostMember: string | undefined;
  /** A member's word that the caller ended the request at another entry. */
  let cancelled: AttemptOutcome | undefined;
  let stopped = false;

  const tell = (kind: 'own' | 'disown', {offer}: ReservedPart) =>
    deps.tellMembership({
      kind,
      address: offer.ranked.target.replica.address,
      dispatchId: offer.dispatchId,
    });

  const start = (
    {part, offer}: ReservedPart,
    answer = open.answer,
    onStarted: () => void = () => undefined,
  ): Attempt => {
    const side = offer.ranked.target.replica.address;
    const body = part.lead ? spec.body : {pieces: [], bytes: 0};
    return startAttempt(deps, {
      side,
      dispatchId: offer.dispatchId,
      incarnation: offer.incarnation,
      organisation: spec.organisation,
      go: {body, call: undefined, deadlineAt: spec.deadlineAt},
      answer,
      onStarted,
      onEvidence: (what, incarnation) =>
        deps.tellMembership({
          kind: 'evidence',
          address: side,
          what,
          incarnation,
        }),
    });
  };

  const stopMembers = () => {
    for (const member of members) member.stop();
  };

  const letGo = () => {
    open.stopAttempt = undefined;
    open.attemptRan = undefined;
    stopMembers();
  };

  /** Resolves when the member holds its memory, or is lost. */
  const startMember = (reserved: ReservedPart): Promise<void> =>
    new Promise(resolve => {
      const {dispatchId} = reserved.offer;
      const nothing = createAnswerLog(dispatchId, 0, deps.invariant);
      const member = start(reserved, nothing, resolve);
      members.push(member);
      void member.outcome.then(outcome => {
        if (outcome.kind !== 'stopped') {
          lostMember = dispatchId;
          if (isCancelled(outcome)) cancelled = outcome;
          lead?.abandon(`group member ${dispatchId} lost`);
        }
        resolve();
      });
    });

  const holdAll = async (parts: readonly ReservedPart[]): Promise<boolean> => {
    const holding = Promise.all(
      parts.filter(one => !one.part.lead).map(startMember),
    ).then(() => true);
    const late = new Promise<boolean>(resolve =>
      deps.clock.after(deps.timing.groupHoldMs, () => resolve(false)),
    );
    return (await Promise.race([holding, late])) && lostMember === undefined;
  };

  const go = async (
    parts: readonly ReservedPart[],
  ): Promise<AttemptOutcome> => {
    const leading = parts.find(one => one.part.lead);
    if (leading === undefined) return {kind: 'stopped'};
    const {offer} = leading;
    open.side = offer.ranked.target.replica.address;
    open.dispatchId = offer.dispatchId;
    open.stopAttempt = () => {
      stopped = true;
      stopMembers();
      lead?.stop();
    };
    // The members hold no part of the prompt: until the lead's go is sent,
    // nothing has run.
    open.attemptRan = () => lead?.ran() ?? 'no';
    const held = await holdAll(parts);
    if (stopped) return {kind: 'stopped'};
    if (!held) {
      letGo();
      withdrawOffer(deps, offer);
      return (
        cancelled ?? {
          kind: 'lost',
          ran: 'no',
          reason: 'the group did not assemble',
        }
      );
    }
    open.answer.placed({
      kind: 'placed',
      dispatchId: offer.dispatchId,
      side: open.side,
    });
    lead = start(leading);
    const outcome = await lead.outcome;
    letGo();
    // Taken for a lost member, it would be run again for nobody.
    return cancelled ?? outcome;
  };

  return {
    go,
    own: (part: ReservedPart) => tell('own', part),
    disown: (part: ReservedPart) => {
      tell('disown', part);
      const {ranked, dispatchId} = part.offer;
      deps.router.attemptOver(ranked.target.replica.address, dispatchId);
    },
  };
}

function isCancelled(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'failed' && outcome.failed.code === 'cancelled';
}
