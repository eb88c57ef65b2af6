/**
 * The clock of one host on shared virtual time: it may run at another rate
 * than the others, and the process on it may be frozen, as by SIGSTOP: its
 * clock goes on while its timers and answers wait.
 */
import type {Clock} from '../../src/types/runtime.js';
import type {ObjectStore} from '../../src/types/platform.js';

export interface HostClock extends Clock {
  freeze(): void;
  thaw(): void;
  /** Resolves at once, or when the process is thawed. */
  awake(): Promise<void>;
}

export function createHostClock(clock: Clock, rate = 1): HostClock {
  let frozen = false;
  let waiting: Array<() => void> = [];

  const whenAwake = (fn: () => void) => {
    if (frozen) waiting.push(fn);
    else fn();
  };

  return {
    now: () => clock.now() * rate,
    after: (delayMs, fn) => {
      let cancelled = false;
      const run = () => {
        if (!cancelled) fn();
      };
      const cancel = clock.after(delayMs / rate, () => whenAwake(run));
      return () => {
        cancelled = true;
        cancel();
      };
    },
    every: (periodMs, fn) => clock.every(periodMs / rate, () => whenAwake(fn)),
    freeze: () => {
      frozen = true;
    },
    thaw: () => {
      frozen = false;
      const due = waiting;
      waiting = [];
      due.forEach(fn => fn());
    },
    awake: () => new Promise(resolve => whenAwake(resolve)),
  };
}

/** The store as a process on that host sees it: no answer while frozen. */
export function storeOnHost(store: ObjectStore, host: HostClock): ObjectStore {
  const late = async <T>(answer: Promise<T>): Promise<T> => {
    const value = await answer;
    await host.awake();
    return value;
  };
  return {
    get: (...args) => late(store.get(...args)),
    create: (...args) => late(store.create(...args)),
    update: (...args) => late(store.update(...args)),
    remove: (...args) => late(store.remove(...args)),
    list: (...args) => late(store.list(...args)),
    watch: (...args) => late(store.watch(...args)),
  };
}
