/**
 * Resumes requests and reports their state at whichever entry the caller asks.
 * It uses what this entry holds; otherwise it asks the side that has the run.
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

/** Serves callers that ask for a request started earlier. */
export interface Resumer {
  resume(message: ResumeMessage): Promise<void>;
  reportState(
    id: RequestId,
    organisation: OrganisationId,
    reply: (state: RequestState) => void,
  ): Promise<void>;
  /** The state known to this entry alone. */
  localState(id: RequestId, organisation: OrganisationId): RequestState;
  /**
   * Gives `open` the answer of the earlier request that claimed the same
   * idempotency key.
   */
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

  /**
   * Finds a request held here, unless another entry has taken it over. The
   * sides know the current state of such a run.
   */
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
    // Another resume of the same request may have added it in the meantime.
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

  /**
   * The last state known here, including that of a run that another entry took
   * over.
   */
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

  /**
   * Returns a listener that copies the events of the earlier request to the
   * later one.
   */
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
    reportState,
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
 * Turns the earlier request's error into the final event of the later one. If
 * the earlier request cannot be found, it is unknown whether it ran; the later
 * one does not run, because the key is taken.
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
