/**
 * Frames received on a channel, as a `most` stream with one observer. Frames
 * that arrive before the observer subscribes are buffered.
 */
import {Stream} from 'most';
import type {Disposable, Scheduler, Sink} from 'most';

/** A stream and the functions that write to it. */
export interface FrameStream<T> {
  readonly stream: Stream<T>;
  /** Delivers a frame to the observer. Frames after the end are dropped. */
  push(frame: T): void;
  /** Ends the stream after all earlier frames have been delivered. */
  end(): void;
  /** Ends the stream and drops the frames not yet delivered. */
  abort(): void;
}

/** Creates a stream. `onObserve` is called when the observer subscribes. */
export function createFrameStream<T>(
  onObserve: () => void = () => undefined,
): FrameStream<T> {
  const bufferedFrames: T[] = [];
  let sink: Sink<T> | undefined;
  let currentTime: () => number = () => 0;
  let ended = false;

  /** An error of the observer ends the stream and rejects its promise. */
  const deliver = (to: Sink<T>, frame: T): void => {
    try {
      to.event(currentTime(), frame);
    } catch (err) {
      sink = undefined;
      ended = true;
      to.error(currentTime(), err as Error);
    }
  };

  const endSink = (): void => {
    const endingSink = sink;
    sink = undefined;
    endingSink?.end(currentTime());
  };

  const deliverBuffered = (): void => {
    for (;;) {
      const frame = bufferedFrames.shift();
      if (sink === undefined || frame === undefined) break;
      deliver(sink, frame);
    }
    if (ended) endSink();
  };

  const run = (to: Sink<T>, scheduler: Scheduler): Disposable<T> => {
    sink = to;
    currentTime = () => scheduler.now();
    queueMicrotask(deliverBuffered);
    onObserve();
    return {
      dispose: () => {
        sink = undefined;
        bufferedFrames.length = 0;
        return Promise.resolve();
      },
    } as Disposable<T>;
  };

  return {
    stream: new Stream<T>({run}),
    push: frame => {
      if (ended) return;
      if (sink === undefined || bufferedFrames.length > 0)
        bufferedFrames.push(frame);
      else deliver(sink, frame);
    },
    end: () => {
      if (ended) return;
      ended = true;
      if (bufferedFrames.length === 0) endSink();
    },
    abort: () => {
      bufferedFrames.length = 0;
      if (ended) return;
      ended = true;
      endSink();
    },
  };
}
