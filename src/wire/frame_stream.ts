/**
 * Frames that came in on a channel, as a `most` stream with one observer. What
 * comes before the observer does is kept for it.
 */
import {Stream} from 'most';
import type {Disposable, Scheduler, Sink} from 'most';

/** A stream with the end that feeds it. */
export interface FrameStream<T> {
  readonly stream: Stream<T>;
  /** Hands a frame to the observer; dropped after the end. */
  push(frame: T): void;
  /** Ends the stream after the frames that came before. */
  end(): void;
  /** Ends the stream and drops the frames not yet handed over. */
  abort(): void;
}

/** `onObserve` is called once, when the observer comes. */
export function createFrameStream<T>(
  onObserve: () => void = () => undefined,
): FrameStream<T> {
  const bufferedFrames: T[] = [];
  let sink: Sink<T> | undefined;
  let currentTime: () => number = () => 0;
  let ended = false;

  /** An error of the observer ends its stream; the promise of it rejects. */
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
