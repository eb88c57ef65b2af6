/**
 * Resuming a request and telling its state, at whichever entry the caller asks:
 * from what is kept here, else from the side that holds the run.
 */
import {OnyxError} from '../../types/errors.js';
import type {OrganisationId, RequestId} from '../../types/ids.js';
import type {
  MembershipView,
  RequestListener,
  RequestState,
  RequestsMessage,
} from '../../types/services.js';
import {adoptRun} from './adopt_run.js';
import {createAnswerLog} from '../run/answer_log.js';
import type {ExecuteDeps} from '../run/execute_request.js';
import {locateRun} from './locate_run.js';
import type {LocatedRun} from './locate_run.js';
import {createOpenRequest, failedEvent, isFinished} from '../open_request.js';
import type {OpenRequest} from '../open_request.js';
import {requestStateOf} from '../request_table.js';
import type {RequestTable} from '../request_table.js';

type ResumeMessage = Extract<RequestsMessage, {readonly kind: 'resume'}>;

export interface Resumer {
  resume(message: ResumeMessage): Promise<void>;
  reportState(
    id: RequestId,
    organisation: OrganisationId,
    reply: (state: RequestState) => void,
  ): Promise<void>;
  /** From what is known at this entry alone. */
  localState(id: RequestId, organisation: OrganisationId): RequestState;
  /** Gives `open` the answer of the request that took its key before. */
  followEarlierRequest(open: OpenRequest, earlier: RequestId): Promise<void>;
}

export interface ResumerOptions {
  readonly deps: ExecuteDeps;
  readonly table: RequestTable;
  readonly addRequest: (
    open: OpenRequest,
    release: readonly (() => void)[],
  ) => void;
  readonly view: () => MembershipView;
}

export function createResumer(options: ResumerOptions): Resumer {
  const {deps, table} = options;

  /** Not one that another entry has by now: the sides know how it goes on. */
  const findCurrent = (id: RequestId, organisation: OrganisationId) => {
    const known = table.find(id, organisation);
    return known?.takenOver === true ? undefined : known;
  };

  const locate = (
    id: RequestId,
    organisation: OrganisationId,
    sideHint: string,
  ) =>
    locateRun({
      transport: deps.transport,
      clock: deps.clock,
      timing: deps.timing,
      id,
      organisation,
      sideHint,
      allSides: options.view().allSides,
    });

  const adopt = (located: LocatedRun, message: ResumeMessage) => {
    const answerLog = createAnswerLog(message.id, 0, deps.invariant);
    const open = createOpenRequest(
      {
        id: message.id,
        organisation: message.organisation,
        kind: located.res.kind,
        model: located.res.model ?? '',
        promptTokens: located.res.promptTokens ?? 0,
      },
      answerLog,
    );
    options.addRequest(open, []);
    answerLog.subscribe(message.fromSeq, message.listener, message.streamed);
    const known = options
      .view()
      .replicas.find(one => one.address === located.side);
    adoptRun(deps, {
      open,
      located,
      fromSeq: message.fromSeq,
      incarnation: known?.incarnation ?? '',
    }).catch(err => {
      if (isFinished(open)) return;
      deps.finish(
        open,
        failedEvent(open, {
          code: 'internal',
          step: 'resume',
          peer: located.side,
          message: String(err),
        }),
      );
    });
  };

  const resume = async (message: ResumeMessage) => {
    const {id, organisation, fromSeq, listener, streamed} = message;
    const known = findCurrent(id, organisation);
    if (known !== undefined) {
      known.answerLog.subscribe(fromSeq, listener, streamed);
      return;
    }
    const located = await locate(id, organisation, message.sideHint);
    // Another resume of the same request may have been faster.
    const addedMeanwhile = findCurrent(id, organisation);
    if (addedMeanwhile !== undefined) {
      addedMeanwhile.answerLog.subscribe(fromSeq, listener, streamed);
    } else if (located !== undefined) adopt(located, message);
    else listener({kind: 'failed', error: notFound(id)});
  };

  const localState: Resumer['localState'] = (id, organisation) => {
    const known = findCurrent(id, organisation);
    return known === undefined ? unknownState(id) : requestStateOf(known);
  };

  /** What was known here last, also of a run that was taken over. */
  const lastKnownState = (id: RequestId, organisation: OrganisationId) => {
    const known = table.find(id, organisation);
    return known === undefined ? undefined : requestStateOf(known);
  };

  const reportState: Resumer['reportState'] = async (
    id,
    organisation,
    reply,
  ) => {
    const known = localState(id, organisation);
    if (known.state !== 'none') {
      reply(known);
      return;
    }
    const located = await locate(id, organisation, '');
    if (located !== undefined) reply({...located.res, id, side: located.side});
    else reply(lastKnownState(id, organisation) ?? known);
  };

  /** Copies the events of the earlier request into the later one's answer. */
  const copyEventsTo =
    (open: OpenRequest): RequestListener =>
    event => {
      if (isFinished(open)) return;
      if (event.kind === 'placed') {
        open.side = event.side;
        open.dispatchId = event.dispatchId;
        open.answerLog.setPlacement(event);
      } else if (event.kind === 'chunk') {
        open.answerLog.append(event);
      } else if (event.kind === 'restarted') {
        open.answerLog.discardChunks();
      } else if (event.kind === 'end') {
        deps.finish(open, event);
      } else {
        deps.finish(open, earlierFailure(open, event.error));
      }
    };

  return {
    resume,
    reportState: reportState,
    localState,
    followEarlierRequest: async (open, earlier) => {
      await resume({
        kind: 'resume',
        id: earlier,
        organisation: open.organisation,
        fromSeq: 0,
        sideHint: '',
        listener: copyEventsTo(open),
      });
    },
  };
}

function unknownState(id: RequestId): RequestState {
  return {
    id,
    state: 'none',
    kind: 'completion',
    side: '',
    dispatchId: '',
    nextSeq: 0,
  };
}

function notFound(id: RequestId): OnyxError {
  return new OnyxError({
    code: 'not-found',
    step: 'resume',
    message: 'no entry or side that was reached knows this request',
    ran: 'unknown',
    requestId: id,
  });
}

/**
 * The key was taken, so this request does not run. The earlier one's trace is
 * gone or cannot be reached: whether that one ran is not known.
 */
function earlierFailure(open: OpenRequest, error: OnyxError) {
  if (error.code !== 'not-found') {
    return {kind: 'failed', error} as const;
  }
  return failedEvent(open, {
    code: 'already-claimed',
    step: 'claim',
    message: 'an earlier request has this idempotency key; its state is lost',
    ran: 'unknown',
  });
}
