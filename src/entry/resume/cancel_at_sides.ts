/**
 * Ends a request that another entry owns, for a caller that asks here. Each
 * side is asked for a trace of it, since a group has one at several, and an
 * entry that goes away may leave an older one.
 */
import type {Address, OrganisationId, RequestId} from '../../types/ids.js';
import type {LocateRes} from '../../types/peer_messages.js';
import {abandonDispatch} from '../run/abandon.js';
import type {AbandonDeps} from '../run/abandon.js';

/** Sides asked at once. */
const PARALLEL = 16;

export interface ElsewhereRequest {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly sides: readonly Address[];
}

/** Resolves with whether some side had it queued or running. */
export async function cancelElsewhere(
  deps: AbandonDeps,
  request: ElsewhereRequest,
): Promise<boolean> {
  const waiting = [...request.sides];
  let found = false;
  const work = async () => {
    for (;;) {
      const side = waiting.shift();
      if (side === undefined) return;
      if (await cancelAt(deps, request, side)) found = true;
    }
  };
  const workers = Math.min(PARALLEL, waiting.length);
  await Promise.all(Array.from({length: workers}, work));
  return found;
}

async function cancelAt(
  deps: AbandonDeps,
  {id, organisation}: ElsewhereRequest,
  side: Address,
): Promise<boolean> {
  const located = await deps.transport.call(
    side,
    'locate',
    {requestId: id, organisation},
    deps.timing.locateTimeoutMs,
  );
  const trace = located.toMaybe().filter(isOpen).extract();
  if (trace === undefined) return false;
  const {dispatchId} = trace;
  const target = {side, dispatchId, incarnation: '', organisation};
  const {answered} = await abandonDispatch(deps, target);
  return answered;
}

function isOpen({state}: LocateRes): boolean {
  return state === 'queued' || state === 'running';
}
