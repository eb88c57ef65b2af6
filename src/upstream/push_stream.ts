/**
 * A `most` stream whose source pushes: the usual shape of an answer that comes
 * in over a connection. One observer.
 */
import {Stream} from 'most';
import type {Disposable, Scheduler, Sink} from 'most';

/** The source's end of a stream. Nothing passes after an end or error. */
export interface Push<T> {
  event(value: T): void;
  end(): void;
  error(err: Error): void;
  /** True after an end, an error, or when the observer has gone. */
  isClosed(): boolean;
}

/**
 * Makes a stream. `start` runs when it is observed and returns what to release
 * once it closes, by either end; it must not push before it returns.
 */
export function pushStream<T>(start: (push: Push<T>) => () => void): Stream<T> {
  const run = (sink: Sink<T>, scheduler: Scheduler): Disposable<T> => {
    let closed = false;
    let release: () => void = () => {};

    const close = () => {
      if (closed) return false;
      closed = true;
      release();
      return true;
    };

    const error = (err: Error) => {
      if (close()) sink.error(scheduler.now(), err);
    };

    const event = (value: T) => {
      if (closed) return;
      try {
        sink.event(scheduler.now(), value);
      } catch (err) {
        // An observer that throws must fail its own stream, not the source.
        error(err as Error);
      }
    };

    const end = () => {
      if (close()) sink.end(scheduler.now());
    };

    release = start({event, end, error, isClosed: () => closed});
    return {dispose: () => void close()};
  };
  return new Stream<T>({run});
}
