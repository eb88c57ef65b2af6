/**
 * Remembers the heads of requests that were under way when the time for headers
 * ceased to be unlimited. Their callers could not know of a limit when they began
 * them, so it does not apply. The idle time ends those that stop coming.
 */
import type {Socket} from 'node:net';
import type {CallerConnections} from './caller_connections.js';

export interface UnlimitedHeads {
  /** Notes the heads that are under way now. */
  note(): void;
  /** Whether the head that is under way on the connection was noted. */
  has(socket: Socket): boolean;
}

export function createUnlimitedHeads(
  connections: Pick<CallerConnections, 'all' | 'hasPart' | 'requestCount'>,
): UnlimitedHeads {
  /** Number of requests before the head, by connection. */
  const before = new WeakMap<Socket, number>();
  return {
    note: () => {
      for (const socket of connections.all()) {
        if (!connections.hasPart(socket)) continue;
        before.set(socket, connections.requestCount(socket));
      }
    },
    has: socket => before.get(socket) === connections.requestCount(socket),
  };
}
