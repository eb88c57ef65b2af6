/**
 * Holds the open requests of this entry. It also keeps ended ones for a while,
 * so that a caller whose connection broke can still fetch its answer here.
 */
import type {OrganisationId, RequestId} from '../types/ids.js';
import type {Clock} from '../types/runtime.js';
import type {RequestState} from '../types/services.js';
import {isFinished} from './open_request.js';
import type {OpenRequest} from './open_request.js';

/**
 * Maximum number of ended requests kept. Beyond it, the oldest are removed
 * first.
 */
const MAX_ENDED_REQUESTS = 512;
/**
 * Maximum total size, in bytes, of the answers of ended requests. Beyond it,
 * the oldest requests are removed first.
 */
const MAX_ENDED_BYTES = 16 << 20;

/** Requests by id; ended ones expire after the retention time. */
export interface RequestTable {
  add(open: OpenRequest): void;
  /** Moves a request from the open to the ended ones. */
  markEnded(open: OpenRequest): void;
  /** Finds an open or ended request, only if it belongs to the organisation. */
  find(id: RequestId, organisation: OrganisationId): OpenRequest | undefined;
  has(id: RequestId): boolean;
  openRequests(): readonly OpenRequest[];
  openCount(): number;
}

export function createRequestTable(
  clock: Clock,
  endedRetentionMs: number,
): RequestTable {
  const open = new Map<RequestId, OpenRequest>();
  const ended = new Map<RequestId, {request: OpenRequest; at: number}>();

  let endedBytes = 0;

  const evictEnded = () => {
    const expireBefore = clock.now() - endedRetentionMs;
    for (const [id, {at}] of ended) {
      const fits =
        ended.size <= MAX_ENDED_REQUESTS && endedBytes <= MAX_ENDED_BYTES;
      if (at >= expireBefore && fits) return;
      removeEnded(id);
    }
  };

  /**
   * Removes an ended request. A request that was resumed here after another
   * entry had taken over its run ends twice; this keeps its bytes from being
   * counted twice.
   */
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
      // An organisation must not learn that another organisation's request
      // exists.
      return found?.organisation === organisation ? found : undefined;
    },
    has: id => open.has(id),
    openRequests: () => [...open.values()],
    openCount: () => open.size,
  };
}

/** The state of a request that this entry holds. */
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
