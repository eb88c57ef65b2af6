/**
 * Runs a request on a reserved group. The members hold memory; the lead
 * receives the prompt and produces the answer. When any member is lost, the run
 * ends at once on all of them, because the lead cannot finish without that
 * member's memory.
 */
import type {RequestSpec} from '../../types/services.js';
import {createAnswerLog} from '../run/answer_log.js';
import {startAttempt} from '../run/attempt.js';
import type {Attempt, AttemptOutcome} from '../run/attempt.js';
import {reportEvidence} from '../run/run_attempt.js';
import type {ReservedPart} from './group_reserve.js';
import {withdrawOffer} from '../routing/send_offer.js';
import type {OfferDeps} from '../routing/send_offer.js';
import type {OpenRequest} from '../open_request.js';

/** Resolves with the lead's outcome, after all members were cancelled. */
export async function runGroup(
  deps: OfferDeps,
  open: OpenRequest,
  spec: RequestSpec,
  parts: readonly ReservedPart[],
): Promise<AttemptOutcome> {
  const run = createGroupRun(deps, open, spec);
  for (const part of parts) run.own(part);
  const outcome = await run.execute(parts);
  for (const part of parts) run.disown(part);
  return outcome;
}

function createGroupRun(deps: OfferDeps, open: OpenRequest, spec: RequestSpec) {
  const members: Attempt[] = [];
  let lead: Attempt | undefined;
  let lostMember: string | undefined;
  /**
   * Set when a member reports that the caller cancelled the request at another
   * entry.
   */
  let cancelledOutcome: AttemptOutcome | undefined;
  let stopped = false;

  const reportOwnership = (kind: 'own' | 'disown', {offer}: ReservedPart) =>
    deps.sendToMembership({
      kind,
      address: offer.ranked.target.replica.address,
      dispatchId: offer.dispatchId,
    });

  const startPart = (
    {part, offer}: ReservedPart,
    answerLog = open.answerLog,
    onStarted: () => void = () => undefined,
  ): Attempt => {
    const side = offer.ranked.target.replica.address;
    const body = part.isLead ? spec.body : {pieces: [], bytes: 0};
    return startAttempt(deps, {
      side,
      dispatchId: offer.dispatchId,
      incarnation: offer.incarnation,
      organisation: spec.organisation,
      go: {body, call: undefined, deadlineAt: spec.deadlineAt},
      answerLog,
      onStarted,
      onEvidence: reportEvidence(deps, side),
    });
  };

  const stopMembers = () => {
    for (const member of members) member.stop();
  };

  const releaseMembers = () => {
    open.stopCurrentAttempt = undefined;
    open.currentAttemptRan = undefined;
    stopMembers();
  };

  /** Resolves when the member holds its memory or is lost. */
  const startMember = (reserved: ReservedPart): Promise<void> =>
    new Promise(resolve => {
      const {dispatchId} = reserved.offer;
      const emptyLog = createAnswerLog(dispatchId, 0, deps.invariant);
      const member = startPart(reserved, emptyLog, resolve);
      members.push(member);
      void member.outcome.then(outcome => {
        if (outcome.kind !== 'stopped') {
          lostMember = dispatchId;
          if (isCancelled(outcome)) cancelledOutcome = outcome;
          lead?.abandon(`group member ${dispatchId} lost`);
        }
        resolve();
      });
    });

  const startMembers = async (
    parts: readonly ReservedPart[],
  ): Promise<boolean> => {
    const holding = Promise.all(
      parts.filter(one => !one.part.isLead).map(startMember),
    ).then(() => true);
    const timeout = new Promise<boolean>(resolve =>
      deps.clock.after(deps.timing.groupHoldMs, () => resolve(false)),
    );
    return (await Promise.race([holding, timeout])) && lostMember === undefined;
  };

  const execute = async (
    parts: readonly ReservedPart[],
  ): Promise<AttemptOutcome> => {
    const leadPart = parts.find(one => one.part.isLead);
    if (leadPart === undefined) return {kind: 'stopped'};
    const {offer} = leadPart;
    open.side = offer.ranked.target.replica.address;
    open.dispatchId = offer.dispatchId;
    open.stopCurrentAttempt = () => {
      stopped = true;
      stopMembers();
      lead?.stop();
    };
    // Members hold no part of the prompt. Nothing has run until the lead's go
    // is sent.
    open.currentAttemptRan = () => lead?.ran() ?? 'no';
    const allHold = await startMembers(parts);
    if (stopped) return {kind: 'stopped'};
    if (!allHold) {
      releaseMembers();
      withdrawOffer(deps, offer);
      return (
        cancelledOutcome ?? {
          kind: 'lost',
          ran: 'no',
          reason: 'the group did not assemble',
        }
      );
    }
    open.answerLog.setPlacement({
      kind: 'placed',
      dispatchId: offer.dispatchId,
      side: open.side,
    });
    lead = startPart(leadPart);
    const outcome = await lead.outcome;
    releaseMembers();
    // Treated as the loss of a member, a cancelled request would be run again.
    return cancelledOutcome ?? outcome;
  };

  return {
    execute,
    own: (part: ReservedPart) => reportOwnership('own', part),
    disown: (part: ReservedPart) => {
      reportOwnership('disown', part);
      const {ranked, dispatchId} = part.offer;
      deps.router.endAssignment(ranked.target.replica.address, dispatchId);
    },
  };
}

function isCancelled(outcome: AttemptOutcome): boolean {
  return outcome.kind === 'failed' && outcome.failed.code === 'cancelled';
}
