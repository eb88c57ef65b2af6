/**
 * The requests of this entry: those open, and for a while those ended, so that
 * a caller whose connection broke can still have its answer here.
 */
import type {OrganisationId, RequestId} from '../types/ids.js';
import type {Clock} from '../types/runtime.js';
import type {RequestState} from '../types/services.js';
import {isFinished} from './open_request.js';
import type {OpenRequest} from './open_request.js';

/** Ended requests kept at most, the oldest forgotten first. */
const MAX_ENDED_REQUESTS = 512;
/** Bytes of the answers of ended requests kept at most. */
const MAX_ENDED_BYTES = 16 << 20;

export interface RequestTable {
  add(open: OpenRequest): void;
  /** Moves a request to the ended ones. */
  markEnded(open: OpenRequest): void;
  /** Open or ended, of that organisation only. */
  find(id: RequestId, organisation: OrganisationId): OpenRequest | undefined;
  has(id: RequestId): boolean;
  openRequests(): readonly OpenRequest[];
  openCount(): number;
}

export function createRequestTable(
  clock: Clock,
  keepEndedMs: number,
): RequestTable {
  const open = new Map<RequestId, OpenRequest>();
  const ended = new Map<RequestId, {request: OpenRequest; at: number}>();

  let endedBytes = 0;

  const evictEnded = () => {
    const expireBefore = clock.now() - keepEndedMs;
    for (const [id, {at}] of ended) {
      const fits =
        ended.size <= MAX_ENDED_REQUESTS && endedBytes <= MAX_ENDED_BYTES;
      if (at >= expireBefore && fits) return;
      removeEnded(id);
    }
  };

  /** A request that came back after its run was taken over ends twice here. */
  const removeEnded = (id: RequestId) => {
    const earlier = ended.get(id);
    if (earlier === undefined) return;
    ended.delete(id);
    endedBytes -= earlier.request.answerLog.retainedBytes();
  };

  return {
    add: request => {
      open.set(request.id, request);
    },
    markEnded: request => {
      open.delete(request.id);
      removeEnded(request.id);
      ended.set(request.id, {request, at: clock.now()});
      endedBytes += request.answerLog.retainedBytes();
      evictEnded();
    },
    find: (id, organisation) => {
      evictEnded();
      const found = open.get(id) ?? ended.get(id)?.request;
      // One organisation must not learn that another's request exists.
      return found?.organisation === organisation ? found : undefined;
    },
    has: id => open.has(id),
    openRequests: () => [...open.values()],
    openCount: () => open.size,
  };
}

/** State of a request that is known here. */
export function requestStateOf(request: OpenRequest): RequestState {
  return {
    id: request.id,
    state: stateNameOf(request),
    kind: request.kind,
    side: request.side,
    dispatchId: request.dispatchId,
    nextSeq: request.answerLog.nextSeq(),
    model: request.model,
    promptTokens: request.promptTokens,
  };
}

function stateNameOf(request: OpenRequest): RequestState['state'] {
  const final = request.answerLog.finalEvent();
  if (isFinished(request)) return final?.kind === 'end' ? 'ended' : 'failed';
  return request.answerLog.nextSeq() > 0 ? 'running' : 'queued';
}
