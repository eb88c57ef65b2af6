/**
 * Guards of callbacks. Sockets, timers and abort signals call back outside of
 * the promise of the work that they belong to, so that an error there would
 * reach the process as one that nothing has caught. A guard hands it to the
 * owner of the work instead, together with the name of the callback.
 */
import type {Clock, LogFields} from '../types/runtime.js';

/**
 * Wraps a callback; an error in it, or a rejection of its promise, goes to the
 * guard's owner. The callback then returns undefined.
 */
export type Guard = <A extends readonly unknown[]>(
  callback: string,
  fn: (...args: A) => void | Promise<void>,
) => (...args: A) => void;

/** `onError` is called with the name of the callback in which it arose. */
export function createGuard(
  onError: (err: unknown, callback: string) => void,
): Guard {
  return (callback, fn) =>
    (...args) => {
      try {
        const done = fn(...args);
        if (done instanceof Promise) {
          done.catch((err: unknown) => onError(err, callback));
        }
      } catch (err) {
        onError(err, callback);
      }
    };
}

/** Takes an error that arose in the callback of this name. */
export type OnError = (err: unknown, callback: string) => void;

/** What takes errors in steps in the background. */
export interface StepOwner {
  /** @default the error reaches the process */
  readonly onError?: OnError | undefined;
}

/** For steps whose owner takes no errors. */
export const toProcess: OnError = err => {
  throw err;
};

/** A clock whose timers call back within the guard. */
export function guardClock(clock: Clock, guard: Guard, name: string): Clock {
  return {
    now: clock.now,
    after: (delayMs, fn) => clock.after(delayMs, guard(name, fn)),
    every: (periodMs, fn) => clock.every(periodMs, guard(name, fn)),
  };
}

/** What a callback worked on when it failed, for the line of an end. */
class CallbackError extends Error {
  constructor(
    readonly place: LogFields,
    cause: unknown,
  ) {
    super(`an error in the callback "${String(place['callback'])}"`, {cause});
  }
}

/** Guard of callbacks whose errors end the process, which names their place. */
export function createPlaceGuard(place: () => LogFields): Guard {
  return createGuard((err, callback) => {
    throw new CallbackError({callback, ...place()}, err);
  });
}

/** The error itself, and where it arose if a guard told that. */
export function placeOf(err: unknown): {
  readonly err: unknown;
  readonly place: LogFields;
} {
  return err instanceof CallbackError
    ? {err: err.cause, place: err.place}
    : {err, place: {}};
}
