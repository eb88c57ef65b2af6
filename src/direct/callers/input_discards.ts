/**
 * Discards what callers still send after a refusal, so that they can send the
 * rest and then read it. Bytes that were read stay resident until they are
 * collected: only few connections are read at a time, and only so many bytes
 * between two collections.
 */
import type {Socket} from 'node:net';
import type {Clock} from '../../types/runtime.js';
import {releaseAllReads} from '../../utils/held_reads.js';
import {runAll} from '../../utils/run_each.js';
import type {ConnectionGuards} from '../boundary/connection_guard.js';

/** Most bytes that are read between two collections. */
const MAX_BYTES = 2 * 1024 * 1024;
/** Shortest time between two collections, in milliseconds. */
const INTERVAL_MS = 40;
/**
 * Most connections that are read while many bytes come on them. Each may buffer a
 * further chunk when it is paused.
 */
const MAX_SENDING = 16;
/**
 * Bytes within `INTERVAL_MS` that take a turn. Callers that send less are read
 * beside the turns, so that they keep no other from its own.
 */
const TURN_BYTES = 16 * 1024;

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
  /** Connections that wait for a turn, the oldest first. */
  const waiting = new Set<Socket>();
  /** Connections that have a turn, with the bytes since the last step. */
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
  /** A connection on which little came leaves its turn, and is still read. */
  const goOn = (): void => {
    guards.each('discard', [...sending.keys()], socket => {
      const came = sending.get(socket) ?? 0;
      if (came < TURN_BYTES && !socket.isPaused()) sending.delete(socket);
      else sending.set(socket, 0);
      socket.resume();
    });
    beginNext();
  };
  const collectIfFull = (): void => {
    if (hasRoom()) return;
    bytes = 0;
    collect();
  };
  const schedule = (): void => {
    if (isScheduled) return;
    const step = () => {
      isScheduled = false;
      runAll([collectIfFull, goOn]);
    };
    clock.after(INTERVAL_MS, step, 'discarded bytes');
    // Noted last: without a timer, no connection would be read any more.
    isScheduled = true;
  };
  const take = (socket: Socket, chunk: Buffer): void => {
    bytes += chunk.length;
    const came = sending.get(socket);
    const mayTakeTurn = !waiting.has(socket) && sending.size < MAX_SENDING;
    if (came !== undefined) sending.set(socket, came + chunk.length);
    else if (chunk.length >= TURN_BYTES && mayTakeTurn) {
      sending.set(socket, chunk.length);
    }
    const isFast = chunk.length >= TURN_BYTES && !sending.has(socket);
    if (isFast || !hasRoom()) wait(socket);
    schedule();
  };
  /** A connection that has a turn keeps it. */
  const wait = (socket: Socket): void => {
    socket.pause();
    if (!sending.has(socket)) waiting.add(socket);
  };

  return {
    discard: socket => {
      const guard = guards.of(socket);
      socket.removeAllListeners('data');
      socket.on(
        'data',
        guard('discard', (chunk: Buffer) => take(socket, chunk)),
      );
      releaseAllReads(socket);
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
