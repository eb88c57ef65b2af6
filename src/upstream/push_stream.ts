/**
 * Creates `most` streams from sources that push their events, such as responses
 * that arrive over a connection. A stream supports one observer.
 */
import {Stream} from 'most';
import type {Disposable, Scheduler, Sink} from 'most';

/**
 * Producer side of a stream. Calls after an end or an error, or after the
 * observer unsubscribed, have no effect.
 */
export interface Push<T> {
  /** Emits a value. */
  event(value: T): void;
  /** Ends the stream. */
  end(): void;
  /** Fails the stream. */
  error(err: Error): void;
  /** Whether the stream ended or failed or its observer unsubscribed. */
  isClosed(): boolean;
}

/**
 * Creates a stream. `start` runs when the stream is observed and must not push
 * before it returns. It returns a cleanup function that runs once when the
 * source or the observer closes the stream.
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
        // An observer that throws fails its own stream; the source must not
        // receive the exception.
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
