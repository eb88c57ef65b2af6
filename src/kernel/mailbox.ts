/**
 * A mailbox: a queue of messages that a service reads as a `most` stream.
 * Delivery is never inside the sender's call, so a service handles one message
 * at a time, in order.
 */
import {Stream} from 'most';
import type {Disposable, Scheduler, Sink} from 'most';

/** One service's queue: senders push, the service observes. */
export interface Mailbox<T> {
  readonly stream: Stream<T>;
  push(message: T): void;
  /** Ends the stream; messages not yet delivered are dropped. */
  close(): void;
  /** Messages not yet delivered. */
  size(): number;
}

/** Makes a mailbox with one observer. */
export function createMailbox<T>(): Mailbox<T> {
  const queue: T[] = [];
  let sink: Sink<T> | undefined;
  let time: () => number = () => 0;
  let closed = false;
  let scheduled = false;

  const drain = () => {
    scheduled = false;
    while (sink !== undefined && queue.length > 0) {
      const message = queue.shift() as T;
      try {
        sink.event(time(), message);
      } catch (err) {
        // The stream's own promise rejects: the kernel ends the task there.
        const failed = sink;
        sink = undefined;
        failed.error(time(), err as Error);
      }
    }
  };

  const schedule = () => {
    if (scheduled || sink === undefined) return;
    scheduled = true;
    queueMicrotask(drain);
  };

  const run = (to: Sink<T>, scheduler: Scheduler): Disposable<T> => {
    sink = to;
    time = () => scheduler.now();
    if (closed) {
      queueMicrotask(() => to.end(time()));
    } else {
      schedule();
    }
    return {
      dispose: () => {
        sink = undefined;
        queue.length = 0;
        return Promise.resolve();
      },
    } as Disposable<T>;
  };

  return {
    stream: new Stream<T>({run}),
    push: message => {
      if (closed) return;
      queue.push(message);
      schedule();
    },
    close: () => {
      if (closed) return;
      closed = true;
      queue.length = 0;
      const ending = sink;
      sink = undefined;
      if (ending !== undefined) queueMicrotask(() => ending.end(time()));
    },
    size: () => queue.length,
  };
}
