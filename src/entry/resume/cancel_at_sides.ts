/**
 * Cancels a request that another entry owns, for a caller that asks this entry.
 * It asks every side, because a group runs on several sides and an entry that
 * stopped may have left an earlier attempt on another one.
 */
import type {Address, OrganisationId, RequestId} from '../../types/ids.js';
import type {LocateRes} from '../../types/peer_messages.js';
import {abandonDispatch} from '../run/abandon.js';
import type {AbandonDeps} from '../run/abandon.js';

/** Maximum number of sides asked at the same time. */
const MAX_PARALLEL_CALLS = 16;

/** The request to cancel, and the sides to ask. */
export interface CancelAtSidesOptions {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly sides: readonly Address[];
}

/**
 * Resolves with true when at least one side had the request queued or running
 * and answered the abandon call.
 */
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

/** Cancels the request at one side, if it is queued or running there. */
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
