/** Applies the load of a randomised run: callers and operators. */
import type {Tracked} from '../standins/fleet_callers.js';
import type {MemoryFleet} from '../standins/memory_fleet.js';
import type {Action, LoadAction} from './soak_actions.js';
import type {Judge} from './soak_judge.js';

export interface Load {
  apply(action: LoadAction): void;
}

const LOAD_KINDS: ReadonlySet<string> = new Set<LoadAction['kind']>([
  'ask',
  'repeat-key',
  'cancel',
  'resume',
  'patch',
]);

export function isLoad(action: Action): action is LoadAction {
  return LOAD_KINDS.has(action.kind);
}

export function createLoad(fleet: MemoryFleet, judge: Judge): Load {
  let patches = 0;

  /** The balancer sends callers to entries that take connections. */
  const takingFrom = (at: number): number | undefined => {
    const count = fleet.entries.length;
    for (let tried = 0; tried < count; tried++) {
      const entry = (at + tried) % count;
      if (fleet.entries[entry]?.isAlive() === true) return entry;
    }
    return undefined;
  };

  const note = (tracked: Tracked) => judge.noteAsked(tracked);

  /** The newest of those asked that `fits`, some back from the last. */
  const earlier = (
    back: number,
    fits: (one: Tracked) => boolean,
  ): Tracked | undefined => {
    const from = Math.max(0, fleet.tracked.length - 1 - back);
    for (let at = from; at >= Math.max(0, from - 256); at--) {
      const one = fleet.tracked[at];
      if (one !== undefined && fits(one)) return one;
    }
    return undefined;
  };

  const patch = (entry: number, weight: number): void => {
    const patchId = `patch-${++patches}-${weight}`;
    const base = fleet.entries[entry]?.config()?.number ?? 0;
    judge.notePatch(patchId, undefined);
    const change = {organisations: {'prairie-sky': {weight}}};
    fleet
      .applyPatch(entry, {patchId, base, patch: JSON.stringify(change)})
      .then(
        outcome => judge.notePatch(patchId, outcome),
        // The entry ended; whether the patch was taken is not known.
        () => undefined,
      );
  };

  const apply = (action: LoadAction): void => {
    switch (action.kind) {
      case 'ask': {
        const entry = takingFrom(action.entry);
        if (entry !== undefined) note(fleet.submit(entry, action.ask));
        return;
      }
      case 'repeat-key': {
        const first = earlier(
          action.back,
          one => one.ask.idempotencyKey !== undefined && !one.resumed,
        );
        const entry = takingFrom(action.entry);
        if (first === undefined || entry === undefined) return;
        note(fleet.submit(entry, first.ask));
        return;
      }
      case 'cancel': {
        const one = earlier(action.back, each => each.finals === 0);
        if (one === undefined) return;
        const at = fleet.entries.findIndex(({name}) => name === one.entry);
        fleet.cancel(at, one);
        return;
      }
      case 'resume': {
        const one = earlier(
          action.back,
          each => each.cut && each.finals === 0 && each.dispatchId !== '',
        );
        const entry = takingFrom(action.entry);
        if (one === undefined || entry === undefined) return;
        const fromSeq = action.fromStart ? 0 : one.nextSeq;
        note(fleet.resume(entry, one, fromSeq));
        return;
      }
      case 'patch': {
        const entry = takingFrom(action.entry);
        if (entry === undefined) return;
        patch(entry, action.weight);
        const other = takingFrom(action.entry + 1);
        if (action.racing && other !== undefined) patch(other, 10);
        return;
      }
    }
  };

  return {apply};
}
