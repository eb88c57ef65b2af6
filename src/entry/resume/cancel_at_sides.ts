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
const MAX_PARALLEL_CALLS = 16;

export interface CancelAtSidesOptions {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly sides: readonly Address[];
}

/** Resolves with whether some side had it queued or running. */
export async function cancelAtSides(
  deps: AbandonDeps,
  request: CancelAtSidesOptions,
): Promise<boolean> {
  const remaining = [...request.sides];
  let found = false;
  const worker = async () => {
    for (;;) {
      const side = remaining.shift();
      if (side === undefined) return;
      if (await cancelAtSide(deps, request, side)) found = true;
    }
  };
  const workerCount = Math.min(MAX_PARALLEL_CALLS, remaining.length);
  await Promise.all(Array.from({length: workerCount}, worker));
  return found;
}

async function cancelAtSide(
  deps: AbandonDeps,
  {id, organisation}: CancelAtSidesOptions,
  side: Address,
): Promise<boolean> {
  const located = await deps.transport.call(
    side,
    'locate',
    {requestId: id, organisation},
    deps.timing.locateTimeoutMs,
  );
  const openRun = located.toMaybe().filter(isOpen).extract();
  if (openRun === undefined) return false;
  const {dispatchId} = openRun;
  const target = {side, dispatchId, incarnation: '', organisation};
  const {answered} = await abandonDispatch(deps, target);
  return answered;
}

function isOpen({state}: LocateRes): boolean {
  return state === 'queued' || state === 'running';
}
