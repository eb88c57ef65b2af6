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
  cut(): void;
}

/** `onObserve` is called once, when the observer comes. */
export function createFrameStream<T>(
  onObserve: () => void = () => undefined,
): FrameStream<T> {
  const waiting: T[] = [];
  let sink: Sink<T> | undefined;
  let time: () => number = () => 0;
  let ended = false;

  /** An error of the observer ends its stream; the promise of it rejects. */
  const hand = (to: Sink<T>, frame: T): void => {
    try {
      to.event(time(), frame);
    } catch (err) {
      sink = undefined;
      ended = true;
      to.error(time(), err as Error);
    }
  };

  const finish = (): void => {
    const ending = sink;
    sink = undefined;
    ending?.end(time());
  };

  const start = (): void => {
    for (;;) {
      const frame = waiting.shift();
      if (sink === undefined || frame === undefined) break;
      hand(sink, frame);
    }
    if (ended) finish();
  };

  const run = (to: Sink<T>, scheduler: Scheduler): Disposable<T> => {
    sink = to;
    time = () => scheduler.now();
    queueMicrotask(start);
    onObserve();
    return {
      dispose: () => {
        sink = undefined;
        waiting.length = 0;
        return Promise.resolve();
      },
    } as Disposable<T>;
  };

  return {
    stream: new Stream<T>({run}),
    push: frame => {
      if (ended) return;
      if (sink === undefined || waiting.length > 0) waiting.push(frame);
      else hand(sink, frame);
    },
    end: () => {
      if (ended) return;
      ended = true;
      if (waiting.length === 0) finish();
    },
    cut: () => {
      waiting.length = 0;
      if (ended) return;
      ended = true;
      finish();
    },
  };
}
