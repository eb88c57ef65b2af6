/**
 * Ends connections that were opened ahead and never used, when the entry stops
 * accepting. A request that comes on one near the end of the grace time could not
 * be served to its end, and its caller would not know whether it ran; one that
 * meets an ended connection is unread and can be sent to another entry.
 */
import type {Socket} from 'node:net';
import type {Cancel, Clock} from '../../types/runtime.js';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import type {CallerConnections} from './caller_connections.js';
import {afterPoll} from './connection_end.js';

/**
 * On a connection that is newer than this, in milliseconds, the first request is
 * on its way: callers send it when the connection is established.
 */
export const FIRST_REQUEST_MS = 1_000;
const CHECK_MS = 20;

export interface OpenedAheadOptions {
  readonly clock: Clock;
  readonly connections: Pick<CallerConnections, 'all' | 'isUnused' | 'quietMs'>;
  isEnding(socket: Socket): boolean;
  end(socket: Socket): void;
  readonly guards: Pick<ConnectionGuards, 'each'>;
}

/** Calls `onDone` when all unused connections have ended, unless cancelled. */
export function endOpenedAhead(
  {clock, connections, isEnding, end, guards}: OpenedAheadOptions,
  onDone: () => void,
): Cancel {
  const isOpenUnused = (socket: Socket) =>
    connections.isUnused(socket) && !isEnding(socket);
  const isOld = (socket: Socket) =>
    connections.quietMs(socket) >= FIRST_REQUEST_MS;

  const cancel = clock.every(CHECK_MS, () => {
    const unused = [...connections.all()].filter(isOpenUnused);
    const due: Socket[] = [];
    guards.each('unused check', unused, socket => {
      if (isOld(socket)) due.push(socket);
    });
    afterPoll(() => guards.each('unused end', due.filter(isOpenUnused), end));
    if (unused.length > due.length) return;
    cancel();
    afterPoll(onDone);
  });
  return cancel;
}
