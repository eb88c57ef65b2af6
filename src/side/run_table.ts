/** Holds all runs that a side knows, by dispatch id. */
import type {DispatchId, OrganisationId, RequestId} from '../types/ids.js';
import {isHoldOnly, isFinished, isWaiting, occupiesSlot} from './run.js';
import type {Run} from './run.js';

/** The runs of one side. */
export interface RunTable {
  add(run: Run): void;
  get(id: DispatchId): Run | undefined;
  remove(id: DispatchId): void;
  all(): readonly Run[];
  /** Runs that are accepted and not yet sent to the upstream. */
  waiting(): readonly Run[];
  /** Runs that occupy a slot of the upstream. */
  runsInSlots(): readonly Run[];
  /** Runs that are ended, failed or cancelled. */
  finished(): readonly Run[];
  /**
   * The most advanced run of a request. Group members that only hold memory
   * are ignored.
   */
  find(requestId: RequestId, organisation: OrganisationId): Run | undefined;
}

/** Order of states for `find`; states that are not listed come last. */
const MOST_ADVANCED_FIRST = ['running', 'ended', 'queued', 'receiving'];

function rank(run: Run): number {
  const index = MOST_ADVANCED_FIRST.indexOf(run.state);
  return index < 0 ? MOST_ADVANCED_FIRST.length : index;
}

/** Creates an empty table. */
export function createRunTable(): RunTable {
  const runs = new Map<DispatchId, Run>();
  const select = (test: (run: Run) => boolean) =>
    [...runs.values()].filter(test);

  return {
    add: run => void runs.set(run.id, run),
    get: id => runs.get(id),
    remove: id => void runs.delete(id),
    all: () => [...runs.values()],
    waiting: () => select(isWaiting),
    runsInSlots: () => select(occupiesSlot),
    finished: () => select(isFinished),
    find: (requestId, organisation) =>
      select(
        run =>
          run.offer.requestId === requestId &&
          run.offer.organisation === organisation &&
          !isHoldOnly(run.offer),
      ).sort((a, b) => rank(a) - rank(b))[0],
  };
}
