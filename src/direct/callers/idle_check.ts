/**
 * Ends connections whose idle time is over. Node would close them by the limit
 * that was in force when the last answer ended.
 */
import type {Socket} from 'node:net';
import type {ConnectionGuards} from '../boundary/connection_guard.js';
import type {CallerConnections} from './caller_connections.js';
import type {ConnectionCloser} from './connection_closer.js';
import {afterPoll} from './connection_end.js';
import type {DescriptorUse} from './descriptor_use.js';
import {idleMarginMs, idleTimeMs} from './idle_time.js';
import type {LimitsInForce} from './limits_in_force.js';

export interface IdleCheckOptions {
  readonly connections: Pick<CallerConnections, 'quietMs' | 'visitQuiet'>;
  readonly limits: Pick<LimitsInForce, 'times' | 'knownWithinMs'>;
  readonly descriptorUse: () => DescriptorUse;
  readonly endQuiet: ConnectionCloser['endQuiet'];
  readonly guards: Pick<ConnectionGuards, 'each'>;
}

/** Returns the check, which is to run at intervals. */
export function createIdleCheck({
  connections,
  limits,
  descriptorUse,
  endQuiet,
  guards,
}: IdleCheckOptions): () => void {
  /** The limit that is over, in milliseconds, by connection. */
  const findDue = (): ReadonlyMap<Socket, number> => {
    const dueMs = new Map<Socket, number>();
    const times = limits.times();
    const marginMs = idleMarginMs(descriptorUse(), limits.knownWithinMs);
    connections.visitQuiet(times.idleTimeoutMs, (socket, connection) => {
      const limitMs = idleTimeMs(connection, times, marginMs);
      if (connections.quietMs(socket) >= limitMs) dueMs.set(socket, limitMs);
    });
    return dueMs;
  };

  return () => {
    const dueMs = findDue();
    if (dueMs.size === 0) return;
    afterPoll(() =>
      guards.each('idle end', dueMs.keys(), socket => {
        const limitMs = dueMs.get(socket) ?? 0;
        if (connections.quietMs(socket) < limitMs) return;
        endQuiet(socket, 'idle', limitMs);
      }),
    );
  };
}
