/**
 * A mailbox: a queue of messages that a service reads as a `most` stream.
 * Messages are delivered in a microtask and never inside the sender's call.
 * A service therefore handles one message at a time, in order.
 */
import {Stream} from 'most';
import type {Disposable, Scheduler, Sink} from 'most';

export interface MailboxOptions {
  /** Takes an error in the mailbox itself, which loses at most one message. */
  onError(err: unknown): void;
  /** Whether the observer goes on after an error at one message. */
  readonly goesOn: boolean;
}

/** For mailboxes whose owner takes no errors. */
const NO_OWNER: MailboxOptions = {
  onError: err => {
    throw err;
  },
  goesOn: false,
};

/** The message queue of one service. */
export interface Mailbox<T> {
  /** The messages, for one observer. */
  readonly stream: Stream<T>;
  /** Adds a message; does nothing after `close`. */
  push(message: T): void;
  /** Ends the stream and drops the undelivered messages. */
  close(): void;
  /** Number of undelivered messages. */
  size(): number;
}

/** Creates an empty mailbox for one observer. */
export function createMailbox<T>({
  onError,
  goesOn,
}: MailboxOptions = NO_OWNER): Mailbox<T> {
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
        // The next messages are delivered in a turn of their own.
        if (goesOn) throw err;
        // This rejects the observer's promise, and the kernel then fails the
        // service.
        const failedSink = sink;
        sink = undefined;
        failedSink.error(time(), err as Error);
      }
    }
  };

  const deliver = () => {
    try {
      drain();
    } catch (err) {
      if (queue.length > 0) scheduleTurn();
      onError(err);
    }
  };
  const schedule = () => {
    if (scheduled || sink === undefined) return;
    scheduled = true;
    queueMicrotask(deliver);
  };
  /** In a later turn, so that an error that lasts leaves time for other work. */
  const scheduleTurn = () => {
    scheduled = true;
    setImmediate(deliver);
  };

  const run = (observer: Sink<T>, scheduler: Scheduler): Disposable<T> => {
    sink = observer;
    time = () => scheduler.now();
    if (closed) {
      queueMicrotask(() => observer.end(time()));
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
      const endingSink = sink;
      sink = undefined;
      if (endingSink !== undefined)
        queueMicrotask(() => endingSink.end(time()));
    },
    size: () => queue.length,
  };
}
