/**
 * Discards what callers still send after a refusal, so that they can send the
 * rest and then read it. Bytes that were read stay resident until they are
 * collected: only few connections are read at a time, and only so many bytes
 * between two collections.
 */
import type {Socket} from 'node:net';
import type {Clock} from '../../types/runtime.js';
import {runAll} from '../../utils/run_each.js';
import type {ConnectionGuards} from '../boundary/connection_guard.js';

/** Most bytes that are read between two collections. */
const MAX_BYTES = 2 * 1024 * 1024;
/** Shortest time between two collections, in milliseconds. */
const INTERVAL_MS = 40;
/**
 * Most connections that are read while bytes come on them. Each may buffer a
 * further chunk when it is paused.
 */
const MAX_SENDING = 16;

export interface InputDiscards {
  /** Reads what comes past the parser, when its turn comes. */
  discard(socket: Socket): void;
  /** Discards the first bytes that come, and calls `onFirst` then. */
  discardFirst(socket: Socket, onFirst: () => void): void;
  /** Whether the turn of the connection has not come yet. */
  isWaiting(socket: Socket): boolean;
}

export interface InputDiscardsOptions {
  readonly clock: Pick<Clock, 'after'>;
  readonly guards: Pick<ConnectionGuards, 'of' | 'each'>;
  /** Collects the buffers that were allocated lately. */
  readonly collect: () => void;
}

export function createInputDiscards({
  clock,
  guards,
  collect,
}: InputDiscardsOptions): InputDiscards {
  /** Connections that are not read yet, the oldest first. */
  const waiting = new Set<Socket>();
  /** Connections that are read, with the bytes since the last step. */
  const sending = new Map<Socket, number>();
  /** Bytes that were read since the last collection. */
  let bytes = 0;
  let isScheduled = false;

  const hasRoom = (): boolean => bytes < MAX_BYTES;
  const begin = (socket: Socket): void => {
    waiting.delete(socket);
    sending.set(socket, 0);
    read(socket);
  };
  const beginNext = (): void => {
    for (const socket of waiting) {
      if (!hasRoom() || sending.size >= MAX_SENDING) break;
      guards.of(socket)('discard', begin)(socket);
    }
    if (waiting.size + sending.size > 0) schedule();
  };
  /** A connection on which nothing came leaves its turn, and is still read. */
  const goOn = (): void => {
    for (const [socket, came] of sending) {
      if (came === 0) sending.delete(socket);
      else sending.set(socket, 0);
    }
    guards.each('discard', sending.keys(), socket => socket.resume());
    beginNext();
  };
  const collectIfFull = (): void => {
    if (hasRoom()) return;
    bytes = 0;
    collect();
  };
  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    const step = () => {
      isScheduled = false;
      runAll([collectIfFull, goOn]);
    };
    clock.after(INTERVAL_MS, step, 'discarded bytes');
  };
  const take = (socket: Socket, chunk: Buffer): void => {
    bytes += chunk.length;
    if (waiting.has(socket)) {
      socket.pause();
      return;
    }
    sending.set(socket, (sending.get(socket) ?? 0) + chunk.length);
    if (!hasRoom()) socket.pause();
    schedule();
  };

  return {
    discard: socket => {
      const guard = guards.of(socket);
      socket.removeAllListeners('data');
      socket.on(
        'data',
        guard('discard', (chunk: Buffer) => take(socket, chunk)),
      );
      socket.pause();
      waiting.add(socket);
      const leave = guard('closed', () => {
        waiting.delete(socket);
        sending.delete(socket);
        beginNext();
      });
      socket.once('close', leave);
      beginNext();
    },
    discardFirst: (socket, onFirst) => {
      socket.removeAllListeners('data');
      socket.once('data', (chunk: Buffer) => {
        bytes += chunk.length;
        onFirst();
      });
      read(socket);
    },
    isWaiting: socket => waiting.has(socket),
  };
}

function read(socket: Socket): void {
  // While the parser takes bytes from the handle, a read of the stream itself
  // stays open, and `resume` starts no other one where a full request buffer has
  // stopped the handle. An empty chunk ends that read.
  socket.push('');
  socket.resume();
}
