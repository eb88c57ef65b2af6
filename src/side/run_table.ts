/** All runs that a side knows, by dispatch id. */
import type {DispatchId, OrganisationId, RequestId} from '../types/ids.js';
import {isHold, isOver, isWaiting, occupiesPlace} from './run.js';
import type {Run} from './run.js';

export interface RunTable {
  add(run: Run): void;
  get(id: DispatchId): Run | undefined;
  remove(id: DispatchId): void;
  all(): readonly Run[];
  waiting(): readonly Run[];
  /** Occupy a place at the upstream. */
  placed(): readonly Run[];
  over(): readonly Run[];
  /** The furthest run of a request, holds left out. */
  find(requestId: RequestId, organisation: OrganisationId): Run | undefined;
}

const FURTHEST_FIRST = ['running', 'ended', 'queued', 'receiving'];

function rank(run: Run): number {
  const index = FURTHEST_FIRST.indexOf(run.state);
  return index < 0 ? FURTHEST_FIRST.length : index;
}

export function createRunTable(): RunTable {
  const runs = new Map<DispatchId, Run>();
  const where = (test: (run: Run) => boolean) =>
    [...runs.values()].filter(test);

  return {
    add: run => void runs.set(run.id, run),
    get: id => runs.get(id),
    remove: id => void runs.delete(id),
    all: () => [...runs.values()],
    waiting: () => where(isWaiting),
    placed: () => where(occupiesPlace),
    over: () => where(isOver),
    find: (requestId, organisation) =>
      where(
        run =>
          run.offer.requestId === requestId &&
          run.offer.organisation === organisation &&
          !isHold(run.offer),
      ).sort((a, b) => rank(a) - rank(b))[0],
  };
}
