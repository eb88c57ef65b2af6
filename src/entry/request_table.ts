/**
 * The requests of this entry: those open, and for a while those ended, so that
 * a caller whose connection broke can still have its answer here.
 */
import type {OrganisationId, RequestId} from '../types/ids.js';
import type {Clock} from '../types/runtime.js';
import type {RequestState} from '../types/services.js';
import {isOver} from './open_request.js';
import type {OpenRequest} from './open_request.js';

/** Ended requests kept at most, the oldest forgotten first. */
const KEEP_ENDED = 512;
/** Bytes of the answers of ended requests kept at most. */
const KEEP_ENDED_BYTES = 16 << 20;

export interface RequestTable {
  add(open: OpenRequest): void;
  /** Moves a request to the ended ones. */
  end(open: OpenRequest): void;
  /** Open or ended, of that organisation only. */
  find(id: RequestId, organisation: OrganisationId): OpenRequest | undefined;
  has(id: RequestId): boolean;
  open(): readonly OpenRequest[];
  size(): number;
}

export function createRequestTable(
  clock: Clock,
  keepEndedMs: number,
): RequestTable {
  const open = new Map<RequestId, OpenRequest>();
  const ended = new Map<RequestId, {request: OpenRequest; at: number}>();

  let endedBytes = 0;

  const forgetOld = () => {
    const before = clock.now() - keepEndedMs;
    for (const [id, {at}] of ended) {
      const fits = ended.size <= KEEP_ENDED && endedBytes <= KEEP_ENDED_BYTES;
      if (at >= before && fits) return;
      forget(id);
    }
  };

  /** A request that came back after its run was taken over ends twice here. */
  const forget = (id: RequestId) => {
    const before = ended.get(id);
    if (before === undefined) return;
    ended.delete(id);
    endedBytes -= before.request.answer.keptBytes();
  };

  return {
    add: request => {
      open.set(request.id, request);
    },
    end: request => {
      open.delete(request.id);
      forget(request.id);
      ended.set(request.id, {request, at: clock.now()});
      endedBytes += request.answer.keptBytes();
      forgetOld();
    },
    find: (id, organisation) => {
      forgetOld();
      const found = open.get(id) ?? ended.get(id)?.request;
      // One organisation must not learn that another's request exists.
      return found?.organisation === organisation ? found : undefined;
    },
    has: id => open.has(id),
    open: () => [...open.values()],
    size: () => open.size,
  };
}

/** State of a request that is known here. */
export function stateOf(request: OpenRequest): RequestState {
  return {
    id: request.id,
    state: stateName(request),
    kind: request.kind,
    side: request.side,
    dispatchId: request.dispatchId,
    nextSeq: request.answer.nextSeq(),
    model: request.model,
    promptTokens: request.promptTokens,
  };
}

function stateName(request: OpenRequest): RequestState['state'] {
  const final = request.answer.final();
  if (isOver(request)) return final?.kind === 'end' ? 'ended' : 'failed';
  return request.answer.nextSeq() > 0 ? 'running' : 'queued';
}
