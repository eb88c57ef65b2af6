/**
 * One collection of a store that can come back from an older copy, on a virtual
 * clock: a simple reference for what a follower of it must come to know.
 */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Collection, StoreFault} from '../../src/direct/types.js';
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
  /** Comes back from the newest copy. */
  restore(): void;
  /** Answers take so long from now on. */
  delay(ms: number): void;
  /** No call is answered, or all are. */
  setAway(isAway: boolean): void;
  now(): ReadonlyMap<string, string>;
  /** Tells an older era than before, and has forgotten its history. */
  fallBack(): void;
  calls(): number;
}

/** Between looks of a watch at the history. */
const LOOK_MS = 5;

export function createRestorableCollection(
  clock: VirtualClock,
  tellsEra = true,
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
    era: tellsEra ? era : undefined,
    revision: state.revision,
  });
  /** Made now, on its way for as long as answers take. */
  const answer = async <T>(
    made: Either<StoreFault, T>,
  ): Promise<Either<StoreFault, T>> => {
    const wasAway = away;
    await pause(delayMs);
    return wasAway ? Left(fault('no answer')) : made;
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
    delay: ms => {
      delayMs = ms;
    },
    setAway: isAway => {
      away = isAway;
    },
    now: () => state.items,
    fallBack: () => {
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
      const sentIn = era;
      const until = clock.now() + waitMs;
      for (;;) {
        // A watch that waits is cut off when the store comes back.
        if (era !== sentIn) return answer(Left(fault('cut')));
        if (from.revision > state.revision) {
          return answer(Left(fault('gone', true)));
        }
        const found = state.history.filter(it => it.revision > from.revision);
        if (found.length > 0 || away || clock.now() >= until) {
          const items = new Map(found.map(it => [it.name, it.value]));
          return answer(Right({position: position(), items}));
        }
        await pause(LOOK_MS);
      }
    },
  };
}
