/**
 * One collection of a store that can be restored from an older copy, on a
 * virtual clock. It is a simple reference for what a follower has to know in
 * the end.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {
  Collection,
  StoreFault,
} from '../../src/direct/followed/collection.js';
import type {VirtualClock} from '../../standins/virtual_clock.js';

interface Change {
  readonly revision: number;
  readonly name: string;
  readonly value: string | undefined;
}

interface State {
  readonly items: ReadonlyMap<string, string>;
  readonly history: readonly Change[];
  readonly revision: number;
}

export interface RestorableCollection extends Collection<string> {
  put(name: string, value: string): void;
  remove(name: string): void;
  copy(): void;
  /** Restores the newest copy. */
  restore(): void;
  /** Sets how long answers take from now on, in milliseconds. */
  setDelay(ms: number): void;
  /** Whether all later calls fail instead of being answered. */
  setAway(isAway: boolean): void;
  now(): ReadonlyMap<string, string>;
  /** Reports an older era than before, without any history. */
  startOlderEra(): void;
  calls(): number;
}

/** Interval at which a watch checks the history, in milliseconds. */
const HISTORY_CHECK_MS = 5;

export function createRestorableCollection(
  clock: VirtualClock,
  hasEra = true,
): RestorableCollection {
  let state: State = {items: new Map(), history: [], revision: 1};
  let copied = state;
  let era = 1;
  let delayMs = 2;
  let away = false;
  let calls = 0;

  const pause = (ms: number): Promise<void> =>
    new Promise(resolve => void clock.after(ms, resolve));
  const change = (name: string, value: string | undefined): void => {
    const items = new Map(state.items);
    if (value === undefined) items.delete(name);
    else items.set(name, value);
    const revision = state.revision + 1;
    const history = [...state.history, {revision, name, value}];
    state = {items, history, revision};
  };
  const fault = (message: string, historyGone = false): StoreFault => ({
    step: 'call',
    message,
    historyGone,
    unreadable: false,
  });
  const position = () => ({
    era: hasEra ? era : undefined,
    revision: state.revision,
  });
  /** Delivers a result that was made now after the time that answers take. */
  const answer = async <T>(
    result: Either<StoreFault, T>,
  ): Promise<Either<StoreFault, T>> => {
    const wasAway = away;
    await pause(delayMs);
    return wasAway ? Left(fault('no answer')) : result;
  };

  return {
    put: change,
    remove: name => {
      if (state.items.has(name)) change(name, undefined);
    },
    copy: () => {
      copied = state;
    },
    restore: () => {
      state = copied;
      era += 1;
    },
    setDelay: ms => {
      delayMs = ms;
    },
    setAway: isAway => {
      away = isAway;
    },
    now: () => state.items,
    startOlderEra: () => {
      era -= 1;
      state = {items: state.items, history: [], revision: 0};
    },
    calls: () => calls,
    list: () => {
      calls += 1;
      const items = state.items;
      return answer(Right({position: position(), items, isPartial: false}));
    },
    watch: async (from, waitMs) => {
      calls += 1;
      const eraWhenSent = era;
      const until = clock.now() + waitMs;
      for (;;) {
        // A waiting watch breaks when the store is restored.
        if (era !== eraWhenSent) return answer(Left(fault('cut')));
        if (from.revision > state.revision) {
          return answer(Left(fault('gone', true)));
        }
        const found = state.history.filter(it => it.revision > from.revision);
        if (found.length > 0 || away || clock.now() >= until) {
          const items = new Map(found.map(it => [it.name, it.value]));
          return answer(Right({position: position(), items}));
        }
        await pause(HISTORY_CHECK_MS);
      }
    },
  };
}
