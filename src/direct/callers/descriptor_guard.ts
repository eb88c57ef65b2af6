/**
 * Keeps descriptors free for requests, for the load of more connections than
 * descriptors: refuses new connections that could not be served, and ends those
 * with the longest idle time. `descriptor_use.ts` has the decisions.
 */
import type {Socket} from 'node:net';
import type {Log} from '../../types/runtime.js';
import {DIRECT_EVENTS} from '../../utils/events.js';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import type {CallerConnections} from './caller_connections.js';
import type {ConnectionCloser} from './connection_closer.js';
import {afterPoll} from './connection_end.js';
import {longestIdle, mayAccept, surplusOf} from './descriptor_use.js';
import type {DescriptorUse} from './descriptor_use.js';
import {FIRST_REQUEST_MS} from './opened_ahead.js';

export interface DescriptorGuard {
  use(): DescriptorUse;
  /** Whether a new connection can be served; counts those that cannot. */
  admit(): boolean;
  /** Ends idle connections while descriptors are short, and logs the shortage. */
  endSurplus(): void;
}

export interface DescriptorGuardOptions {
  readonly connections: Pick<
    CallerConnections,
    'busyCount' | 'count' | 'isUnused' | 'quietMs' | 'visitQuiet'
  >;
  /** Number of refused connections that are still open. */
  readonly refusedCount: () => number;
  readonly maxDescriptors: number;
  readonly log: Log;
  readonly isEnding: (socket: Socket) => boolean;
  readonly endQuiet: ConnectionCloser['endQuiet'];
  readonly guards: Pick<ConnectionGuards, 'each'>;
}

export function createDescriptorGuard({
  connections,
  refusedCount,
  maxDescriptors,
  log,
  isEnding,
  endQuiet,
  guards,
}: DescriptorGuardOptions): DescriptorGuard {
  /** New connections that were closed unread since the latest check. */
  let unaccepted = 0;

  const use = () => ({
    connections: connections.count() + refusedCount(),
    busy: connections.busyCount(),
    maxDescriptors,
  });
  const findDue = (surplus: number): readonly Socket[] => {
    if (surplus === 0) return [];
    const idleMs = new Map<Socket, number>();
    connections.visitQuiet(FIRST_REQUEST_MS, (socket, {awaitsHeaders}) => {
      if (awaitsHeaders && !connections.isUnused(socket)) return;
      idleMs.set(socket, connections.quietMs(socket));
    });
    // Those that are ending already are among the surplus.
    return longestIdle(idleMs, surplus).filter(it => !isEnding(it));
  };
  const endUnlessUsed = (due: readonly Socket[]) => {
    if (due.length === 0) return;
    afterPoll(() =>
      guards.each('descriptor end', due, socket => {
        if (connections.quietMs(socket) < FIRST_REQUEST_MS) return;
        endQuiet(socket, 'descriptors');
      }),
    );
  };

  return {
    use,
    admit: () => {
      const isAdmitted = mayAccept(use());
      if (!isAdmitted) unaccepted++;
      return isAdmitted;
    },
    endSurplus: () => {
      const current = use();
      const due = findDue(surplusOf(current));
      endUnlessUsed(due);
      if (unaccepted === 0 && due.length === 0) return;
      log(DIRECT_EVENTS.descriptorsShort, {
        ...current,
        ended: due.length,
        unaccepted,
      });
      unaccepted = 0;
    },
  };
}
