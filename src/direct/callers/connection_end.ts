/**
 * Ends connections of callers. This entry ends its own direction, and closes the
 * connection some time later: closed at once, it would be reset where bytes of
 * the caller are unread or on their way, and a reset discards an answer that the
 * caller has not read yet. No request that comes after the end is passed on.
 */
import type {Socket} from 'node:net';
import type {Clock} from '../../types/runtime.js';
import {runAll, runTwice} from '../../utils/run_each.js';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import type {InputDiscards} from './input_discards.js';

/**
 * Time between the end of this entry's direction and the closing, in
 * milliseconds. It bounds the descriptors of ending connections.
 */
const LINGER_MS = 2_000;
/**
 * Longest time for which the rest of a refused request is discarded while it
 * still comes, in milliseconds.
 */
const MAX_DISCARDING_MS = 4_000;
/**
 * Most connections that stay unread after their end. The caller's own end is not
 * seen meanwhile, so each of them holds its descriptor for the whole time.
 */
const MAX_UNREAD = 256;

/**
 * What becomes of bytes that come after the end. `discard` reads them, so
 * that a caller can send the rest of a refused request and then read the
 * refusal, and the connection closes as soon as the caller ends it too. `leave`
 * reads them only when the caller has seen the end: a caller that can tell that
 * its request was not read may send it again.
 */
export type LateBytes = 'discard' | 'leave';

export interface ConnectionEnds {
  /**
   * Ends a connection after what has been written to it. `onClosing` is called
   * before the closing, with whether bytes came that were left.
   */
  end(
    socket: Socket,
    lateBytes: LateBytes,
    onClosing: (hasLateBytes: boolean) => void,
  ): void;
  isEnding(socket: Socket): boolean;
}

export interface ConnectionEndsOptions {
  readonly clock: Clock;
  readonly guards: Pick<ConnectionGuards, 'of'>;
  readonly discards: Pick<InputDiscards, 'discard' | 'isWaiting'>;
}

export function createConnectionEnds({
  clock,
  guards,
  discards,
}: ConnectionEndsOptions): ConnectionEnds {
  const ending = new WeakSet<Socket>();
  /** Closes connections that are not read, the oldest first. */
  const unread = new Map<Socket, () => void>();

  const end: ConnectionEnds['end'] = (socket, lateBytes, onClosing) => {
    if (ending.has(socket)) return;
    ending.add(socket);
    const guard = guards.of(socket);
    if (lateBytes === 'leave') socket.pause();
    else discards.discard(socket);
    socket.end();
    const bytesRead = socket.bytesRead;
    let isReported = false;
    const report = () => {
      if (isReported) return;
      isReported = true;
      onClosing(lateBytes === 'leave' && socket.bytesRead !== bytesRead);
    };
    const close = guard('closing', () => {
      afterPoll(() => socket.destroy());
      socket.resume();
      unread.delete(socket);
    });
    let seenBytes = bytesRead;
    const closeUnlessSending = guard('end of the wait', () => {
      const isSending =
        lateBytes === 'discard' &&
        (socket.bytesRead !== seenBytes || discards.isWaiting(socket));
      seenBytes = socket.bytesRead;
      if (!isSending) close();
      else cancelLinger = clock.after(LINGER_MS, closeUnlessSending);
    });
    let cancelLinger = clock.after(LINGER_MS, closeUnlessSending);
    // A timer of its own: timers may end early, so that the sum of several
    // would be short of the bound, and the connection open for one more.
    const cancelBound = clock.after(MAX_DISCARDING_MS, close);
    const onClosed = guard('closed', () => {
      cancelLinger();
      cancelBound();
      runAll([() => runTwice(() => unread.delete(socket)), report]);
    });
    socket.once('close', onClosed);
    if (lateBytes === 'leave') unread.set(socket, close);
    if (unread.size > MAX_UNREAD) unread.values().next().value?.();
  };
  return {end, isEnding: socket => ending.has(socket)};
}

/**
 * Calls the function when everything has been read that lay in the kernel.
 * Timers that expired while the process stood still run before that.
 */
export function afterPoll(run: () => void): void {
  // An immediate that is set within the poll phase would run just after it.
  setImmediate(() => setImmediate(run));
}
