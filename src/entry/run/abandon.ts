/**
 * Asks a side to give up a dispatch. The side writes a tombstone for the id
 * before it answers `never-started`. That answer therefore proves that no late
 * copy of the offer or the go will run. No other outcome proves it.
 */
import type {Ran} from '../../types/errors.js';
import type {
  Address,
  DispatchId,
  Incarnation,
  NodeId,
  OrganisationId,
} from '../../types/ids.js';
import type {Log} from '../../types/runtime.js';
import type {Transport} from '../../types/transport.js';
import {REQUEST_EVENTS} from '../../utils/events.js';
import type {RequestTiming} from '../timing.js';

/** The dispatch to abandon. */
export interface AbandonTarget {
  readonly side: Address;
  readonly dispatchId: DispatchId;
  readonly incarnation: Incarnation;
  /** As in `AbandonReq`. */
  readonly organisation?: OrganisationId;
}

/** The result of an abandon call. */
export interface AbandonOutcome {
  readonly ran: Ran;
  /** True when the side answered, whatever the answer. */
  readonly answered: boolean;
  /** Incarnation that answered; the requested one when none answered. */
  readonly incarnation: Incarnation;
}

export interface AbandonDeps {
  readonly transport: Transport;
  readonly timing: RequestTiming;
  readonly node: NodeId;
  readonly log: Log;
}

/** What each answered state shows of whether the dispatch ran. */
const RAN_OF_STATE = {
  'never-started': 'no',
  started: 'yes',
  unknown: 'unknown',
} as const;

/** Asks the side to abandon the dispatch and logs the result. */
export async function abandonDispatch(
  deps: AbandonDeps,
  target: AbandonTarget,
): Promise<AbandonOutcome> {
  const res = await deps.transport.call(
    target.side,
    'abandon',
    {
      dispatchId: target.dispatchId,
      entry: deps.node,
      incarnation: target.incarnation,
      organisation: target.organisation ?? '',
    },
    deps.timing.abandonTimeoutMs,
  );
  const outcome = res.caseOf<AbandonOutcome>({
    Left: () => ({
      ran: 'unknown',
      answered: false,
      incarnation: target.incarnation,
    }),
    Right: answer => ({
      // Another incarnation has no record of this dispatch, so its answer
      // proves nothing about it.
      ran:
        answer.incarnation === target.incarnation
          ? RAN_OF_STATE[answer.state]
          : 'unknown',
      answered: true,
      incarnation: answer.incarnation,
    }),
  });
  deps.log(REQUEST_EVENTS.abandoned, {
    dispatchId: target.dispatchId,
    side: target.side,
    answered: outcome.answered,
    ran: outcome.ran,
  });
  return outcome;
}
