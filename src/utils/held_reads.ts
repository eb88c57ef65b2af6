/**
 * Stops the reading of a connection, for one reason or several. Pausing an HTTP
 * message instead would leave the rest of what was read in its queue, where each
 * piece of a body is an object of its own. A paused connection does not stay so:
 * Node's HTTP code resumes it whenever the message could take more. Its methods
 * are therefore replaced until the last reason is gone.
 */
import type {Socket} from 'node:net';

/** Why a connection is not read. */
export type HoldReason = 'reader' | 'refused' | 'room' | 'turn';

interface Hold {
  readonly reasons: Set<HoldReason>;
  /** Whether the HTTP code has it read behind the hold. */
  isWanted: boolean;
}

const holds = new WeakMap<Socket, Hold>();

/** What has been read of the connection already is still handed on. */
export function holdReads(socket: Socket, reason: HoldReason): void {
  const known = holds.get(socket);
  if (known !== undefined) {
    known.reasons.add(reason);
    return;
  }
  const hold: Hold = {
    reasons: new Set([reason]),
    isWanted: !socket.isPaused(),
  };
  holds.set(socket, hold);
  socket.pause();
  const want = (isWanted: boolean) => (): Socket => {
    hold.isWanted = isWanted;
    return socket;
  };
  Object.assign(socket, {pause: want(false), resume: want(true)});
}

/** Has it read again unless there is another reason. */
export function releaseReads(socket: Socket, reason: HoldReason): void {
  const hold = holds.get(socket);
  if (hold === undefined || !hold.reasons.delete(reason)) return;
  if (hold.reasons.size === 0) end(socket, hold);
}

/** Has it read again, whatever it is held for. */
export function releaseAllReads(socket: Socket): void {
  const hold = holds.get(socket);
  if (hold !== undefined) end(socket, hold);
}

function end(socket: Socket, {isWanted}: Hold): void {
  holds.delete(socket);
  Reflect.deleteProperty(socket, 'pause');
  Reflect.deleteProperty(socket, 'resume');
  if (isWanted && !socket.destroyed) socket.resume();
}
